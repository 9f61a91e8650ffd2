package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a fleet in which every entry process keeps a session to every sidecar, and against prompts and idempotency
// keys that different entry processes send to different upstreams because they know different subsets.
func TestSubsetsAgreeOnAffinity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.subset = 2
		defer w.close()
		for i := range 8 {
			w.addEngine(fmt.Sprintf("prefill-%d", i), "prefill", nil)
			w.addEngine(fmt.Sprintf("decode-%d", i), "decode", nil)
			w.addService(fmt.Sprintf("ledger-%d", i))
		}
		w.startEntries(3)
		time.Sleep(settleTime)
		w.apply(w.document(nil))
		if sessions := len(w.entries["entry-0"].entry.Status().Nodes) - 2; sessions != 6 {
			t.Errorf("%d sessions to sidecars, want a subset of 2 for each of 3 roles", sessions)
		}
		shared := strings.Repeat("the same history ", 1500)
		for i := range 12 {
			text := fmt.Sprintf("%s question %d", shared, i)
			wantWhole(t, w.complete(context.Background(), fmt.Sprintf("entry-%d", i%3), testKey, text, 5), text, 5)
			time.Sleep(2 * time.Second)
		}
		used := 0
		for name, e := range w.engines {
			if e.Audit().Counts.PrefillsStarted > 0 && strings.HasPrefix(name, "prefill") {
				used++
			}
		}
		if used > 3 {
			t.Errorf("prompts with one beginning ran at %d prefill engines", used)
		}
		for i := range 6 {
			header := http.Header{"Idempotency-Key": {"k"}}
			if a := w.book(context.Background(), fmt.Sprintf("entry-%d", i%3), "b", header); !a.whole {
				t.Errorf("booking: %+v", a)
			}
		}
		if runs := w.runsOf("b"); runs != 1 {
			t.Errorf("booking with one key ran %d times", runs)
		}
		time.Sleep(2 * time.Minute)
		if sessions := len(w.entries["entry-0"].entry.Status().Nodes) - 2; sessions != 6 {
			t.Errorf("%d sessions after idle links should have closed", sessions)
		}
	})
}
