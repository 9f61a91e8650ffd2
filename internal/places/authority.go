// Package places is the authority over the places of one upstream. It grants reservations for places that are free now
// and promises places that are expected to be free in time, keeps a waiting list that is fair by client account, and
// frees what is not used in time.
package places

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// DefaultHoldLimit is how long after its ready time an unused reservation is kept.
	DefaultHoldLimit = 2 * time.Second
	// DefaultLateLimit is how late a promised place may be. A late place costs latency, while a place that waits for its
	// prefill costs throughput; a result that waits longer than its eviction time is wasted.
	DefaultLateLimit = 300 * time.Millisecond
	// DefaultPlaces is used when Config.Places is not positive.
	DefaultPlaces = 20
	// evaluateInterval is the pause between two looks at the waiting list while requests wait. A promise becomes possible
	// by the passing of time alone, so a timer is needed beside the events.
	evaluateInterval = 10 * time.Millisecond
)

// Config configures an Authority.
type Config struct {
	// Places is the number of requests that may run at the same time.
	Places int
	// HoldLimit is the time after ready_in at which an unused reservation is freed. Default DefaultHoldLimit.
	HoldLimit time.Duration
	// LateLimit is how late a promised place may be, well below the eviction time of a finished prefill. Default
	// DefaultLateLimit.
	LateLimit time.Duration
	// Logger is optional.
	Logger *zap.Logger
}

// Authority owns the places of one upstream. All methods may be called concurrently.
type Authority struct {
	config Config

	mu       sync.Mutex
	running  map[*Reservation]struct{}
	granted  map[*Reservation]struct{}
	starting []*Reservation
	queue    fairList
	learnt   estimator
	draining bool
	stalled  bool
	ticking  bool
	lastLook time.Time
	idle     chan struct{}
}

// New returns an Authority with all places free.
func New(config Config) *Authority {
	if config.Places <= 0 {
		config.Places = DefaultPlaces
	}
	if config.HoldLimit <= 0 {
		config.HoldLimit = DefaultHoldLimit
	}
	if config.LateLimit <= 0 {
		config.LateLimit = DefaultLateLimit
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	return &Authority{
		config:  config,
		running: make(map[*Reservation]struct{}),
		granted: make(map[*Reservation]struct{}),
		queue:   newFairList(config.Places),
		learnt:  newEstimator(config.LateLimit),
	}
}

// Reserve blocks until the request has a place or a promise of one. The error is a *verdict.Refusal with verdict NotRun:
// the upstream is leaving or stalled, wait_ms has passed, or ctx has ended.
func (a *Authority) Reserve(ctx context.Context, request *wirev1.ReserveRequest) (*Reservation, error) {
	w, refusal := a.enqueue(request)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Duration(request.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-w.answered:
		return w.answer()
	default:
	}
	select {
	case <-w.answered:
		return w.answer()
	case <-ctx.Done():
		return a.withdraw(w, verdict.Refuse(wirev1.Reason_REASON_CANCELLED, "reservation was withdrawn"), true)
	case <-timer.C:
		refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no place within %d ms", request.GetWaitMs())
		return a.withdraw(w, refusal, false)
	}
}

// enqueue adds the request to the waiting list and grants what can be granted.
func (a *Authority) enqueue(request *wirev1.ReserveRequest) (*waiter, *verdict.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.closedLocked(); refusal != nil {
		return nil, refusal
	}
	w := newWaiter(request)
	a.queue.push(w)
	a.lookLocked()
	if w.done {
		return w, nil
	}
	// A request that would wait too long is refused now, so that its caller can go elsewhere at once.
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	a.queue.remove(w)
	if estimate := a.waitEstimateLocked(w.account, w.priority, w.ready()); estimate > wait+w.readyIn+a.config.LateLimit {
		refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no place expected within %v", estimate.Round(time.Millisecond))
		refusal.RetryAfter = estimate
		return nil, refusal
	}
	a.queue.push(w)
	a.tickLocked()
	return w, nil
}

// withdraw takes a waiter off the list. A grant that crossed the withdrawal is kept when the wait ended by time, and
// freed when the caller is gone.
func (a *Authority) withdraw(w *waiter, refusal *verdict.Refusal, gone bool) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !w.done {
		refusal.RetryAfter = a.waitEstimateLocked(w.account, w.priority, w.ready())
		a.queue.remove(w)
		w.done = true
		a.learnt.decided(false)
		a.lookLocked()
		return nil, refusal
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	if !gone {
		return w.reservation, nil
	}
	a.releaseLocked(w.reservation)
	return nil, refusal
}

// closedLocked returns the refusal of an upstream that takes no new work.
func (a *Authority) closedLocked() *verdict.Refusal {
	if a.stalled {
		return verdict.Refuse(wirev1.Reason_REASON_STALLED, "upstream makes no progress")
	}
	if a.draining {
		return verdict.Refuse(wirev1.Reason_REASON_LEAVING, "upstream is leaving")
	}
	return nil
}

// lookLocked grants waiting requests in fair order until the next one must wait.
func (a *Authority) lookLocked() {
	a.lastLook = time.Now()
	for {
		w := a.queue.head()
		if w == nil || !a.grantableLocked(w, a.lastLook) {
			break
		}
		a.queue.pop(w)
		w.grant(a.reserveLocked(w, a.lastLook))
	}
	a.tickLocked()
}

// tickLocked keeps a timer running while requests wait.
func (a *Authority) tickLocked() {
	if a.ticking || a.queue.len() == 0 {
		return
	}
	a.ticking = true
	time.AfterFunc(evaluateInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ticking = false
		a.lookLocked()
	})
}

