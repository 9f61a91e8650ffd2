// Package waitqueue orders the requests that wait for capacity at model engines.
//
// It is built for bursts of one and a half to four times what the engines can decode, for a few seconds. Serving in order of
// arrival would then make every request late. Here requests are served by priority, and within a priority by their value
// relative to the engine memory and time that they use: an answer that is expected to be short before a long one, and a
// request that can still be in time before a late retry. A request whose deadline passes leaves the queue at once.
package waitqueue

import (
	"container/heap"
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
)

// Item is one request.
type Item struct {
	// Priority orders requests before value and cost; the lowest number is the most urgent.
	Priority int
	// Value is the value of the answer, and Cost the engine memory and time that it uses, in any units. Requests of one
	// priority are served by Value/Cost.
	Value, Cost float64
	// Level is the priority at which the request counts as waiting demand, and Memory the engine memory that it needs, in tokens.
	Level, Memory int
	// Deadline is when the request stops waiting.
	Deadline time.Time
	// TryAcquire acquires the capacity that the request needs, and reports whether there was enough.
	TryAcquire func() bool

	sequence uint64
	index    int           // position in the heap; -1 if not in it
	granted  chan struct{} // closed when TryAcquire has succeeded
}

// before reports whether i is served before other.
func (i *Item) before(other *Item) bool {
	if i.Priority != other.Priority {
		return i.Priority < other.Priority
	}
	// Compare Value/Cost by cross-multiplication.
	if left, right := i.Value*other.Cost, other.Value*i.Cost; left != right {
		return left > right
	}
	return i.sequence < other.sequence
}

// Queue holds the waiting requests of one service. Its methods may be called concurrently.
type Queue struct {
	// Changed is called with the demand of the waiting items after it may have changed: without a mutex held, by one goroutine
	// at a time, and with the newest demand last. It must not call Wait or CapacityChanged, and must be set before the
	// queue is used; nil for none.
	Changed func(demand backlog.Levels)
	// changes counts the changes since the last complete call of Changed.
	changes atomic.Int64

	mu       sync.Mutex // guards the fields below and serializes calls of TryAcquire
	items    itemHeap
	sequence uint64
	demand   backlog.Levels // of items
}

// Wait returns true once the item's TryAcquire has succeeded, and false when its deadline has passed or ctx has ended.
func (q *Queue) Wait(ctx context.Context, item *Item) bool {
	if ctx.Err() != nil {
		return false
	}
	item.granted, item.index = make(chan struct{}), -1
	q.mu.Lock()
	q.sequence++
	item.sequence = q.sequence
	heap.Push(&q.items, item)
	q.countLocked(item, 1)
	q.grantLocked()
	q.mu.Unlock()
	q.notify()
	timer := time.NewTimer(time.Until(item.Deadline))
	defer timer.Stop()
	select {
	case <-item.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	granted := q.remove(item)
	q.notify()
	return granted
}

// remove removes an item, unless it was granted in the meantime. It reports whether it was.
func (q *Queue) remove(item *Item) (granted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if item.index < 0 {
		return true
	}
	heap.Remove(&q.items, item.index)
	q.countLocked(item, -1)
	// The next item may need less capacity.
	q.grantLocked()
	return false
}

// CapacityChanged makes the queue try the waiting items again. It is called after capacity may have become free.
func (q *Queue) CapacityChanged() {
	q.mu.Lock()
	granted := q.grantLocked()
	q.mu.Unlock()
	if granted {
		q.notify()
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// grantLocked serves items in order until one finds too little capacity. Those behind it wait, so that small requests do not
// starve a large one. It reports whether it served any.
func (q *Queue) grantLocked() (granted bool) {
	for len(q.items) > 0 && q.items[0].TryAcquire() {
		item := heap.Pop(&q.items).(*Item)
		q.countLocked(item, -1)
		close(item.granted)
		granted = true
	}
	return granted
}

// countLocked adds an item to the demand, or removes it with a sign of -1. q.mu must be held.
func (q *Queue) countLocked(item *Item, sign int) {
	if q.demand == nil {
		q.demand = make(backlog.Levels)
	}
	demand := q.demand[item.Level]
	demand.Requests += sign
	demand.MemoryTokens += sign * item.Memory
	if q.demand[item.Level] = demand; demand.Requests == 0 {
		delete(q.demand, item.Level)
	}
}

// notify calls Changed. If another goroutine is calling it, that one calls it again instead.
func (q *Queue) notify() {
	if q.Changed == nil || q.changes.Add(1) > 1 {
		return
	}
	for {
		count := q.changes.Load()
		q.mu.Lock()
		demand := maps.Clone(q.demand)
		q.mu.Unlock()
		q.Changed(demand)
		if q.changes.CompareAndSwap(count, 0) {
			return
		}
	}
}

// itemHeap implements heap.Interface.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	last.index = -1
	return last
}
