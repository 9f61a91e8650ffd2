package sidecar

import (
	"sync"
	"time"
)

const (
	// stallThreshold is the number of consecutive timeouts after which a plain service counts as stalled. A single slow call
	// is no sign of a stall: only the timeout of its route says how long it may take.
	stallThreshold = 3
	// A stalled service may respond to a probe but still not to calls. It gets work again only after a backoff that doubles
	// with each consecutive stall, and counts as stalled again after one more timeout.
	minStallBackoff = 2 * time.Second
	maxStallBackoff = time.Minute
)

// timeoutStreak counts the calls that timed out since the last response, like a circuit breaker.
type timeoutStreak struct {
	mu        sync.Mutex // guards the fields below
	count     int
	backoff   time.Duration // of the current or last stall; 0 after a response
	stalledAt time.Time     // start of the current or last stall
}

// recordTimeout counts a call that timed out.
func (t *timeoutStreak) recordTimeout() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	if t.count == stallThreshold {
		t.backoff = min(max(2*t.backoff, minStallBackoff), maxStallBackoff)
		t.stalledAt = time.Now()
	}
}

// reset ends the streak after a response.
func (t *timeoutStreak) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count = 0
	t.backoff = 0
}

// endStall ends the stall, if there is one, so that the service gets work again, and reports whether the backoff permitted it.
func (t *timeoutStreak) endStall() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count < stallThreshold {
		return true
	}
	if time.Since(t.stalledAt) < t.backoff {
		return false
	}
	t.count = stallThreshold - 1
	return true
}

// stalled reports whether the service counts as stalled.
func (t *timeoutStreak) stalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count >= stallThreshold
}
