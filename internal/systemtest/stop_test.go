package systemtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/standin/service"
)

// Guards against callers that are told nothing true, or only after a search for the sidecar, when the time of its planned stop is over
// and running bookings are cut.
func TestEndOfSidecarStopAnswersBookings(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		const count = 20
		for _, s := range h.services {
			s.SetFaults(service.Faults{StallAfter: true})
		}
		answers := make(chan answer, count)
		for i := range count {
			go func() { answers <- h.book(context.Background(), fmt.Sprintf("entry-%d", i%3), fmt.Sprint(i), nil) }()
		}
		time.Sleep(time.Second)
		begin := time.Now()
		for _, name := range []string{"ledger-0", "ledger-1"} {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				if cut := h.sidecars[name].sidecar.Stop(ctx); cut == 0 {
					t.Errorf("%s: no call was cut, so the test shows nothing", name)
				}
				h.stopSidecar(h.sidecars[name])
			}()
		}
		for range count {
			a := <-answers
			if a.status != 502 || a.code != "stopping" || a.verdict != "may have run" || time.Since(begin) > 3*time.Second {
				t.Errorf("after %v: %d %s, %s", time.Since(begin), a.status, a.code, a.verdict)
			}
		}
	})
}
