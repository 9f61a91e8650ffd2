package waitqueue

import (
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
)

// capacity grants as many acquisitions as it has slots, and records their order.
type capacity struct {
	mu    sync.Mutex
	slots int
	order []string
}

func (c *capacity) acquire(name string) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.slots == 0 {
			return false
		}
		c.slots--
		c.order = append(c.order, name)
		return true
	}
}

// Guards against service in order of arrival, which makes all requests of a burst late. Requests are served by priority, then
// by value relative to cost, and a request whose deadline has passed leaves without a slot.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queue Queue
		var free capacity
		var waiting sync.WaitGroup
		results := make(map[string]bool)
		var mu sync.Mutex
		add := func(name string, priority int, value, cost float64, patience time.Duration) {
			waiting.Go(func() {
				item := &Item{Priority: priority, Value: value, Cost: cost, Deadline: time.Now().Add(patience), TryAcquire: free.acquire(name)}
				ok := queue.Wait(t.Context(), item)
				mu.Lock()
				defer mu.Unlock()
				results[name] = ok
			})
			synctest.Wait()
		}
		add("long", 1, 1, 9, time.Minute)
		add("short", 1, 1, 2, time.Minute)
		add("retried", 1, 0.2, 2, time.Minute)
		add("impatient", 0, 1, 1, time.Second)
		add("urgent", 0, 1, 50, time.Minute)
		time.Sleep(2 * time.Second)
		for range 4 {
			free.mu.Lock()
			free.slots++
			free.mu.Unlock()
			queue.CapacityChanged()
			synctest.Wait()
		}
		waiting.Wait()
		if got := strings.Join(free.order, " "); got != "urgent short long retried" {
			t.Errorf("order %q", got)
		}
		if results["impatient"] || queue.Len() != 0 {
			t.Errorf("impatient got a slot: %v; %d still waiting", results["impatient"], queue.Len())
		}
	})
}

// Guards against capacity granted to a request whose caller has disconnected: the request acquired it again and again in an
// endless loop.
func TestEndedContextGetsNoPlace(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var queue Queue
	free := capacity{slots: 1}
	if queue.Wait(ctx, &Item{Value: 1, Cost: 1, Deadline: time.Now().Add(time.Minute), TryAcquire: free.acquire("cancelled")}) || free.slots != 1 {
		t.Error("a request with an ended context acquired a slot")
	}
}

// Guards against demand that is reported for requests which no longer wait, at another priority than that of their route, or never,
// and against a report under the mutex of the queue, which would block.
func TestDemandIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var free capacity
		var queue Queue
		var last atomic.Pointer[backlog.Levels]
		queue.Changed = func(demand backlog.Levels) { last.Store(&demand); queue.Len() }
		add := func(priority, level int, patience time.Duration) {
			go queue.Wait(t.Context(), &Item{Priority: priority, Level: level, Memory: 10, Value: 1, Cost: 1, Deadline: time.Now().Add(patience), TryAcquire: free.acquire("")})
			synctest.Wait()
		}
		check := func(step string, want backlog.Levels) {
			t.Helper()
			if synctest.Wait(); !maps.Equal(*last.Load(), want) {
				t.Errorf("%s: %v, want %v", step, *last.Load(), want)
			}
		}
		add(2, 2, time.Minute)
		add(2, 2, time.Minute)
		add(-1, 1, time.Second)
		check("three wait", backlog.Levels{2: {Requests: 2, MemoryTokens: 20}, 1: {Requests: 1, MemoryTokens: 10}})
		time.Sleep(2 * time.Second)
		check("a deadline has passed", backlog.Levels{2: {Requests: 2, MemoryTokens: 20}})
		free.slots = 2
		queue.CapacityChanged()
		check("all are served", nil)
		free.slots = 1
		add(0, 0, time.Minute)
		check("served at once", nil)
	})
}

// Guards against an older demand that is reported after a newer one by another goroutine.
func TestNewestDemandIsReportedLast(t *testing.T) {
	var queue Queue
	free := capacity{slots: 1 << 20}
	var last backlog.Levels
	queue.Changed = func(demand backlog.Levels) { last = demand } // the race detector finds concurrent calls
	var waiting sync.WaitGroup
	for range 8 {
		waiting.Go(func() {
			for i := range 200 {
				deadline := time.Now().Add(time.Duration(i%3) * 10 * time.Microsecond)
				queue.Wait(t.Context(), &Item{Value: 1, Cost: 1, Deadline: deadline, TryAcquire: func() bool { return i%2 == 0 && free.acquire("")() }})
				queue.CapacityChanged()
			}
		})
	}
	waiting.Wait()
	if len(last) != 0 {
		t.Errorf("at the end, %v is reported", last)
	}
}
