package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/keys"
	"github.com/fulmardoor/fulmardoor/standin/engine"
	"github.com/fulmardoor/fulmardoor/standin/platform"
	"github.com/fulmardoor/fulmardoor/standin/service"
)

const (
	team          = "kilimo"
	operatorToken = "operator-of-the-process-tests"
	// maxBodyBytes is small enough for the buffers of a connection, so that a client can send a body that is refused.
	maxBodyBytes = 64 << 10
)

// deployment is a set of processes that belong together.
type deployment struct {
	t        testing.TB
	dir      string
	platform *process
	// storeURL is the base URL of the platform, or of a relay in front of it.
	storeURL        string
	platformAddress string
	entries         []*entryHost
	upstreams       []*upstreamHost
	// keys are the keys agents-1 and agents-2 of account agents.
	keys [2]string
}

// entryHost is an entry process and its settings.
type entryHost struct {
	*process
	name, peers, callers, admin, config string
}

func (e *entryHost) url() string    { return "http://" + e.callers }
func (e *entryHost) admURL() string { return "http://" + e.admin }

// upstreamHost is an upstream with the sidecar beside it.
type upstreamHost struct {
	name, pool, role string
	upstream         *process
	sidecar          *process
	address          string // of the upstream
	peers            string // of the sidecar
	declared         string // address in the document: the sidecar's, or that of a relay
	reached          string // address at which the sidecar reaches the upstream
	config           string
	arguments        []string
}

// shape says what a deployment consists of.
type shape struct {
	entries                   int
	prefill, decode, services int
	// relays puts a relay in front of each sidecar, and one between each sidecar and its upstream.
	relays bool
	// latency is the time of each call of the plain services.
	latency time.Duration
}

// whole is a deployment with every kind of upstream.
var whole = shape{entries: 2, prefill: 1, decode: 2, services: 2, latency: 5 * time.Millisecond}

// deploy starts everything, applies the document and waits until all upstreams take work.
func deploy(t testing.TB, s shape) *deployment {
	t.Helper()
	d := prepare(t)
	d.deployHere(s)
	return d
}

// deployHere is deploy for a prepared deployment.
func (d *deployment) deployHere(s shape) {
	d.t.Helper()
	d.startPlatform()
	d.addUpstreams(s)
	for i := range s.entries {
		d.addEntry(i, s.entries)
	}
	for _, e := range d.entries {
		d.startEntry(e)
	}
	d.waitHealthy()
	d.mustApply(d.document(nil))
	d.waitReady()
}

// prepare returns a deployment without processes.
func prepare(t testing.TB) *deployment {
	trackSources()
	d := &deployment{t: t, dir: t.TempDir(), platformAddress: freeAddress(t)}
	d.storeURL = "http://" + d.platformAddress
	for i := range d.keys {
		d.keys[i], _ = keys.Generate()
	}
	t.Cleanup(func() {
		d.checkLogs()
		if t.Failed() {
			showLogs(t, d.dir)
		}
	})
	return d
}

func (d *deployment) startPlatform() {
	d.platform = start(d.t, d.dir, "platform", "standin-platform", "--listen", d.platformAddress)
	d.waitURL("http://" + d.platformAddress + "/faults")
}

func (d *deployment) addUpstreams(s shape) {
	for i := range s.prefill {
		d.addEngine(fmt.Sprintf("prefill-%d", i), "prefill", 4, s.relays)
	}
	for i := range s.decode {
		d.addEngine(fmt.Sprintf("decode-%d", i), "decode", 20, s.relays)
	}
	for i := range s.services {
		u := d.addUpstream(fmt.Sprintf("ledger-%d", i), "ledger", "service", 20, s.relays)
		u.arguments = []string{"--latency", s.latency.String()}
		d.startUpstream(u)
	}
}

func (d *deployment) addEngine(name, role string, places int, relayed bool) {
	u := d.addUpstream(name, "drafter", role, places, relayed)
	u.arguments = []string{"--name", name, "--role", role, "--prefill-slots", fmt.Sprint(places)}
	d.startUpstream(u)
}

