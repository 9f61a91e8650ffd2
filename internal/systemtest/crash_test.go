package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
)

const (
	deadlySuffix = "/deadly"
	deadlyPrompt = "deadly "
)

// crashingHandler breaks the connection of each request that crashes its service, and counts these requests.
func crashingHandler(next http.Handler, crashes *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, deadlySuffix) {
			crashes.Add(1)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// crashingEngine breaks each decode of a prompt that crashes it, and counts these decodes.
type crashingEngine struct {
	engine.Engine
	crashes *atomic.Int64
}

func (e crashingEngine) Decode(
	ctx context.Context, id string, work *wirev1.DecodeWork, emit func(string) error,
) (engine.DecodeResult, error) {
	if strings.HasPrefix(work.GetPrompt(), deadlyPrompt) {
		e.crashes.Add(1)
		return engine.DecodeResult{}, engine.ErrBroken
	}
	return e.Engine.Decode(ctx, id, work, emit)
}

// Guards against one request that crashes one upstream after the other, because it comes again, at any entry process, also one that has just started, and against
// sound requests that are refused because of it.
func TestRepeatedRequestCrashesFewUpstreams(t *testing.T) {
	// minCrashes tries make the request known, and three more may reach an upstream.
	const maxCrashes, repeats = 6, 20
	for _, c := range []struct {
		name  string
		send  func(h *harness, entry string) answer
		sound func(h *harness, entry string) answer
	}{
		{
			"booking",
			func(h *harness, entry string) answer {
				return h.bookAt(context.Background(), entry, "/bookings"+deadlySuffix, "deadly", nil)
			},
			func(h *harness, entry string) answer { return h.book(context.Background(), entry, "sound", nil) },
		},
		{
			"lookup",
			func(h *harness, entry string) answer {
				return h.get(context.Background(), entry, "/stock"+deadlySuffix)
			},
			func(h *harness, entry string) answer { return h.lookUpStock(context.Background(), entry) },
		},
		{
			"completion",
			func(h *harness, entry string) answer {
				return h.complete(context.Background(), entry, testKey, deadlyPrompt+prompt(300), 5)
			},
			func(h *harness, entry string) answer {
				return h.complete(context.Background(), entry, testKey, prompt(300), 5)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.close()
				crashes := new(atomic.Int64)
				h.crashes = crashes
				for i := range 2 {
					h.addEngine(fmt.Sprintf("prefill-%d", i), "prefill", nil)
				}
				for i := range 5 {
					h.addEngine(fmt.Sprintf("decode-%d", i), "decode", nil)
					h.addService(fmt.Sprintf("ledger-%d", i))
				}
				h.startEntries(3)
				time.Sleep(settleTime)
				h.apply(h.documentText(nil))
				for i := range repeats {
					if i == repeats/2 {
						h.killEntry("entry-2")
						h.entries["entry-2"].entry.Close()
						h.startEntry("entry-2", h.addressOf("entry-0")+","+h.addressOf("entry-1")+","+h.addressOf("entry-2"))
						time.Sleep(settleTime)
					}
					a := c.send(h, fmt.Sprintf("entry-%d", i%3))
					if a.whole || (a.verdict == "not run" && a.code != "prompt_quarantined") {
						t.Errorf("request %d: %d %s, %s", i, a.status, a.code, a.verdict)
					}
					time.Sleep(200 * time.Millisecond)
					if a := c.sound(h, fmt.Sprintf("entry-%d", i%3)); !a.whole {
						t.Errorf("sound request %d: %d %s, %s", i, a.status, a.code, a.verdict)
					}
				}
				if n := crashes.Load(); n < 3 || n > maxCrashes {
					t.Errorf("the request crashed %d upstreams, want 3 to %d", n, maxCrashes)
				}
			})
		})
	}
}

// Guards against a KV cache that is passed from one crashing engine to the next without regard to the retry budget.
func TestImportElsewhereUsesRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		h.crashes = new(atomic.Int64)
		h.addEngine("prefill-0", "prefill", nil)
		h.addEngine("decode-0", "decode", nil)
		h.addEngine("decode-1", "decode", nil)
		h.addService("ledger-0") // the document needs a pool for its routes
		h.startEntries(1)
		time.Sleep(settleTime)
		h.apply(h.documentText(nil))
		a := h.complete(context.Background(), "entry-0", testKey, deadlyPrompt+prompt(300), 5)
		if a.whole || a.verdict != "may have run" {
			t.Errorf("completion that crashes engines: %d %s, %s", a.status, a.code, a.verdict)
		}
		// The request itself, the retries that a process may make in 10 s besides a share of its requests, and those of the next 18 s.
		if n := h.crashes.Load(); n < 2 || n > 1+30+60 {
			t.Errorf("one request crashed %d engines", n)
		}
	})
}
