package processtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// bookingRuns returns how often each booking took effect over all plain services.
func (d *deployment) bookingRuns() map[string]int {
	runs := make(map[string]int)
	for _, u := range d.upstreams {
		if u.role != "service" {
			continue
		}
		for booking, n := range d.serviceAudit(u).Bookings {
			runs[booking] += n
		}
	}
	return runs
}

// checkBookings guards H7, H6 and H5 for bookings. A caller that lost its connection to an entry process has no verdict;
// lostAllowed says that the test killed one.
func (d *deployment) checkBookings(answers []answer, lostAllowed bool) {
	d.t.Helper()
	runs := d.bookingRuns()
	for _, a := range answers {
		if a.kind != "booking" {
			continue
		}
		n := runs[a.name]
		switch {
		case n > 1:
			d.t.Errorf("ran %d times: %v", n, a)
		case a.whole && n != 1:
			d.t.Errorf("whole answer, but ran %d times: %v", n, a)
		case a.verdict == "not run" && n != 0:
			d.t.Errorf("ran although the verdict is not run: %v", a)
		case !a.whole && a.verdict == "" && !lostAllowed:
			d.t.Errorf("neither answer nor verdict: %v", a)
		}
	}
}

// checkCompletions guards H5 and H2 for completions.
func (d *deployment) checkCompletions(answers []answer, lostAllowed bool) {
	d.t.Helper()
	for _, a := range answers {
		if a.kind != "model" {
			continue
		}
		if wrong := a.wrongText(); wrong != "" {
			d.t.Error(wrong)
		}
		if !a.whole && a.verdict == "" && !lostAllowed {
			d.t.Errorf("neither answer nor verdict: %v", a)
		}
		if a.verdict == "not run" && a.tokens > 0 {
			d.t.Errorf("tokens although the verdict is not run: %v", a)
		}
	}
}

// Guards H7 and H6: bookings while the sidecars of the service die with SIGKILL and start again, again and again. The
// service outlives them, so a call that a dead sidecar had sent may still take effect.
func TestBookingsWhileSidecarsAreKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, services: 2, latency: 20 * time.Millisecond})
	load := startTraffic(12, d.urls(), d.booking)
	for round := range 20 {
		d.waitWhole(load, 30)
		if round%2 == 0 {
			d.waitReady() // in other rounds the last one may still be on its way back
		}
		u := d.upstreams[round%2]
		u.sidecar.kill()
		d.startSidecar(u)
	}
	d.waitWhole(load, 30)
	answers := load.stop()
	// A call that its sidecar left behind ends within the latency of the service.
	eventually(t, "service idle", func() string {
		for _, u := range d.upstreams {
			if n := d.serviceAudit(u).Running; n > 0 {
				return fmt.Sprintf("%d running", n)
			}
		}
		return ""
	})
	d.checkBookings(answers, false)
	t.Log(load.summary())
}

// Guards H7, H6 and H5: an entry process dies with SIGKILL in the middle of a booking. Its caller repeats the booking through
// the other one and gets the answer of the only run. When the sidecar has been killed too, nobody can tell any more, and
// the caller is told so.
func TestRepeatedBookingThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, services: 2, latency: 1500 * time.Millisecond})
	first := http.Header{"Idempotency-Key": {"booking-of-an-agent"}}
	lost := make(chan answer, 1)
	go func() { lost <- bookWith(context.Background(), d.entries[0].url(), d.keys[0], "repeated", first) }()
	var taken *upstreamHost
	eventually(t, "the booking runs", func() string {
		for _, u := range d.upstreams {
			if d.serviceAudit(u).Running > 0 {
				taken = u
				return ""
			}
		}
		return "not yet"
	})
	d.entries[0].kill()
	if a := <-lost; a.err == nil {
		t.Errorf("the caller of a dead entry process got %v", a)
	}
	other := d.entries[1].url()
	repeat := func() answer {
		header := http.Header{"Idempotency-Key": {"booking-of-an-agent"}, "Idempotency-Repeat": {"true"}}
		return bookWith(t.Context(), other, d.keys[0], "repeated", header)
	}
	for range 2 {
		if a := repeat(); !a.whole || !strings.Contains(a.text, `"run":1`) {
			t.Errorf("repeat: %v %s", a, a.text)
		}
	}
	taken.sidecar.kill()
	d.startSidecar(taken)
	d.entries = d.entries[1:]
	d.waitReady()
	if a := repeat(); a.status != http.StatusConflict || a.code != "earlier_run_unknown" || a.verdict != "may have run" {
		t.Errorf("repeat after the sidecar has forgotten: %v", a)
	}
	if runs := d.bookingRuns()["repeated"]; runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}
