package follow

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// Health is what all followers in a process know of the service. While it does not answer, they make one call at a time to find out when it does
// again, and go on at once after the first answer. Without that, an outage of nine seconds costs each process about 100 calls.
type Health struct {
	// maxPause returns the longest pause between two such calls. It is called without mu, because it may take mutexes of its own.
	maxPause func() time.Duration
	// onChange is called when the service is lost or regained.
	onChange func(available bool)

	mu        sync.Mutex // guards the fields below
	failing   bool
	failedAt  time.Time // the last call without an answer
	pause     time.Duration
	nextTry   time.Time
	recovered chan struct{} // closed when the service answers again
}

// NewHealth returns the health of a service that answers. onChange must not block.
func NewHealth(maxPause func() time.Duration, onChange func(available bool)) *Health {
	return &Health{maxPause: maxPause, onChange: onChange, recovered: make(chan struct{})}
}

// Available reports whether the last call was answered.
func (h *Health) Available() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failing
}

// FailedAt returns when a call was left without an answer last; zero if none was.
func (h *Health) FailedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failedAt
}

// TryNow ends the current pause, because the service may answer again.
func (h *Health) TryNow() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing && h.nextTry.After(time.Now()) {
		h.pause, h.nextTry = minRetryDelay, time.Now()
		close(h.recovered) // wakes the waiting followers, one of which makes a call
		h.recovered = make(chan struct{})
	}
}

// failed records a call without an answer.
func (h *Health) failed() {
	maxPause := h.maxPause()
	h.mu.Lock()
	lost := !h.failing
	if lost {
		h.failing, h.pause = true, minRetryDelay
	} else {
		h.pause = min(2*h.pause, maxPause)
	}
	h.failedAt = time.Now()
	h.nextTry = h.failedAt.Add(h.pause)
	h.mu.Unlock()
	if lost {
		h.onChange(false)
	}
}

// succeeded records an answer.
func (h *Health) succeeded() {
	h.mu.Lock()
	regained := h.failing
	if regained {
		h.failing = false
		close(h.recovered)
		h.recovered = make(chan struct{})
	}
	h.mu.Unlock()
	if regained {
		h.onChange(true)
	}
}

// wait returns when the service answers again, when it is the caller's turn to find out, or when ctx ends.
func (h *Health) wait(ctx context.Context) {
	for ctx.Err() == nil {
		maxPause := h.maxPause()
		h.mu.Lock()
		now := time.Now()
		left, recovered := h.nextTry.Sub(now), h.recovered
		if h.failing && left <= 0 {
			h.nextTry = now.Add(maxPause) // the other followers wait for the result of this call
		}
		if !h.failing || left <= 0 {
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
		wait.ForOr(ctx, left, recovered)
	}
}

// Status is how a follower reports on the service that it reads.
type Status struct {
	Logger *zap.Logger
	// Health is shared by the followers of a process; nil if this one stands alone.
	Health *Health
}

// dependency tracks whether a service can be reached. It logs each loss and each recovery once.
type dependency struct {
	Status
	name             string
	unavailable      bool
	unavailableSince time.Time
	retryDelay       time.Duration
}

// failed records a failed call and waits until the next one may be made.
func (d *dependency) failed(ctx context.Context, err error) {
	if !d.unavailable {
		d.unavailable, d.unavailableSince, d.retryDelay = true, time.Now(), minRetryDelay
		d.Logger.Warn("dependency lost", zap.String("dependency", d.name), zap.String("error", err.Error()))
	}
	delay := d.retryDelay
	d.retryDelay = min(2*d.retryDelay, maxRetryDelay)
	if d.Health != nil && (errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrOutcomeUnknown)) {
		began := time.Now()
		d.Health.failed()
		d.Health.wait(ctx)
		delay -= time.Since(began) // longer if others are answered and this follower is not
	}
	wait.For(ctx, delay)
}

func (d *dependency) succeeded() {
	if d.Health != nil {
		d.Health.succeeded()
	}
	if d.unavailable {
		d.unavailable = false
		d.Logger.Info("dependency regained", zap.String("dependency", d.name), zap.Duration("away", time.Since(d.unavailableSince)))
	}
}
