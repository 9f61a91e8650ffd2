package places

import (
	"context"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// state of a reservation.
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
	// units is the expected amount of work: output tokens if tokens is set, cost tokens otherwise.
	units    float64
	tokens   bool
	due      time.Time
	promised bool
	hold     *time.Timer
	// place is closed when the reservation leaves stateGranted.
	place chan struct{}
	lost  chan struct{}

	// The fields below are guarded by authority.mu.
	state      state
	refusal    *verdict.Refusal
	asked      time.Time
	begun      time.Time
	firstToken time.Time
	lastToken  time.Time
	progress   int
}

// Begin takes the real place. If the promised place is late, it waits until ctx ends. The error is a *verdict.Refusal
// with verdict NotRun; the reservation is then released.
func (r *Reservation) Begin(ctx context.Context) error {
	a := r.authority
	a.mu.Lock()
	if r.state == stateReleased || r.state == stateRunning {
		defer a.mu.Unlock()
		return r.endedLocked()
	}
	if r.asked.IsZero() {
		r.hold.Stop()
		r.asked = time.Now()
		a.starting = append(a.starting, r)
		a.passPlacesLocked()
	}
	a.mu.Unlock()
	select {
	case <-r.place:
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
	a.learnt.promiseBroken(r)
	a.releaseLocked(r)
	return verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "promised place was late")
}

// endedLocked returns the refusal of a second Begin or of one after the reservation ended.
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
	if r.state != stateRunning || tokens <= r.progress {
		return
	}
	now := time.Now()
	a.learnt.progressed(r, tokens, now)
	if r.progress == 0 {
		r.firstToken = now
	}
	r.progress = tokens
	r.lastToken = now
	if a.queue.len() > 0 && now.Sub(a.lastLook) >= evaluateInterval {
		a.lookLocked()
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

// Lost is closed when the upstream frees the reservation before it began: its hold limit has passed or the upstream is
// stalled. An entry that hears of it before the prefill starts can reserve elsewhere and waste nothing.
func (r *Reservation) Lost() <-chan struct{} {
	return r.lost
}

// servedCost returns the part of the cost that was used.
func (r *Reservation) servedCost(used bool) float64 {
	if !used {
		return 0
	}
	if !r.tokens {
		return r.cost
	}
	return r.cost * min(1, float64(r.progress)/r.units)
}
