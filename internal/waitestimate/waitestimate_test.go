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
		{"sums that overflow", func(e *Estimator) { finish(e, 8, time.Hour, 1000) }, math.MaxInt, math.MaxInt, 1, math.MaxInt64 / 2, true},
	} {
		var e Estimator
		c.finished(&e)
		wait, known := e.Wait(c.ahead, c.own, c.inUse)
		if known != c.known || (wait-c.want).Abs() > time.Millisecond {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, wait, known, c.want, c.known)
		}
	}
}

// Guards against a share that depends on other priorities or on requests of long ago, and against one that counts much after a start.
func TestArrived(t *testing.T) {
	type arrival struct {
		times, priority int
		ratio           float64
	}
	for _, c := range []struct {
		name     string
		arrivals []arrival
		ratio    float64
		want     float64
	}{
		{"first request", nil, 1, 0},
		{"second request", []arrival{{1, 0, 9}}, 1, 0.125},
		{"order of arrival", []arrival{{20, 0, 1}}, 1, 1},
		{"better than all", []arrival{{20, 0, 1}}, 2, 0},
		{"in between", []arrival{{10, 0, 1}, {30, 0, 9}}, 5, 0.75},
		{"other priority", []arrival{{20, 1, 9}, {20, 0, 1}}, 5, 0},
		{"long ago", []arrival{{100, 0, 9}, {64, 0, 1}}, 5, 0},
		{"partly long ago", []arrival{{100, 0, 9}, {48, 0, 1}}, 5, 0.25},
	} {
		var e Estimator
		for _, a := range c.arrivals {
			for range a.times {
				e.Arrived(a.priority, a.ratio)
			}
		}
		if got := e.Arrived(0, c.ratio); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: share %g, want %g", c.name, got, c.want)
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
