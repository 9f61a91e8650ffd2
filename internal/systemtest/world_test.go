// Package systemtest runs the real entry and sidecar code in virtual time over small fakes at the interfaces: the in-memory
// network, the in-memory key-value store and the stand-ins for engines and plain services.
package systemtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/entry"
	"github.com/fulmardoor/fulmardoor/internal/keys"
	"github.com/fulmardoor/fulmardoor/internal/kv/kvtest"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/internal/settings"
	"github.com/fulmardoor/fulmardoor/internal/sidecar"
	"github.com/fulmardoor/fulmardoor/internal/sidecar/role"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/transport/memnet"
	"github.com/fulmardoor/fulmardoor/standin/engine"
	"github.com/fulmardoor/fulmardoor/standin/service"
)

const (
	testKey      = "fd_test_key_of_account_agents"
	otherKey     = "fd_test_key_of_account_vendors"
	networkDelay = 500 * time.Microsecond
	settleTime   = 5 * time.Second
)

// world is a small deployment in one bubble of virtual time.
type world struct {
	t        *testing.T
	network  *memnet.Network
	store    *memory.Store
	kvcaches *engine.Network
	engines  map[string]*engine.Core
	services map[string]*service.Service
	sidecars map[string]*sidecarProcess
	entries  map[string]*entryProcess
	gates    map[string]*kvtest.Gate
	revision uint64
	// silenceFactor makes sidecars keep silent connections longer than entries do; 0 means the same.
	silenceFactor int
	// subset is the setting upstream_subset; 0 means its default.
	subset  int
	numbers map[string]int
}

// addressOf returns the address of a process, the same at each call.
func (w *world) addressOf(name string) string {
	if _, ok := w.numbers[name]; !ok {
		w.numbers[name] = len(w.numbers) + 1
	}
	return fmt.Sprintf("10.0.0.%d:7000", w.numbers[name])
}

// sidecarProcess is a running sidecar.
type sidecarProcess struct {
	name, address, pool, role string
	sidecar                   *sidecar.Sidecar
	cancel                    context.CancelFunc
}

// entryProcess is a running entry process.
type entryProcess struct {
	name, address string
	entry         *entry.Entry
	handler       http.Handler
	cancel        context.CancelFunc
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, network: memnet.NewNetwork(networkDelay), store: memory.New(memory.Options{}), kvcaches: engine.NewNetwork(),
		engines: make(map[string]*engine.Core), services: make(map[string]*service.Service),
		sidecars: make(map[string]*sidecarProcess), entries: make(map[string]*entryProcess), numbers: make(map[string]int), gates: make(map[string]*kvtest.Gate),
	}
	return w
}

// close ends everything, so that the bubble can end.
func (w *world) close() {
	for _, d := range w.entries {
		d.cancel()
		w.network.Kill(d.address)
		d.entry.Close()
	}
	for _, c := range w.sidecars {
		w.stopSidecar(c)
	}
	for _, s := range w.services {
		s.Stop()
	}
	for _, e := range w.engines {
		e.Kill()
	}
	time.Sleep(2 * time.Minute)
}

func (w *world) stopSidecar(c *sidecarProcess) {
	c.cancel()
	w.network.Kill(c.address)
}

// addEngine starts an engine with its sidecar.
func (w *world) addEngine(name, roleName string, change func(*engine.Config)) {
	cfg := engine.DefaultConfig()
	cfg.Name, cfg.Address, cfg.Role = name, "engine-"+name, role.Parse(roleName)
	if change != nil {
		change(&cfg)
	}
	w.engines[name] = w.kvcaches.Add(cfg)
	places := int32(20)
	if roleName == "prefill" {
		places = 1
	}
	w.startSidecar(name, "drafter", roleName, places)
}

// addService starts a plain service with its sidecar.
func (w *world) addService(name string) {
	w.services[name] = service.New(5 * time.Millisecond)
	w.startSidecar(name, "ledger", "service", 20)
}

