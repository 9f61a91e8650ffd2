package engine

import (
	"context"
	"sync"
	"time"
)

// link simulates a network link whose bandwidth is shared equally by all transfers in progress.
type link struct {
	mu        sync.Mutex
	rate      float64 // bytes per second
	transfers map[*transfer]struct{}
	updated   time.Time // time of the last call of advance
	// changed is closed and replaced when the bandwidth share of the transfers changes.
	changed chan struct{}
}

type transfer struct {
	remaining float64 // bytes
}

func newLink(bytesPerSecond float64) *link {
	return &link{rate: bytesPerSecond, transfers: make(map[*transfer]struct{}), changed: make(chan struct{})}
}

// setRate changes the bandwidth; zero stalls all transfers.
func (l *link) setRate(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.rate = bytesPerSecond
	l.broadcast()
}

// transferBytes blocks until the bytes are transferred. It returns the cause of ctx if ctx ends first.
func (l *link) transferBytes(ctx context.Context, bytes uint64) error {
	t := &transfer{remaining: float64(bytes)}
	l.mu.Lock()
	l.advance()
	l.transfers[t] = struct{}{}
	l.broadcast()
	l.mu.Unlock()
	defer l.removeTransfer(t)
	for {
		left, changed := l.remainingTime(t)
		if left == 0 {
			return nil
		}
		if err := waitForChange(ctx, left, changed); err != nil {
			return err
		}
	}
}

// remainingTime returns the time that t needs at its current share of the bandwidth: zero if t is complete, negative if
// the bandwidth is zero.
func (l *link) remainingTime(t *transfer) (time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	// A remainder below one byte is a rounding error of the bandwidth shares.
	if t.remaining < 1 {
		return 0, l.changed
	}
	if l.rate <= 0 {
		return -1, l.changed
	}
	seconds := t.remaining * float64(len(l.transfers)) / l.rate
	return time.Duration(seconds*float64(time.Second)) + 1, l.changed
}

func (l *link) removeTransfer(t *transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	delete(l.transfers, t)
	l.broadcast()
}

// advance subtracts the bytes transferred since the last call from all transfers. The caller must hold mu.
func (l *link) advance() {
	now := time.Now()
	elapsed := now.Sub(l.updated).Seconds()
	l.updated = now
	if len(l.transfers) == 0 {
		return
	}
	moved := elapsed * l.rate / float64(len(l.transfers))
	for t := range l.transfers {
		t.remaining -= moved
	}
}

// broadcast wakes all transfers, so that they recompute their remaining time. The caller must hold mu.
func (l *link) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitForChange waits until d has passed or changed is closed; a negative d means no time limit. It returns the cause
// of ctx if ctx ends first.
func waitForChange(ctx context.Context, d time.Duration, changed <-chan struct{}) error {
	var expired <-chan time.Time
	if d >= 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-expired:
	case <-changed:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}
