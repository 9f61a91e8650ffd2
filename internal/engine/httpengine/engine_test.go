package httpengine_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/httpengine"
	"github.com/fulmardoor/fulmardoor/internal/transport/memnet"
	standin "github.com/fulmardoor/fulmardoor/standin/engine"
)

const model = "drafter"

var prompt = strings.Repeat("word", 4000)

// network is an in-memory network that connects the clients and servers of one test.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	client    *http.Client
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.IPAddr{} }

func newNetwork() *network {
	n := &network{listeners: make(map[string]*listener)}
	n.client = &http.Client{Transport: &http.Transport{DialContext: n.dial}}
	return n
}

func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	local, remote := memnet.Pair("client", address, 500*time.Microsecond)
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
}

// startEngine starts a stand-in engine at "name:80" and returns a client of it.
func (n *network) startEngine(t *testing.T, name string, cfg standin.Config) (*httpengine.Engine, *standin.Core) {
	cfg.Name, cfg.Address = name, name+":80"
	cfg.Resolve = standin.HTTPResolver(n.client)
	core := standin.NewCore(cfg)
	server := standin.NewServer(core)
	l := &listener{address: cfg.Address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[cfg.Address] = l
	n.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		n.client.CloseIdleConnections()
		_ = server.Shutdown(context.Background())
	})
	return httpengine.New("http://"+cfg.Address, n.client), core
}

// stopListening closes the listener at an address, to simulate a process that has crashed.
func (n *network) stopListening(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.listeners[address].Close()
	delete(n.listeners, address)
}

func appendTo(tokens *[]string) func(string) error {
	return func(text string) error {
		*tokens = append(*tokens, text)
		return nil
	}
}

// Guards against a field that is lost between client and engine when a request is prefilled on one engine and decoded on
// another.
func TestPrefillThenDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		prefill, prefillCore := n.startEngine(t, "p", standin.Config{Role: wirev1.EngineRole_ENGINE_ROLE_PREFILL})
		decode, decodeCore := n.startEngine(t, "d", standin.Config{Role: wirev1.EngineRole_ENGINE_ROLE_DECODE})
		ctx := engine.WithAccount(t.Context(), "kilimo")
		want := standin.ExpectedOutput(model, prompt, 0, 8)
		for i, cached := range []int{0, 2048} {
			result, err := prefill.Prefill(ctx, "r", &wirev1.PrefillWork{Model: model, Prompt: prompt})
			if err != nil {
				t.Fatal(err)
			}
			if result.PromptTokens != 4000 || result.CachedTokens != cached || result.Handle.GetBytes() == 0 {
				t.Errorf("prefill %d: %+v", i, result)
			}
			var tokens []string
			work := &wirev1.DecodeWork{Model: model, Prompt: prompt, Handle: result.Handle, MaxTokens: 8, Delivered: want[:3*i]}
			decoded, err := decode.Decode(ctx, "r", work, appendTo(&tokens))
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(tokens, want[3*i:]) || decoded.FinishReason != "length" || decoded.OutputTokens != len(tokens) {
				t.Errorf("decode %d: %q, %+v", i, tokens, decoded)
			}
		}
		audit := prefillCore.Audit()
		if audit.Counts.ExportsImported != 2 || audit.BlocksHeld != 0 || !slices.Equal(audit.DoubleRuns, []string{"r"}) {
			t.Errorf("prefill audit: %+v", audit)
		}
		if len(decodeCore.Audit().Accounts["kilimo"]) == 0 || decodeCore.Audit().BlocksHeld != 0 {
			t.Errorf("decode audit: %+v", decodeCore.Audit())
		}
	})
}

// Guards against an error of an engine that is mapped to the wrong kind, for example to one of a request that may have
// run.
func TestErrorKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		e, core := n.startEngine(t, "e", standin.Config{EventLog: 1, CacheBlocks: 1, BlockTokens: 100})
		unreachable := httpengine.New("http://absent:80", n.client)
		decode := func(handle *wirev1.KVHandle) error {
			_, err := e.Decode(t.Context(), "", &wirev1.DecodeWork{Model: model, MaxTokens: 4, Handle: handle}, func(string) error { return nil })
			return err
		}
		if err := e.Order(t.Context(), engine.Order{FencingNumber: 9, Engine: &wirev1.EngineOrder{LoadModel: model}}); err != nil {
			t.Fatal(err)
		}
		prefill := func(e *httpengine.Engine) error {
			_, err := e.Prefill(t.Context(), "", &wirev1.PrefillWork{Model: model, Prompt: prompt})
			return err
		}
		for range 2 {
			if err := prefill(e); err != nil {
				t.Fatal(err)
			}
			prompt := strings.Repeat("else", 200)
			if _, err := e.Prefill(t.Context(), "", &wirev1.PrefillWork{Model: model, Prompt: prompt}); err != nil {
				t.Fatal(err)
			}
		}
		_, lostEventsErr := e.CacheEvents(t.Context(), 1, 0)
		cases := []struct {
			name      string
			got, want error
		}{
			{"unreachable", prefill(unreachable), engine.ErrUnreachable},
			{"unknown handle", decode(&wirev1.KVHandle{EngineAddress: "e:80", Handle: "none"}), engine.ErrEvicted},
			{"unreachable exporter", decode(&wirev1.KVHandle{EngineAddress: "absent:80", Handle: "none"}), engine.ErrEvicted},
			{"old order", e.Order(t.Context(), engine.Order{FencingNumber: 9}), engine.ErrStaleOrder},
			{"lost events", lostEventsErr, engine.ErrEventsLost},
			{"release of unknown handle", e.Release(t.Context(), "none"), nil},
			{"abort", e.AbortAll(t.Context()), nil},
		}
		core.SetFaults(standin.Faults{Refuse: true})
		cases = append(cases, struct {
			name      string
			got, want error
		}{"refused", prefill(e), engine.ErrBusy})
		for _, tc := range cases {
			if !errors.Is(tc.got, tc.want) {
				t.Errorf("%s: %v, want %v", tc.name, tc.got, tc.want)
			}
		}
	})
}

