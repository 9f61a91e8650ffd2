package systemtest

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/confsync"
)

// change stores a new version of the document without waiting until the processes have received it.
func (h *harness) change(text string) {
	h.t.Helper()
	outcome, err := confsync.Apply(h.t.Context(), h.store, "kilimo", []byte(text), h.revision)
	if err != nil || outcome.Kind != confsync.Accepted {
		h.t.Fatalf("document was not accepted: outcome %v, faults %v, error %v", outcome.Kind, outcome.Faults, err)
	}
	h.revision = outcome.Revision
}

// withoutUpstream removes the section of an upstream from a document.
func withoutUpstream(text, name string) string {
	before, after, _ := strings.Cut(text, "[upstream \""+name+"\"]\n")
	if i := strings.Index(after, "["); i >= 0 {
		return before + after[i:]
	}
	return before
}

// Guards against a stream that a change of the document breaks off: its engine is no longer in the document while the prompt is being
// prefilled or while it decodes for more than ten minutes.
func TestRemovedUpstreamKeepsItsRequests(t *testing.T) {
	for name, changeAfter := range map[string]time.Duration{"during the prefill": time.Second, "during the decode": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newSilenceHarness(t, 2)
				defer h.close()
				h.apply(withoutUpstream(h.documentText(nil), "decode-1"))
				prefills, decodes := h.engines["prefill-0"].Audit().Counts.PrefillsStarted, h.decodesStarted()
				const promptTokens, tokens = 40_000, 30_000 // 2 s of prefill and 750 s of output
				result := make(chan answer, 1)
				go func() { result <- h.complete(context.Background(), "entry-0", testKey, prompt(promptTokens), tokens) }()
				time.Sleep(changeAfter)
				h.change(withoutUpstream(h.documentText(nil), "decode-0"))
				if a := <-result; !a.whole || a.tokens != tokens {
					t.Errorf("stream beside a change: %d %s, %s, %d tokens", a.status, a.code, a.verdict, a.tokens)
				}
				if n := h.engines["prefill-0"].Audit().Counts.PrefillsStarted - prefills; n != 1 {
					t.Errorf("%d prefills of one request", n)
				}
				if n := h.decodesStarted() - decodes; n != 1 {
					t.Errorf("%d decodes of one request", n)
				}
			})
		})
	}
}
