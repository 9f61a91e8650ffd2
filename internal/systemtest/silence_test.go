package systemtest

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/standin/service"
)

// Guards against a running booking that is cut because other calls of its service reached the short timeout of their route.
func TestTimeoutsOfOtherRoutesCutNoBooking(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.apply(h.documentText(func(text *strings.Builder) {
			text.WriteString("[route \"quick\"]\npath = /stock/quick\nmethods = GET\npool = ledger\nidempotent = true\nopen = true\ntimeout = 500ms\n")
		}))
		for _, s := range h.services {
			s.SetFaults(service.Faults{DelayMS: 3000})
		}
		const bookings = 4
		answers := make(chan answer, bookings)
		for i := range bookings {
			go func() { answers <- h.book(context.Background(), "entry-0", string(rune('a'+i)), nil) }()
		}
		time.Sleep(100 * time.Millisecond)
		for range 12 {
			go h.get(context.Background(), "entry-0", "/stock/quick")
		}
		time.Sleep(1500 * time.Millisecond)
		stalled := 0
		for _, u := range h.entries["entry-0"].entry.Upstreams("kilimo") {
			if u.Pool == "ledger" && u.Stalled {
				stalled++
			}
		}
		if stalled == 0 {
			t.Error("no service counts as stalled, so the test shows nothing")
		}
		for range bookings {
			if a := <-answers; !a.whole {
				t.Errorf("booking that takes 3 s on a route with a timeout of 30 s: %d %s, %s", a.status, a.code, a.verdict)
			}
		}
	})
}