func (d *deployment) addUpstream(name, pool, role string, places int, relayed bool) *upstreamHost {
	u := &upstreamHost{name: name, pool: pool, role: role, address: freeAddress(d.t), peers: freeAddress(d.t)}
	u.declared, u.reached = u.peers, u.address
	if relayed {
		u.declared, u.reached = startRelay(d.t, u.peers).address, startRelay(d.t, u.address).address
	}
	var text ini
	text.section("process", "name", "sidecar-"+name, "host", "host-"+name, "data_centre", "Kariakoo",
		"log_level", "debug")
	text.section("peers", "listen", u.peers)
	text.section("platform", "store_url", d.storeURL)
	text.section("upstream", "name", name, "url", "http://"+u.reached, "pool", pool, "role", role,
		"places", fmt.Sprint(places))
	text.section("admin", "listen", freeAddress(d.t))
	u.config = d.write("sidecar-"+name+".ini", text.String())
	d.upstreams = append(d.upstreams, u)
	return u
}

// startUpstream starts the upstream and the sidecar beside it.
func (d *deployment) startUpstream(u *upstreamHost) {
	d.startStandin(u)
	d.startSidecar(u)
}

func (d *deployment) startStandin(u *upstreamHost) {
	binary := "standin-engine"
	if u.role == "service" {
		binary = "standin-service"
	}
	u.upstream = start(d.t, d.dir, "upstream-"+u.name, binary, append([]string{"--listen", u.address}, u.arguments...)...)
	d.waitURL("http://" + u.address + "/health")
}

func (d *deployment) startSidecar(u *upstreamHost) {
	u.sidecar = start(d.t, d.dir, "sidecar-"+u.name, "fulmardoor-sidecar", "run", "--config", u.config)
}

// addEntry writes the settings of an entry process; all of them know each other.
func (d *deployment) addEntry(number, count int) *entryHost {
	for len(d.entries) < count {
		d.entries = append(d.entries, &entryHost{
			name: fmt.Sprintf("entry-%d", len(d.entries)), peers: freeAddress(d.t), callers: freeAddress(d.t), admin: freeAddress(d.t),
		})
	}
	var peers []string
	for _, e := range d.entries {
		peers = append(peers, e.peers)
	}
	e := d.entries[number]
	var text ini
	text.section("process", "name", e.name, "host", "host-"+e.name, "data_centre", "Kariakoo",
		"log_level", "debug")
	text.section("peers", "listen", e.peers)
	text.section("platform", "store_url", d.storeURL)
	text.section("callers", "listen", e.callers, "entries", strings.Join(peers, ","), "drain_delay", "1s",
		"max_body_bytes", fmt.Sprint(maxBodyBytes))
	text.section("admin", "listen", e.admin, "operators", "tests:"+keys.Hash(operatorToken)+":*")
	e.config = d.write(e.name+".ini", text.String())
	return e
}

func (d *deployment) startEntry(e *entryHost) {
	e.process = start(d.t, d.dir, e.name, "fulmardoor-entry", "run", "--config", e.config)
}

