package engine

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// slots is a semaphore with a bounded queue. Waiters get slots in order of priority, and in order of arrival among
// those with the same priority.
type slots struct {
	mu      sync.Mutex
	free    int
	limit   int
	waiters []*slotWaiter
}

type slotWaiter struct {
	priority int32
	granted  chan struct{}
}

func newSlots(n, queueLimit int) *slots {
	return &slots{free: n, limit: queueLimit}
}

// acquire waits for a slot and returns a function that frees it. It returns engine.ErrBusy if the queue is full, and
// the cause of ctx if ctx ends first.
func (s *slots) acquire(ctx context.Context, priority int32) (func(), error) {
	w, err := s.enqueue(priority)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.granted:
		return s.release, nil
	case <-ctx.Done():
		s.cancelWait(w)
		return nil, context.Cause(ctx)
	}
}

// enqueue takes a free slot, or adds a waiter to the queue if there is none.
func (s *slots) enqueue(priority int32) (*slotWaiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &slotWaiter{priority: priority, granted: make(chan struct{})}
	if s.free > 0 {
		s.free--
		close(w.granted)
		return w, nil
	}
	if len(s.waiters) >= s.limit {
		return nil, errors.Wrap(engine.ErrBusy, "prefill queue full")
	}
	index := len(s.waiters)
	for index > 0 && s.waiters[index-1].priority < priority {
		index--
	}
	s.waiters = append(s.waiters, nil)
	copy(s.waiters[index+1:], s.waiters[index:])
	s.waiters[index] = w
	return w, nil
}

// cancelWait removes a waiter from the queue.
func (s *slots) cancelWait(w *slotWaiter) {
	s.mu.Lock()
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	// The waiter is not in the queue any more: it was granted a slot in the meantime, which must be freed.
	s.release()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		s.free++
		return
	}
	w := s.waiters[0]
	s.waiters = s.waiters[1:]
	close(w.granted)
}
