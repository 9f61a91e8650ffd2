package waitestimate

import (
	"math"
	"sync"
	"testing"
	"time"
)

// finish records n streams of the same kind.
func finish(e *Estimator, n int, held time.Duration, memory int) {
	for range n {
		e.Finished(held, memory)
	}
}

// Guards against estimates from too few streams, against a mean that counts each stream alike whatever memory it frees, and against an
// average that does not follow a change of the engines' speed.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		name              string
		finished          func(e *Estimator)
		ahead, own, inUse int
		want              time.Duration
		known             bool
	}{
		{"seven streams", func(e *Estimator) { finish(e, 7, time.Second, 1000) }, 1000, 1000, 1000, 0, false},
		{"eight streams", func(e *Estimator) { finish(e, 8, time.Second, 1000) }, 3000, 1000, 8000, 500 * time.Millisecond, true},
		{"no stream runs", func(e *Estimator) { finish(e, 8, time.Second, 1000) }, 3000, 1000, 0, 0, false},
		{"streams without time or memory", func(e *Estimator) { finish(e, 8, 0, 1000); finish(e, 8, time.Second, 0) }, 1000, 1000, 1000, 0, false},
		{"long streams need most memory", func(e *Estimator) { finish(e, 4, time.Second, 1000); finish(e, 4, 5*time.Second, 3000) }, 0, 1000, 1000, 4 * time.Second, true},
		{"engines became slower", func(e *Estimator) { finish(e, 100, time.Second, 1000); finish(e, 200, 3*time.Second, 1000) }, 0, 500, 1000, 1500 * time.Millisecond, true},
		{"sums that overflow", func(e *Estimator) { finish(e, 8, time.Hour, 1000) }, math.MaxInt, math.MaxInt, 1, time.Hour, true},
	} {
		var e Estimator
		c.finished(&e)
		wait, known := e.Wait(c.ahead, c.own, c.inUse)
		if known != c.known || (wait-c.want).Abs() > time.Millisecond {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, wait, known, c.want, c.known)
		}
	}
}

// Guards against shares that depend on other priorities or on requests of long ago, against much weight of few requests after a start, and
// against requests of the same ratio that count as overtaking.
func TestArrived(t *testing.T) {
	type arrival struct {
		times, priority int
		ratio           float64
	}
	for _, c := range []struct {
		name             string
		arrivals         []arrival
		ratio            float64
		want, overtaking float64
	}{
		{"first request", nil, 1, 0, 0},
		{"second request", []arrival{{1, 0, 9}}, 1, 0.125, 0.125},
		{"order of arrival", []arrival{{20, 0, 1}}, 1, 1, 0},
		{"better than all", []arrival{{20, 0, 1}}, 2, 0, 0},
		{"in between", []arrival{{10, 0, 1}, {30, 0, 9}}, 5, 0.75, 0.75},
		{"some are the same", []arrival{{10, 0, 1}, {10, 0, 5}, {20, 0, 9}}, 5, 0.75, 0.5},
		{"other priority", []arrival{{20, 1, 9}, {20, 0, 1}}, 5, 0, 0},
		{"long ago", []arrival{{100, 0, 9}, {64, 0, 1}}, 5, 0, 0},
		{"partly long ago", []arrival{{100, 0, 9}, {48, 0, 1}}, 5, 0.25, 0.25},
	} {
		var e Estimator
		for _, a := range c.arrivals {
			for range a.times {
				e.Arrived(a.priority, a.ratio)
			}
		}
		overtaking := e.Overtaking(0, c.ratio)
		if got := e.Arrived(0, c.ratio); math.Abs(got-c.want) > 1e-9 || math.Abs(overtaking-c.overtaking) > 1e-9 {
			t.Errorf("%s: share %g, overtaking %g, want %g and %g", c.name, got, overtaking, c.want, c.overtaking)
		}
	}
}

// Guards, under the race detector, against unguarded state.
func TestConcurrentUse(t *testing.T) {
	var e Estimator
	var users sync.WaitGroup
	for range 4 {
		users.Go(func() {
			for range 100 {
				e.Finished(time.Second, 1000)
				e.Overtaking(1, 1)
				e.Arrived(1, 1)
				e.Wait(1000, 1000, 1000)
			}
		})
	}
	users.Wait()
	if wait, known := e.Wait(0, 1000, 1000); !known || (wait-time.Second).Abs() > time.Millisecond {
		t.Errorf("%v, %v", wait, known)
	}
}
