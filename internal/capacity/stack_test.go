package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/engine/httpengine"
	"github.com/fulmardoor/fulmardoor/internal/entry"
	"github.com/fulmardoor/fulmardoor/internal/keys"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/internal/settings"
	"github.com/fulmardoor/fulmardoor/internal/sidecar"
	"github.com/fulmardoor/fulmardoor/internal/sidecar/role"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/standin/engine"
	"github.com/fulmardoor/fulmardoor/standin/service"
)

const callerKey = "fd_capacity_key"

// stack is one entry, a prefill and a decode engine and a plain service with their sidecars, all in this process and
// connected over loopback TCP.
type stack struct {
	entry   *entry.Entry
	handler http.Handler
	store   *memory.Store
	// callers, decode and plain are the base URLs of the entry, the decode engine and the plain service.
	callers, decode, plain string
	// peers counts the traffic of the sidecars' ends of the sessions.
	peers    traffic
	document strings.Builder
	revision uint64
	// ctx ends with the benchmark.
	ctx context.Context
}

// engineConfig makes the engine's own waits short, so that the cost of the path shows.
func engineConfig(name, roleName, address string) engine.Config {
	cfg := engine.DefaultConfig()
	cfg.Name, cfg.Address, cfg.Role = name, address, role.Parse(roleName)
	cfg.Places, cfg.PrefillSlots = 1024, 64
	cfg.QueueLimit, cfg.MemoryBlocks = 4096, 1<<16
	cfg.PrefillTokensPerSecond, cfg.TokenGap = 200_000, 2*time.Millisecond
	cfg.Resolve = engine.HTTPResolve(&http.Client{})
	return cfg
}

func newStack(b *testing.B, change func(*engine.Config)) *stack {
	s := newSidecars(b, change)
	s.startEntry(b, "")
	return s
}

// newSidecars returns a stack without its entry.
func newSidecars(b *testing.B, change func(*engine.Config)) *stack {
	s := &stack{store: memory.New(memory.Options{})}
	s.document.WriteString("[document]\nteam = kilimo\n[account \"agents\"]\nrate = 200000000000\nburst = 1000000000000\n")
	fmt.Fprintf(&s.document, "[key \"agents-1\"]\naccount = agents\nsha256 = %s\n", keys.Hash(callerKey))
	s.document.WriteString("[model \"drafter\"]\npatience = 100\n[route \"bookings\"]\npath = /bookings\nmethods = POST\npool = ledger\n")
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	s.ctx = ctx
	for _, roleName := range []string{"prefill", "decode"} {
		l := listen(b)
		cfg := engineConfig(roleName+"-0", roleName, l.Addr().String())
		if change != nil {
			change(&cfg)
		}
		server := engine.NewServer(engine.NewCore(cfg))
		go func() { _ = server.Serve(l) }()
		s.decode = "http://" + l.Addr().String()
		upstream := sidecar.NewModelUpstream(sidecar.ModelConfig{
			Model: "drafter", Engine: httpengine.New(s.decode, &http.Client{}), BlockTokens: 2048,
			Eviction: 800 * time.Millisecond, Logger: zap.NewNop(),
		})
		s.startSidecar(b, roleName+"-0", "drafter", roleName, s.decode, upstream)
	}
	plain := service.New(0)
	s.plain = serveHTTP(b, plain.Handler())
	s.startSidecar(b, "ledger-0", "ledger", "service", s.plain, sidecar.NewServiceUpstream(s.plain))
	return s
}

func serveHTTP(b *testing.B, handler http.Handler) string {
	l := listen(b)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return "http://" + l.Addr().String()
}

func (s *stack) startSidecar(
	b *testing.B, name, pool, roleName, url string, upstream sidecar.Upstream,
) {
	l := listen(b)
	set := &configv1.SidecarSettings{
		Process:  &configv1.ProcessSettings{Name: "sidecar-" + name, Host: "host-" + name, DataCentre: "Kariakoo"},
		Peers:    &configv1.PeerSettings{Listen: l.Addr().String()},
		Upstream: &configv1.UpstreamSettings{Name: name, Url: url, Pool: pool, Role: roleName, Places: 1024},
	}
	settings.DefaultSidecar(set)
	car := sidecar.New(sidecar.Config{Settings: set, Upstream: upstream, Logger: zap.NewNop()})
	go func() { _ = car.Run(s.ctx) }()
	go func() { _ = transport.Serve(countedListener{l, &s.peers}, car.Options()) }()
	fmt.Fprintf(&s.document, "[upstream \"%s\"]\naddress = %s\npool = %s\nrole = %s\n", name, l.Addr(), pool, roleName)
}

// startEntry starts the entry; it tries to reach the entries with the given addresses.
func (s *stack) startEntry(b *testing.B, entries string) {
	l := listen(b)
	set := &configv1.EntrySettings{
		Process:  &configv1.ProcessSettings{Name: "entry-0", Host: "host-0", DataCentre: "Kariakoo"},
		Peers:    &configv1.PeerSettings{Listen: l.Addr().String()},
		Platform: &configv1.PlatformSettings{StoreUrl: "http://store"},
		Callers:  &configv1.CallerSettings{Listen: "127.0.0.1:1", Entries: entries},
	}
	settings.DefaultEntry(set)
	s.entry = entry.New(entry.Config{
		Settings: set, Store: s.store, Connector: unreachable{transport.TCP{Dialer: &net.Dialer{}}}, Logger: zap.NewNop(),
	})
	s.handler = s.entry.CallerHandler()
	s.callers = serveHTTP(b, s.handler)
	go s.entry.Run(s.ctx)
	go func() { _ = transport.Serve(l, s.entry.Options()) }()
	b.Cleanup(s.entry.Close)
}

// unreachable connects to loopback only; other addresses stand for processes that do not answer.
type unreachable struct{ transport.TCP }

func (u unreachable) Connect(ctx context.Context, address string) (transport.Mux, error) {
	if strings.HasPrefix(address, "127.") {
		return u.TCP.Connect(ctx, address)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// apply puts the document with more sections in force and waits until the entry serves with it.
func (s *stack) apply(b *testing.B, more string) {
	b.Helper()
	text := []byte(s.document.String() + more)
	outcome, err := confsync.Apply(b.Context(), s.store, "kilimo", text, s.revision)
	if err != nil || outcome.Kind != confsync.Accepted {
		b.Fatalf("document: %v %v %v", outcome.Kind, outcome.Faults, err)
	}
	s.revision = outcome.Revision
	eventually(b, "bookings", func() bool { return s.book(http.DefaultClient, s.callers, "{}") == nil })
}

func post(client *http.Client, url, body string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Content-Type", "application/json")
	return client.Do(r)
}
