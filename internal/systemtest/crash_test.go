package systemtest

import (
	"context"
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
	deadlyPath   = "/stock/deadly"
	deadlyPrompt = "deadly "
)

// crashingHandler breaks the connection of each request that crashes its service, and counts these requests.
func crashingHandler(next http.Handler, crashes *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == deadlyPath || r.Header.Get("X-Booking-Id") == "deadly" {
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
