package engine

import (
	"context"
	"sync"
	"time"
)

// link is a transfer path whose rate is shared equally by all transfers in progress.
type link struct {
	mu        sync.Mutex
	rate      float64
	transfers map[*transfer]struct{}
	updated   time.Time
	// changed is closed when the share of a transfer changes.
	changed chan struct{}
}

type transfer struct {
	remaining float64
}

func newLink(bytesPerSecond float64) *link {
	return &link{rate: bytesPerSecond, transfers: make(map[*transfer]struct{}), changed: make(chan struct{})}
}

// setRate changes the rate; zero stops all transfers.
func (l *link) setRate(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.rate = bytesPerSecond
	l.broadcast()
}

// move returns when the bytes have passed the link, or with the cause of ctx.
func (l *link) move(ctx context.Context, bytes uint64) error {
	t := &transfer{remaining: float64(bytes)}
	l.mu.Lock()
	l.advance()
	l.transfers[t] = struct{}{}
	l.broadcast()
	l.mu.Unlock()
	defer l.leave(t)
	for {
		left, changed := l.remainingTime(t)
		if left == 0 {
			return nil
		}
		if err := waitChange(ctx, left, changed); err != nil {
			return err
		}
	}
}

// remainingTime returns the time that t needs at its present share; zero if done, negative if the link stands still.
func (l *link) remainingTime(t *transfer) (time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	// Less than one byte is the rounding error of the share.
	if t.remaining < 1 {
		return 0, l.changed
	}
	if l.rate <= 0 {
		return -1, l.changed
	}
	seconds := t.remaining * float64(len(l.transfers)) / l.rate
	return time.Duration(seconds*float64(time.Second)) + 1, l.changed
}

func (l *link) leave(t *transfer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	delete(l.transfers, t)
	l.broadcast()
}

// advance accounts for the bytes moved since the last call.
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

func (l *link) broadcast() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitChange waits for d (without limit if negative) or until changed is closed. It returns the cause of ctx if that
// ends first.
func waitChange(ctx context.Context, d time.Duration, changed <-chan struct{}) error {
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