// Guards against an interrupted stream that is reported as complete or as not started, and against memory that is not
// freed when the caller cancels.
func TestInterruptedStream(t *testing.T) {
	cases := []struct {
		name      string
		interrupt func(n *network, core *standin.Core, cancel context.CancelFunc)
		want      []error
	}{
		{"drop", func(n *network, _ *standin.Core, _ context.CancelFunc) {
			response, err := n.client.Post("http://e:80/faults", "application/json", strings.NewReader(`{"drop":true}`))
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		}, []error{engine.ErrBroken}},
		{"kill", func(_ *network, core *standin.Core, _ context.CancelFunc) { core.Kill() }, []error{engine.ErrBroken}},
		{"cancel", func(_ *network, _ *standin.Core, cancel context.CancelFunc) { cancel() }, []error{engine.ErrBroken, context.Canceled}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				e, core := n.startEngine(t, "e", standin.Config{})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var tokens []string
				done := make(chan error, 1)
				go func() {
					_, err := e.Decode(ctx, "r", &wirev1.DecodeWork{Model: model, Prompt: "p", MaxTokens: 1000}, appendTo(&tokens))
					done <- err
				}()
				time.Sleep(time.Second)
				load, err := e.Load(t.Context())
				if err != nil || load.Running != 1 || load.KVUsage == 0 {
					t.Errorf("load %+v, %v", load, err)
				}
				tc.interrupt(n, core, cancel)
				err = <-done
				for _, want := range tc.want {
					if !errors.Is(err, want) {
						t.Errorf("error %v, want %v", err, want)
					}
				}
				if errors.Is(err, engine.ErrUnreachable) {
					t.Errorf("running stream reported as not started: %v", err)
				}
				if len(tokens) < 30 || !slices.Equal(tokens, standin.ExpectedOutput(model, "p", 0, len(tokens))) {
					t.Errorf("tokens before the interruption: %q", tokens)
				}
				time.Sleep(10 * time.Millisecond)
				if held := core.Audit().BlocksHeld; held != 0 {
					t.Errorf("%d blocks still held", held)
				}
			})
		})
	}
}

// Guards against the verdict "not run" for a request that was sent, and against "may have run" for one that was not.
func TestUnreachableOrBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		e, core := n.startEngine(t, "e", standin.Config{})
		prefill := func() error {
			_, err := e.Prefill(t.Context(), "", &wirev1.PrefillWork{Model: model, Prompt: prompt})
			return err
		}
		if err := prefill(); err != nil {
			t.Fatal(err)
		}
		// Half of the prompt is cached, so the prefill takes 98 ms.
		time.AfterFunc(50*time.Millisecond, core.Kill)
		if err := prefill(); !errors.Is(err, engine.ErrBroken) || errors.Is(err, engine.ErrUnreachable) {
			t.Errorf("killed while running: %v", err)
		}
		n.stopListening("e:80")
		time.Sleep(10 * time.Millisecond)
		if err := prefill(); !errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrBroken) {
			t.Errorf("after the listener was closed: %v", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := e.AbortAll(ctx); !errors.Is(err, engine.ErrUnreachable) || !errors.Is(err, context.Canceled) {
			t.Errorf("cancelled before the request was sent: %v", err)
		}
	})
}

// Guards against an exported KV cache that is never freed because the import by another engine stalled and was cancelled.
func TestCancelledTransferReleasesMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		prefill, prefillCore := n.startEngine(t, "p", standin.Config{})
		decode, decodeCore := n.startEngine(t, "d", standin.Config{})
		result, err := prefill.Prefill(t.Context(), "r", &wirev1.PrefillWork{Model: model, Prompt: prompt})
		if err != nil {
			t.Fatal(err)
		}
		decodeCore.SetFaults(standin.Faults{StallTransfer: true})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		work := &wirev1.DecodeWork{Model: model, Prompt: prompt, Handle: result.Handle, MaxTokens: 8}
		if _, err := decode.Decode(ctx, "r", work, func(string) error { return nil }); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("stalled transfer: %v", err)
		}
		time.Sleep(10 * time.Millisecond)
		if prefillCore.Audit().BlocksHeld != 0 || decodeCore.Audit().BlocksHeld != 0 {
			t.Errorf("blocks still held: %v, %v", prefillCore.Audit().Holders, decodeCore.Audit().Holders)
		}
	})
}
