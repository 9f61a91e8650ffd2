package follow

import (
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/monotime"
)

const (
	// leaseUsableFraction is the fraction of the lease TTL, counted from sending the renewal, in which orders may be sent.
	// The rest covers the delivery of an order, so that none arrives after another process could have become leader.
	leaseUsableFraction = 0.6
	// TakeoverDelay is the time between becoming leader and the first order. It keeps orders of two processes at least 3 s
	// apart, as the platform requires, even if the earlier order was delayed.
	TakeoverDelay = 3500 * time.Millisecond
)

// Leadership holds whether this process may send orders, and the fencing number of its orders. Its methods are safe for
// concurrent use.
type Leadership struct {
	mu         sync.Mutex // guards the fields below
	fence      int64      // 0 if this process is not the leader
	acquiredAt time.Duration
	validUntil time.Duration
}

// Fence returns the fencing number. ok is false if no orders may be sent now.
func (l *Leadership) Fence() (fence int64, ok bool) {
	now := monotime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fence != 0 && now < l.validUntil && now >= l.acquiredAt+TakeoverDelay
}

// StepDown gives up the leadership because an upstream has seen a greater fencing number.
func (l *Leadership) StepDown() { l.release() }

func (l *Leadership) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence != 0
}

func (l *Leadership) acquire(fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.acquiredAt = fence, monotime.Now()
}

// renewed extends the leadership after the lease was renewed by a call that was sent at sentAt.
func (l *Leadership) renewed(sentAt, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = sentAt + time.Duration(leaseUsableFraction*float64(ttl))
}

func (l *Leadership) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence = 0
}