func (d *deployment) write(name, text string) string {
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// document returns the team's document.
func (d *deployment) document(change func(*ini)) string {
	var text ini
	text.section("document", "team", team)
	text.section(`account "agents"`, "rate", "10000000", "burst", "100000000")
	for i, key := range d.keys {
		text.section(fmt.Sprintf(`key "agents-%d"`, i+1), "account", "agents", "sha256", keys.Hash(key))
	}
	text.section(`model "drafter"`, "patience", "10")
	if slices.ContainsFunc(d.upstreams, func(u *upstreamHost) bool { return u.role == "service" }) {
		text.section(`route "bookings"`, "path", "/bookings", "methods", "POST", "pool", "ledger", "cost_tokens", "10")
		text.section(`route "stock"`, "path", "/stock", "methods", "GET", "pool", "ledger", "idempotent", "true")
	}
	for _, u := range d.upstreams {
		text.section(fmt.Sprintf("upstream %q", u.name), "address", u.declared, "pool", u.pool, "role", u.role)
	}
	if change != nil {
		change(&text)
	}
	return text.String()
}

// ctl runs the operator's command against an entry process.
func (d *deployment) ctl(e *entryHost, args ...string) (stdout, stderr string, status int) {
	d.t.Helper()
	return command(d.t, []string{"FULMARDOOR_ADMIN=" + e.admURL(), "FULMARDOOR_TOKEN=" + operatorToken}, "fulmardoorctl", args...)
}

// mustCtl runs the operator's command against the first entry process and expects success.
func (d *deployment) mustCtl(args ...string) string {
	d.t.Helper()
	stdout, stderr, status := d.ctl(d.entries[0], args...)
	if status != 0 {
		d.t.Fatalf("fulmardoorctl %v: status %d: %s", args, status, stderr)
	}
	return stdout
}

// mustApply puts a document in force.
func (d *deployment) mustApply(text string) {
	d.t.Helper()
	out := d.mustCtl("document", "apply", d.write("document.ini", text))
	if !strings.Contains(out, "accepted at revision") {
		d.t.Fatalf("apply: %s", out)
	}
}

func (d *deployment) adminClient(e *entryHost) *admin.Client {
	return admin.NewClient(e.admURL(), operatorToken)
}

func (d *deployment) waitURL(url string) {
	d.t.Helper()
	eventually(d.t, url, func() string {
		response, err := http.Get(url)
		if err != nil {
			return err.Error()
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return response.Status
		}
		return ""
	})
}

func (d *deployment) waitHealthy() {
	d.t.Helper()
	for _, e := range d.entries {
		d.waitURL(e.admURL() + "/healthz")
	}
}

// waitReady waits until each entry process is ready and sees all upstreams accept work.
func (d *deployment) waitReady() {
	d.t.Helper()
	for _, e := range d.entries {
		d.waitURL(e.admURL() + "/readyz")
		d.waitUpstreams(e, func(u admin.UpstreamStatus) bool { return u.Connected && u.Accepting })
	}
}

// waitUpstreams waits until an entry process reports all upstreams in a state.
func (d *deployment) waitUpstreams(e *entryHost, want func(admin.UpstreamStatus) bool) {
	d.t.Helper()
	eventually(d.t, "upstreams of "+e.name, func() string {
		list, err := d.adminClient(e).Upstreams(d.t.Context())
		if err != nil {
			return err.Error()
		}
		for _, u := range list {
			if !want(u) {
				return fmt.Sprintf("%+v", u)
			}
		}
		if len(list) != len(d.upstreams) {
			return fmt.Sprintf("%d of %d upstreams", len(list), len(d.upstreams))
		}
		return ""
	})
}

// find returns the upstream with a name.
func (d *deployment) find(name string) *upstreamHost {
	for _, u := range d.upstreams {
		if u.name == name {
			return u
		}
	}
	d.t.Fatalf("no upstream %s", name)
	return nil
}

// getJSON reads what a stand-in reports.
func getJSON(t testing.TB, url string, out any) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}

// readAll reads and closes the body of a response.
func readAll(response *http.Response) string {
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

func postJSON(t testing.TB, url string, body any) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s", url, response.Status)
	}
}

func (d *deployment) engineAudit(u *upstreamHost) engine.Audit {
	var audit engine.Audit
	getJSON(d.t, "http://"+u.address+"/audit", &audit)
	return audit
}

func (d *deployment) serviceAudit(u *upstreamHost) service.Audit {
	var audit service.Audit
	getJSON(d.t, "http://"+u.address+"/audit", &audit)
	return audit
}

func (d *deployment) platformFaults(faults platform.Faults) {
	d.t.Helper()
	postJSON(d.t, "http://"+d.platformAddress+"/faults", faults)
}

// faultMarks are texts of log lines that no sound program writes.
var faultMarks = []string{"panic: ", "http: panic serving", "fatal error: ", "WARNING: DATA RACE"}

// checkLogs guards H3, no log file holds a caller's key, and against faults that the program survived.
func (d *deployment) checkLogs() {
	files, _ := filepath.Glob(filepath.Join(d.dir, "*.log"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			d.t.Error(err)
		}
		for _, key := range d.keys {
			if bytes.Contains(text, []byte(key)) {
				d.t.Errorf("%s holds a caller's key", filepath.Base(file))
			}
		}
		for _, mark := range faultMarks {
			if bytes.Contains(text, []byte(mark)) {
				d.t.Errorf("%s: %s", filepath.Base(file), mark)
			}
		}
	}
}
