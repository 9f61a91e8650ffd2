// Package systemtest runs the real entry and sidecar code in virtual time. Behind its interfaces are fakes: the in-memory
// network, the in-memory key-value store and the stand-ins for engines and plain services.
package systemtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	llm "github.com/fulmardoor/fulmardoor/internal/engine"
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
	// settleTime is the time within which processes connect to each other and a new document reaches all of them.
	settleTime = 5 * time.Second
)

// harness is a small deployment that runs inside one synctest bubble.
type harness struct {
	t             *testing.T
	network       *memnet.Network
	store         *memory.Store
	engineNetwork *engine.Network
	engines       map[string]*engine.Core
	services      map[string]*service.Service
	sidecars      map[string]*sidecarProcess
	entries       map[string]*entryProcess
	storeGates    map[string]*kvtest.Gate
	revision      uint64
	// sidecarTimeoutFactor multiplies the heartbeat timeout of sidecars, after which they close a connection that delivers
	// nothing; 0 means the default, which entries use.
	sidecarTimeoutFactor int
	// upstreamSubset is the setting upstream_subset of the entries; 0 means its default.
	upstreamSubset int
	hostNumbers    map[string]int
	// crashes counts the requests that crashed their upstream; nil if none does.
	crashes *atomic.Int64
}

// addressOf returns the address of a process, which is the same at each call.
func (h *harness) addressOf(name string) string {
	if _, ok := h.hostNumbers[name]; !ok {
		h.hostNumbers[name] = len(h.hostNumbers) + 1
	}
	return fmt.Sprintf("10.0.0.%d:7000", h.hostNumbers[name])
}

type sidecarProcess struct {
	name, address, pool, role string
	sidecar                   *sidecar.Sidecar
	cancel                    context.CancelFunc
}

type entryProcess struct {
	name, address string
	entry         *entry.Entry
	handler       http.Handler
	cancel        context.CancelFunc
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, network: memnet.NewNetwork(networkDelay), store: memory.New(memory.Options{}), engineNetwork: engine.NewNetwork(),
		engines: make(map[string]*engine.Core), services: make(map[string]*service.Service),
		sidecars: make(map[string]*sidecarProcess), entries: make(map[string]*entryProcess), hostNumbers: make(map[string]int), storeGates: make(map[string]*kvtest.Gate),
	}
	return h
}

// close stops all processes and waits until their goroutines have ended, which synctest requires.
func (h *harness) close() {
	for _, p := range h.entries {
		p.cancel()
		h.network.Kill(p.address)
		p.entry.Close()
	}
	for _, p := range h.sidecars {
		h.stopSidecar(p)
	}
	for _, s := range h.services {
		s.Stop()
	}
	for _, e := range h.engines {
		e.Kill()
	}
	time.Sleep(2 * time.Minute)
}

func (h *harness) stopSidecar(p *sidecarProcess) {
	p.cancel()
	h.network.Kill(p.address)
}

// addEngine starts an engine with its sidecar.
func (h *harness) addEngine(name, roleName string, change func(*engine.Config)) {
	cfg := engine.DefaultConfig()
	cfg.Name, cfg.Address, cfg.Role = name, "engine-"+name, role.Parse(roleName)
	if change != nil {
		change(&cfg)
	}
	h.engines[name] = h.engineNetwork.Add(cfg)
	places := int32(20)
	if roleName == "prefill" {
		places = 1
	}
	h.startSidecar(name, "drafter", roleName, places)
}

// addService starts a plain service with its sidecar.
func (h *harness) addService(name string) {
	h.services[name] = service.New(5 * time.Millisecond)
	h.startSidecar(name, "ledger", "service", 20)
}

