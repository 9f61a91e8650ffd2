package upstreamrate

import (
	"math"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Guards against an upstream that is barred for ever by an absurd time, a pause that a later answer shortens, one that another start
// inherits, and memory that grows with each pause.
func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New("a", now)
	u := &fleet.Upstream{ID: "u", Incarnation: 1}
	until, changed := l.Pause(u, math.MaxInt64, now)
	if longest := time.Duration((1 + pauseSpread) * float64(maxPause)); !changed || until.Sub(now) < maxPause || until.Sub(now) > longest {
		t.Errorf("pause of %v, want at most %v", until.Sub(now), longest)
	}
	if again, changed := l.Pause(u, time.Second, now); changed || again != until {
		t.Errorf("a shorter pause ended the longer one: %v", again.Sub(now))
	}
	if _, paused := l.PausedUntil(u, until.Add(-1)); !paused || !l.Limited(u, until.Add(-1)) {
		t.Error("no pause just before its end")
	}
	if _, paused := l.PausedUntil(u, until); paused || l.Limited(u, until) {
		t.Error("a pause at its end")
	}
	if _, paused := l.PausedUntil(&fleet.Upstream{ID: "u", Incarnation: 2}, now); paused {
		t.Error("another start is paused too")
	}
	l.Sweep(until)
	if len(l.pausedUntil) != 0 {
		t.Errorf("%d pauses are left", len(l.pausedUntil))
	}
}
