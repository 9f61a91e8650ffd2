package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/standin/service"
)

func (w *world) runsOf(booking string) int {
	runs := 0
	for _, s := range w.services {
		runs += s.Audit().Bookings[booking]
	}
	return runs
}

// Guards against a booking that runs again when its caller repeats it with the same idempotency key through another entry
// host, while the first attempt runs and after it.
func TestRepeatedBookingRunsOnce(t *testing.T) {
	inSmallWorld(t, func(t *testing.T, w *world) {
		for _, s := range w.services {
			s.SetFaults(service.Faults{DelayMS: 500, Count: 1})
		}
		header := http.Header{"Idempotency-Key": {"k1"}}
		answers := make(chan answer, 4)
		for i := range 3 {
			go func() { answers <- w.book(context.Background(), fmt.Sprintf("entry-%d", i), "b", header) }()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		marked := http.Header{"Idempotency-Key": {"k1"}, "Idempotency-Repeat": {"true"}}
		answers <- w.book(context.Background(), "entry-1", "b", marked)
		first := <-answers
		for range 3 {
			if a := <-answers; !a.whole || a.text != first.text {
				t.Errorf("repeat got %+v, first got %+v", a, first)
			}
		}
		if runs := w.runsOf("b"); runs != 1 {
			t.Errorf("booking ran %d times", runs)
		}
	})
}

// Guards against a marked repeat that runs because the sidecar that knew the first attempt has restarted.
func TestRepeatAfterRestartIsRefused(t *testing.T) {
	inSmallWorld(t, func(t *testing.T, w *world) {
		header := http.Header{"Idempotency-Key": {"k1"}}
		if a := w.book(context.Background(), "entry-0", "b", header); !a.whole {
			t.Fatalf("booking: %+v", a)
		}
		w.restartSidecar("ledger-0")
		w.restartSidecar("ledger-1")
		time.Sleep(settleTime)
		header.Set("Idempotency-Repeat", "true")
		a := w.book(context.Background(), "entry-1", "b", header)
		if a.status != http.StatusConflict || a.code != "earlier_run_unknown" || a.verdict != "may have run" {
			t.Errorf("repeat after a restart: %+v", a)
		}
		if runs := w.runsOf("b"); runs != 1 {
			t.Errorf("booking ran %d times", runs)
		}
	})
}