// startSidecar starts or restarts the sidecar beside an upstream.
func (h *harness) startSidecar(name, pool, roleName string, places int32) {
	p := &sidecarProcess{name: name, address: h.addressOf(name), pool: pool, role: roleName}
	s := &configv1.SidecarSettings{
		Process: &configv1.ProcessSettings{Name: "sidecar-" + name, Host: "host-" + name, DataCentre: "Kariakoo"},
		Peers:   &configv1.PeerSettings{Listen: p.address},
		Upstream: &configv1.UpstreamSettings{
			Name: name, Url: "http://" + name, Pool: pool, Role: roleName, Places: places,
		},
	}
	settings.DefaultSidecar(s)
	var upstream sidecar.Upstream
	if core := h.engines[name]; core != nil {
		upstream = sidecar.NewModelUpstream(sidecar.ModelConfig{
			Model: pool, Engine: h.crashing(core), BlockTokens: 2048, Eviction: 800 * time.Millisecond, Logger: zap.NewNop(),
		})
	} else {
		handler := h.services[name].Handler()
		if h.crashes != nil {
			handler = crashingHandler(handler, h.crashes)
		}
		upstream = sidecar.NewServiceUpstreamWithTransport("http://"+name, handlerTransport{handler})
	}
	p.sidecar = sidecar.New(sidecar.Config{Settings: s, Store: h.store, Upstream: upstream, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { _ = p.sidecar.Run(ctx) }()
	opts := p.sidecar.Options()
	if h.sidecarTimeoutFactor > 0 {
		opts.HeartbeatTimeout = time.Duration(h.sidecarTimeoutFactor) * transport.HeartbeatTimeoutIntervals * transport.DefaultHeartbeatInterval
	}
	go acceptSessions(h.network.Listen(p.address), opts)
	h.sidecars[name] = p
}

// crashing returns an engine that deadly prompts crash, if the test counts crashes.
func (h *harness) crashing(core *engine.Core) llm.Engine {
	if h.crashes == nil {
		return core
	}
	return crashingEngine{core, h.crashes}
}

// restartSidecar kills the sidecar of an upstream and starts a new one.
func (h *harness) restartSidecar(name string) {
	old := h.sidecars[name]
	h.stopSidecar(old)
	places := int32(20)
	if old.role == "prefill" {
		places = 1
	}
	h.startSidecar(name, old.pool, old.role, places)
}

func acceptSessions(listener *memnet.Listener, opts *transport.Options) {
	for {
		mux, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = transport.ServerMux(mux, opts) }()
	}
}

// connector implements transport.Connector for one process.
type connector struct {
	network *memnet.Network
	from    string
}

func (c connector) Connect(ctx context.Context, address string) (transport.Mux, error) {
	return c.network.Dial(ctx, c.from, address)
}

// startEntries starts entry processes, each of which has the addresses of all of them in its settings.
func (h *harness) startEntries(count int) {
	var addresses []string
	for i := range count {
		addresses = append(addresses, h.addressOf(fmt.Sprintf("entry-%d", i)))
	}
	for i := range count {
		h.startEntry(fmt.Sprintf("entry-%d", i), strings.Join(addresses, ","))
	}
}

func (h *harness) startEntry(name, entryAddresses string) {
	s := &configv1.EntrySettings{
		Process:  &configv1.ProcessSettings{Name: name, Host: "host-" + name, DataCentre: "Kariakoo"},
		Peers:    &configv1.PeerSettings{Listen: h.addressOf(name)},
		Platform: &configv1.PlatformSettings{StoreUrl: "http://store"},
		Callers:  &configv1.CallerSettings{Listen: "callers-" + name, Entries: entryAddresses, UpstreamSubset: int32(h.upstreamSubset)},
	}
	settings.DefaultEntry(s)
	h.storeGates[name] = kvtest.NewGate(h.store)
	p := &entryProcess{name: name, address: h.addressOf(name)}
	p.entry = entry.New(entry.Config{
		Settings: s, Store: h.storeGates[name], Connector: connector{h.network, p.address}, Seed: 1, Logger: zap.NewNop(),
	})
	p.handler = p.entry.CallerHandler()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.entry.Run(ctx)
	go acceptSessions(h.network.Listen(p.address), p.entry.Options())
	h.entries[name] = p
}

// killEntry ends an entry process as a crash does, without a message to its peers.
func (h *harness) killEntry(name string) {
	p := h.entries[name]
	p.cancel()
	h.network.Kill(p.address)
}

// documentText returns the team's document, with each sidecar as an upstream; change may append to it.
func (h *harness) documentText(change func(text *strings.Builder)) string {
	var b strings.Builder
	b.WriteString("[document]\nteam = kilimo\n")
	b.WriteString("[account \"agents\"]\nrate = 100000\nburst = 1000000\n")
	b.WriteString("[account \"vendors\"]\nrate = 1000\nburst = 20000\n")
	fmt.Fprintf(&b, "[key \"agents-1\"]\naccount = agents\nsha256 = %s\n", keys.Hash(testKey))
	fmt.Fprintf(&b, "[key \"vendors-1\"]\naccount = vendors\nsha256 = %s\n", keys.Hash(otherKey))
	b.WriteString("[model \"drafter\"]\npatience = 10\n")
	b.WriteString("[route \"bookings\"]\npath = /bookings\nmethods = POST\npool = ledger\n")
	b.WriteString("[route \"stock\"]\npath = /stock\nmethods = GET\npool = ledger\nidempotent = true\nopen = true\n")
	for name, p := range h.sidecars {
		fmt.Fprintf(&b, "[upstream \"%s\"]\naddress = %s\npool = %s\nrole = %s\n", name, p.address, p.pool, p.role)
	}
	if change != nil {
		change(&b)
	}
	return b.String()
}

// apply stores a new version of the document and waits until the processes have received it.
func (h *harness) apply(text string) {
	h.t.Helper()
	outcome, err := confsync.Apply(h.t.Context(), h.store, "kilimo", []byte(text), h.revision)
	if err != nil || outcome.Kind != confsync.Accepted {
		h.t.Fatalf("document was not accepted: outcome %v, faults %v, error %v", outcome.Kind, outcome.Faults, err)
	}
	h.revision = outcome.Revision
	time.Sleep(settleTime)
}

// handlerTransport is an http.RoundTripper that calls a handler in the same process. It never retries a request.
type handlerTransport struct{ handler http.Handler }

func (p handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	done := make(chan bool, 1)
	go func() {
		completed := false
		defer func() {
			_ = recover() // http.ErrAbortHandler drops the connection
			done <- completed
		}()
		p.handler.ServeHTTP(recorder, r)
		completed = true
	}()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case completed := <-done:
		if !completed {
			return nil, io.ErrUnexpectedEOF
		}
		return recorder.Result(), nil
	}
}

// setStoreDown starts or ends an outage of the store for all processes.
func (h *harness) setStoreDown(down bool) {
	h.store.SetFaults(memory.Faults{Down: down})
}
