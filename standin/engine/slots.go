package engine

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// slots is a semaphore whose waiters are served by priority, and in order of arrival within a priority.
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

// acquire waits for a slot and returns the function that frees it. Errors: engine.ErrBusy if the queue is full, the
// cause of ctx.
func (s *slots) acquire(ctx context.Context, priority int32) (func(), error) {
	w, err := s.enqueue(priority)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.granted:
		return s.release, nil
	case <-ctx.Done():
		s.withdraw(w)
		return nil, context.Cause(ctx)
	}
}

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
	at := len(s.waiters)
	for at > 0 && s.waiters[at-1].priority < priority {
		at--
	}
	s.waiters = append(s.waiters, nil)
	copy(s.waiters[at+1:], s.waiters[at:])
	s.waiters[at] = w
	return w, nil
}

func (s *slots) withdraw(w *slotWaiter) {
	s.mu.Lock()
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			s.mu.Unlock()
			return
		}
	}
	s.mu.Unlock()
	// The slot was granted in the same moment.
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
