// Package wait has a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// IsClosed reports whether a channel on which nothing is sent is closed. A nil channel is not.
func IsClosed(event <-chan struct{}) bool {
	select {
	case <-event:
		return true
	default:
		return false
	}
}

// ForOr waits until d has passed, ctx ends or event is closed, whichever comes first.
func ForOr(ctx context.Context, d time.Duration, event <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-event:
	}
}