// startSidecar starts or restarts the sidecar beside an upstream.
func (w *world) startSidecar(name, pool, roleName string, places int32) {
	c := &sidecarProcess{name: name, address: w.addressOf(name), pool: pool, role: roleName}
	s := &configv1.SidecarSettings{
		Process: &configv1.ProcessSettings{Name: "sidecar-" + name, Host: "host-" + name, DataCentre: "Kariakoo"},
		Peers:   &configv1.PeerSettings{Listen: c.address},
		Upstream: &configv1.UpstreamSettings{
			Name: name, Url: "http://" + name, Pool: pool, Role: roleName, Places: places,
		},
	}
	settings.DefaultSidecar(s)
	var upstream sidecar.Upstream
	if core := w.engines[name]; core != nil {
		upstream = sidecar.NewModelUpstream(sidecar.ModelConfig{
			Model: pool, Engine: core, BlockTokens: 2048, Eviction: 800 * time.Millisecond, Logger: zap.NewNop(),
		})
	} else {
		upstream = sidecar.NewServiceUpstreamOver("http://"+name, inProcess{w.services[name].Handler()})
	}
	c.sidecar = sidecar.New(sidecar.Config{Settings: s, Store: w.store, Upstream: upstream, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() { _ = c.sidecar.Run(ctx) }()
	opts := c.sidecar.Options()
	if w.silenceFactor > 0 {
		opts.SilenceLimit = time.Duration(w.silenceFactor) * transport.SilentIntervals * transport.DefaultHeartbeatInterval
	}
	go serve(w.network.Listen(c.address), opts)
	w.sidecars[name] = c
}

// restartSidecar kills the sidecar of an upstream and starts a new one.
func (w *world) restartSidecar(name string) {
	old := w.sidecars[name]
	w.stopSidecar(old)
	places := int32(20)
	if old.role == "prefill" {
		places = 1
	}
	w.startSidecar(name, old.pool, old.role, places)
}

func serve(listener *memnet.Listener, opts *transport.Options) {
	for {
		mux, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = transport.ServerMux(mux, opts) }()
	}
}

// connector dials from one process.
type connector struct {
	network *memnet.Network
	from    string
}

func (c connector) Connect(ctx context.Context, address string) (transport.Mux, error) {
	return c.network.Dial(ctx, c.from, address)
}

// startEntries starts entry processes that know each other.
func (w *world) startEntries(count int) {
	var addresses []string
	for i := range count {
		addresses = append(addresses, w.addressOf(fmt.Sprintf("entry-%d", i)))
	}
	for i := range count {
		w.startEntry(fmt.Sprintf("entry-%d", i), strings.Join(addresses, ","))
	}
}

func (w *world) startEntry(name, all string) {
	s := &configv1.EntrySettings{
		Process:  &configv1.ProcessSettings{Name: name, Host: "host-" + name, DataCentre: "Kariakoo"},
		Peers:    &configv1.PeerSettings{Listen: w.addressOf(name)},
		Platform: &configv1.PlatformSettings{StoreUrl: "http://store"},
		Callers:  &configv1.CallerSettings{Listen: "callers-" + name, Entries: all, UpstreamSubset: int32(w.subset)},
	}
	settings.DefaultEntry(s)
	w.gates[name] = kvtest.NewGate(w.store)
	d := &entryProcess{name: name, address: w.addressOf(name)}
	d.entry = entry.New(entry.Config{
		Settings: s, Store: w.gates[name], Connector: connector{w.network, d.address}, Seed: 1, Logger: zap.NewNop(),
	})
	d.handler = d.entry.CallerHandler()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.entry.Run(ctx)
	go serve(w.network.Listen(d.address), d.entry.Options())
	w.entries[name] = d
}

// killEntry ends an entry process without a goodbye.
func (w *world) killEntry(name string) {
	d := w.entries[name]
	d.cancel()
	w.network.Kill(d.address)
}

// document builds the team's document.
func (w *world) document(change func(lines *strings.Builder)) string {
	var b strings.Builder
	b.WriteString("[document]\nteam = kilimo\n")
	b.WriteString("[account \"agents\"]\nrate = 100000\nburst = 1000000\n")
	b.WriteString("[account \"vendors\"]\nrate = 1000\nburst = 20000\n")
	fmt.Fprintf(&b, "[key \"agents-1\"]\naccount = agents\nsha256 = %s\n", keys.Hash(testKey))
	fmt.Fprintf(&b, "[key \"vendors-1\"]\naccount = vendors\nsha256 = %s\n", keys.Hash(otherKey))
	b.WriteString("[model \"drafter\"]\npatience = 10\n")
	b.WriteString("[route \"bookings\"]\npath = /bookings\nmethods = POST\npool = ledger\n")
	b.WriteString("[route \"stock\"]\npath = /stock\nmethods = GET\npool = ledger\nidempotent = true\nopen = true\n")
	for name, c := range w.sidecars {
		fmt.Fprintf(&b, "[upstream \"%s\"]\naddress = %s\npool = %s\nrole = %s\n", name, c.address, c.pool, c.role)
	}
	if change != nil {
		change(&b)
	}
	return b.String()
}

// apply puts a document in force and waits until it has spread.
func (w *world) apply(text string) {
	w.t.Helper()
	outcome, err := confsync.Apply(w.t.Context(), w.store, "kilimo", []byte(text), w.revision)
	if err != nil || outcome.Kind != confsync.Accepted {
		w.t.Fatalf("document: %v %v %v", outcome.Kind, outcome.Faults, err)
	}
	w.revision = outcome.Revision
	time.Sleep(settleTime)
}

// inProcess is a round tripper that calls a handler; it sends each request once.
type inProcess struct{ handler http.Handler }

func (p inProcess) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	done := make(chan bool, 1)
	go func() {
		whole := false
		defer func() {
			_ = recover() // http.ErrAbortHandler drops the connection
			done <- whole
		}()
		p.handler.ServeHTTP(recorder, r)
		whole = true
	}()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case whole := <-done:
		if !whole {
			return nil, io.ErrUnexpectedEOF
		}
		return recorder.Result(), nil
	}
}

// storeDown takes the store away from every process, or gives it back.
func (w *world) storeDown(down bool) {
	w.store.SetFaults(memory.Faults{Down: down})
}
