package places

import (
	"context"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// state is the state of a reservation.
type state int

const (
	stateGranted state = iota
	stateRunning
	stateReleased
)

// Reservation is a granted place or the promise of one.
type Reservation struct {
	authority *Authority
	account   string
	cost      float64
	// units is the expected amount of work: output tokens if tokenBased is set, cost tokens otherwise.
	units      float64
	tokenBased bool
	// due is when the place is needed.
	due time.Time
	// promised is set if no place was free when the reservation was granted.
	promised  bool
	holdTimer *time.Timer
	// grantEnded is closed when the reservation leaves stateGranted.
	grantEnded chan struct{}
	// revoked is closed when the upstream frees the reservation before it began.
	revoked chan struct{}

	// The fields below are guarded by authority.mu.
	state   state
	refusal *verdict.Refusal
	// beginCalledAt is the time of the first call of Begin.
	beginCalledAt time.Time
	// startedAt is when a place was assigned.
	startedAt    time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	outputTokens int
}

// Begin occupies a place. If the promised place is not free yet, it waits until it is or ctx ends. The error is a
// *verdict.Refusal with verdict NotRun; the reservation is then released. A call on a running reservation fails too,
// but leaves it running.
func (r *Reservation) Begin(ctx context.Context) error {
	a := r.authority
	a.mu.Lock()
	if r.state == stateReleased || r.state == stateRunning {
		defer a.mu.Unlock()
		return r.endedLocked()
	}
	if r.beginCalledAt.IsZero() {
		r.holdTimer.Stop()
		r.beginCalledAt = time.Now()
		a.pendingStarts = append(a.pendingStarts, r)
		a.assignPlacesLocked()
	}
	a.mu.Unlock()
	select {
	case <-r.grantEnded:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state == stateRunning {
		return nil
	}
	if r.state == stateReleased {
		return r.endedLocked()
	}
	a.estimator.observeBrokenPromise(r)
	a.releaseLocked(r)
	return verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "promised place was not free in time")
}

// endedLocked returns the refusal of a call of Begin after the reservation started or ended.
func (r *Reservation) endedLocked() *verdict.Refusal {
	if r.refusal != nil {
		return r.refusal
	}
	return verdict.Refuse(wirev1.Reason_REASON_NO_RESERVATION, "reservation is no longer held")
}

// Progress reports the total number of output tokens so far.
func (r *Reservation) Progress(tokens int) {
	a := r.authority
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != stateRunning || tokens <= r.outputTokens {
		return
	}
	now := time.Now()
	a.estimator.observeTokens(r, tokens, now)
	if r.outputTokens == 0 {
		r.firstTokenAt = now
	}
	r.outputTokens = tokens
	r.lastTokenAt = now
	if a.queue.len() > 0 && now.Sub(a.lastEvaluation) >= evaluateInterval {
		a.evaluateQueueLocked()
	}
}

// Release frees the place or the promise. It may be called in any state and more than once.
func (r *Reservation) Release() {
	r.authority.mu.Lock()
	defer r.authority.mu.Unlock()
	r.authority.releaseLocked(r)
}

// Promised reports whether the place was not yet free when the reservation was granted.
func (r *Reservation) Promised() bool {
	return r.promised
}

// Revoked returns a channel that is closed when the upstream frees the reservation before it began, because its hold
// limit has passed or the upstream is stalled. An entry that is notified before the prefill starts can reserve a place
// on another upstream without wasting the prefill.
func (r *Reservation) Revoked() <-chan struct{} {
	return r.revoked
}

// servedCost returns the part of the charged cost that was used.
func (r *Reservation) servedCost(used bool) float64 {
	if !used {
		return 0
	}
	if !r.tokenBased {
		return r.cost
	}
	return r.cost * min(1, float64(r.outputTokens)/r.units)
}
