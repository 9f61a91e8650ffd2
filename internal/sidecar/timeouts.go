package sidecar

import (
	"sync"
	"time"
)

const (
	// stalledTimeouts is the number of calls without an answer in a row after which a plain service counts as stalled. One
	// call may be slow for reasons of its own, and only its route's timeout says how long that is all right.
	stalledTimeouts = 3
	// A stalled service that answers a probe may still not do its work, so it gets work again only after a pause that doubles
	// with each stall in a row, and counts as stalled again after one more timeout.
	minStallPause = 2 * time.Second
	maxStallPause = time.Minute
)

// timeoutStreak counts the calls that ended at their timeout since the last answer.
type timeoutStreak struct {
	mu    sync.Mutex // guards the fields below
	count int
	pause time.Duration // of the present stall; 0 if the last call was answered
	since time.Time     // start of the present stall
}

func (t *timeoutStreak) timedOut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	if t.count == stalledTimeouts {
		t.pause = min(max(2*t.pause, minStallPause), maxStallPause)
		t.since = time.Now()
	}
}

// answered notes that a call was answered.
func (t *timeoutStreak) answered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count = 0
	t.pause = 0
}

// resume gives the service work again if the pause is over.
func (t *timeoutStreak) resume() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.since) < t.pause {
		return false
	}
	t.count = stalledTimeouts - 1
	return true
}

func (t *timeoutStreak) stalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count >= stalledTimeouts
}