// reserveLocked creates the reservation of a granted waiter and starts its hold limit.
func (a *Authority) reserveLocked(w *waiter, now time.Time) *Reservation {
	r := &Reservation{
		authority: a,
		account:   w.account,
		cost:      w.cost,
		units:     w.units,
		tokens:    w.tokens,
		due:       now.Add(w.readyIn),
		promised:  len(a.running)+len(a.granted) >= a.config.Places,
		place:     make(chan struct{}),
		lost:      make(chan struct{}),
	}
	a.granted[r] = struct{}{}
	r.hold = time.AfterFunc(w.readyIn+a.config.HoldLimit, func() { a.expire(r) })
	return r
}

// expire frees a reservation that was not used within its hold limit.
func (a *Authority) expire(r *Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != stateGranted {
		return
	}
	a.config.Logger.Info("unused reservation freed", zap.String("account", r.account))
	a.releaseLocked(r)
	close(r.lost)
}

// releaseLocked ends a reservation in any state and passes its place on.
func (a *Authority) releaseLocked(r *Reservation) {
	if r.state == stateReleased {
		return
	}
	used := r.state == stateRunning
	if r.state == stateGranted {
		close(r.place)
		a.learnt.decided(false)
	}
	r.state = stateReleased
	r.hold.Stop()
	delete(a.running, r)
	delete(a.granted, r)
	a.dropStartingLocked(r)
	if used {
		a.learnt.finished(r, time.Now())
	}
	a.queue.settle(r.account, r.cost, r.servedCost(used))
	a.passPlacesLocked()
	a.lookLocked()
	a.signalIdleLocked()
}

// passPlacesLocked gives free places to reservations that wait in Begin, earliest ready time first.
func (a *Authority) passPlacesLocked() {
	for !a.stalled && len(a.starting) > 0 && len(a.running) < a.config.Places {
		next := 0
		for i, r := range a.starting {
			if r.due.Before(a.starting[next].due) {
				next = i
			}
		}
		a.startLocked(a.starting[next])
	}
}

// startLocked moves a reservation onto a real place.
func (a *Authority) startLocked(r *Reservation) {
	now := time.Now()
	a.dropStartingLocked(r)
	delete(a.granted, r)
	a.running[r] = struct{}{}
	r.state = stateRunning
	r.begun = now
	r.lastToken = now
	a.learnt.promiseKept(r, now)
	a.learnt.decided(true)
	close(r.place)
}

func (a *Authority) dropStartingLocked(r *Reservation) {
	for i, s := range a.starting {
		if s == r {
			a.starting = append(a.starting[:i], a.starting[i+1:]...)
			return
		}
	}
}

// Drain refuses the waiting list and all new requests with REASON_LEAVING. Granted reservations may still begin.
func (a *Authority) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.refuseAllLocked()
	a.signalIdleLocked()
}

// Return takes new requests again after Drain.
func (a *Authority) Return() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = false
}

// Stall sets whether the upstream makes no progress. While it is stalled, the waiting list, new requests and
// reservations that have not begun are refused with REASON_STALLED.
func (a *Authority) Stall(stalled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stalled = stalled
	if !stalled {
		return
	}
	a.refuseAllLocked()
	for r := range a.granted {
		r.refusal = a.closedLocked()
		a.releaseLocked(r)
		close(r.lost)
	}
}

// refuseAllLocked answers every waiting request with the present refusal.
func (a *Authority) refuseAllLocked() {
	refusal := a.closedLocked()
	for w := a.queue.head(); w != nil; w = a.queue.head() {
		a.queue.remove(w)
		w.refuse(refusal)
	}
}

// Wait blocks until no reservation is held or running, or ctx ends; it then returns the error of ctx. It is meant for
// the time after Drain.
func (a *Authority) Wait(ctx context.Context) error {
	for {
		a.mu.Lock()
		if len(a.running)+len(a.granted) == 0 {
			a.mu.Unlock()
			return nil
		}
		if a.idle == nil {
			a.idle = make(chan struct{})
		}
		idle := a.idle
		a.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signalIdleLocked wakes Wait when nothing is held or running.
func (a *Authority) signalIdleLocked() {
	if a.idle == nil || len(a.running)+len(a.granted) > 0 {
		return
	}
	close(a.idle)
	a.idle = nil
}
