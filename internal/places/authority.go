// Package places controls admission to one upstream. A place is a slot for one running request. The package grants
// reservations for places that are free now, promises places that are expected to be free when the request needs them,
// queues the other requests with fair sharing between client accounts, and frees reservations that are not used in
// time.
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
	// DefaultLateLimit is how late a promised place may become free. A late place adds latency, while a place that is
	// held free until its prefill ends costs throughput. A prefill result that waits beyond its eviction time is
	// wasted.
	DefaultLateLimit = 300 * time.Millisecond
	// DefaultPlaces is used when Config.Places is not positive.
	DefaultPlaces = 20
	// evaluateInterval is the interval at which the queue is evaluated while requests wait. A promise can become
	// possible merely because time has passed, so releases and new requests alone do not suffice as triggers.
	evaluateInterval = 10 * time.Millisecond
)

// Config configures an Authority.
type Config struct {
	// Places is the number of requests that may run at the same time.
	Places int
	// HoldLimit is how long after its ready time an unused reservation is kept. Default DefaultHoldLimit.
	HoldLimit time.Duration
	// LateLimit is how late a promised place may become free. It must be well below the time after which the engine
	// evicts a finished prefill. Default DefaultLateLimit.
	LateLimit time.Duration
	// Logger is optional.
	Logger *zap.Logger
}

// Authority grants and frees the places of one upstream. It is safe for concurrent use.
type Authority struct {
	config Config

	mu             sync.Mutex
	running        map[*Reservation]struct{}
	granted        map[*Reservation]struct{}
	pendingStarts  []*Reservation
	queue          fairList
	estimator      estimator
	draining       bool
	stalled        bool
	timerRunning   bool
	lastEvaluation time.Time
	idle           chan struct{}
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
		config:    config,
		running:   make(map[*Reservation]struct{}),
		granted:   make(map[*Reservation]struct{}),
		queue:     newFairList(config.Places),
		estimator: newEstimator(config.LateLimit),
	}
}

// Reserve blocks until the request is granted a place or the promise of one. The error is a *verdict.Refusal with
// verdict NotRun: the upstream is leaving or stalled, no place is expected in time, wait_ms has passed, or ctx has
// ended.
func (a *Authority) Reserve(ctx context.Context, request *wirev1.ReserveRequest) (*Reservation, error) {
	w, refusal := a.enqueue(request)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(time.Duration(request.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	// An immediate answer takes precedence over a ctx that has ended. The second select alone would choose at random.
	select {
	case <-w.answered:
		return w.result()
	default:
	}
	select {
	case <-w.answered:
		return w.result()
	case <-ctx.Done():
		return a.withdraw(w, verdict.Refuse(wirev1.Reason_REASON_CANCELLED, "reservation was withdrawn"), true)
	case <-timer.C:
		refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no place within %d ms", request.GetWaitMs())
		return a.withdraw(w, refusal, false)
	}
}

// enqueue adds the request to the queue and evaluates the queue. It refuses the request if its expected wait is too
// long.
func (a *Authority) enqueue(request *wirev1.ReserveRequest) (*waiter, *verdict.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.refusalLocked(); refusal != nil {
		return nil, refusal
	}
	w := newWaiter(request)
	a.queue.push(w)
	a.evaluateQueueLocked()
	if w.done {
		return w, nil
	}
	// A request that would wait too long is refused now, so that the entry can try another upstream at once. The wait
	// is estimated without the request itself in the queue. The place of a promise may become free as late as readyIn
	// plus LateLimit after the grant.
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	a.queue.remove(w)
	if estimate := a.waitEstimateLocked(w.account, w.priority, w.ready()); estimate > wait+w.readyIn+a.config.LateLimit {
		refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no place expected within %v", estimate.Round(time.Millisecond))
		refusal.RetryAfter = estimate
		return nil, refusal
	}
	a.queue.push(w)
	a.scheduleEvaluationLocked()
	return w, nil
}

// withdraw removes a waiter from the queue. If it was granted a reservation in the meantime, the reservation is
// returned after a timeout, and released if the caller cancelled.
func (a *Authority) withdraw(w *waiter, refusal *verdict.Refusal, cancelled bool) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !w.done {
		refusal.RetryAfter = a.waitEstimateLocked(w.account, w.priority, w.ready())
		a.queue.remove(w)
		w.done = true
		a.estimator.observeUse(false)
		a.evaluateQueueLocked()
		return nil, refusal
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	if !cancelled {
		return w.reservation, nil
	}
	a.releaseLocked(w.reservation)
	return nil, refusal
}

// refusalLocked returns the refusal for new work while the upstream is stalled or draining, and nil otherwise.
func (a *Authority) refusalLocked() *verdict.Refusal {
	if a.stalled {
		return verdict.Refuse(wirev1.Reason_REASON_STALLED, "upstream makes no progress")
	}
	if a.draining {
		return verdict.Refuse(wirev1.Reason_REASON_LEAVING, "upstream is leaving")
	}
	return nil
}

// evaluateQueueLocked grants reservations in fair order until the request at the head of the queue must wait.
func (a *Authority) evaluateQueueLocked() {
	a.lastEvaluation = time.Now()
	for {
		w := a.queue.head()
		if w == nil || !a.canGrantLocked(w, a.lastEvaluation) {
			break
		}
		a.queue.pop(w)
		w.grant(a.reserveLocked(w, a.lastEvaluation))
	}
	a.scheduleEvaluationLocked()
}

// scheduleEvaluationLocked starts the timer for the next evaluation if requests wait and it is not running.
func (a *Authority) scheduleEvaluationLocked() {
	if a.timerRunning || a.queue.len() == 0 {
		return
	}
	a.timerRunning = true
	time.AfterFunc(evaluateInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.timerRunning = false
		a.evaluateQueueLocked()
	})
}

// reserveLocked creates the reservation of a granted waiter and starts the timer of its hold limit.
func (a *Authority) reserveLocked(w *waiter, now time.Time) *Reservation {
	r := &Reservation{
		authority:  a,
		account:    w.account,
		cost:       w.cost,
		units:      w.units,
		tokenBased: w.tokenBased,
		due:        now.Add(w.readyIn),
		promised:   len(a.running)+len(a.granted) >= a.config.Places,
		grantEnded: make(chan struct{}),
		revoked:    make(chan struct{}),
	}
	a.granted[r] = struct{}{}
	r.holdTimer = time.AfterFunc(w.readyIn+a.config.HoldLimit, func() { a.expire(r) })
	return r
}

// expire releases a reservation for which Begin was not called within its hold limit.
func (a *Authority) expire(r *Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.state != stateGranted {
		return
	}
	a.config.Logger.Info("unused reservation freed", zap.String("account", r.account))
	a.releaseLocked(r)
	close(r.revoked)
}

// releaseLocked ends a reservation in any state and assigns its place to the next one.
func (a *Authority) releaseLocked(r *Reservation) {
	if r.state == stateReleased {
		return
	}
	used := r.state == stateRunning
	if r.state == stateGranted {
		close(r.grantEnded)
		a.estimator.observeUse(false)
	}
	r.state = stateReleased
	r.holdTimer.Stop()
	delete(a.running, r)
	delete(a.granted, r)
	a.removePendingStartLocked(r)
	if used {
		a.estimator.observeFinish(r, time.Now())
	}
	a.queue.settle(r.account, r.cost, r.servedCost(used))
	a.assignPlacesLocked()
	a.evaluateQueueLocked()
	a.notifyIdleLocked()
}

// assignPlacesLocked assigns free places to reservations that wait in Begin, earliest ready time first.
func (a *Authority) assignPlacesLocked() {
	for !a.stalled && len(a.pendingStarts) > 0 && len(a.running) < a.config.Places {
		next := 0
		for i, r := range a.pendingStarts {
			if r.due.Before(a.pendingStarts[next].due) {
				next = i
			}
		}
		a.startLocked(a.pendingStarts[next])
	}
}

// startLocked assigns a free place to a reservation.
func (a *Authority) startLocked(r *Reservation) {
	now := time.Now()
	a.removePendingStartLocked(r)
	delete(a.granted, r)
	a.running[r] = struct{}{}
	r.state = stateRunning
	r.startedAt = now
	r.lastTokenAt = now
	a.estimator.observePromise(r, now)
	a.estimator.observeUse(true)
	close(r.grantEnded)
}

func (a *Authority) removePendingStartLocked(r *Reservation) {
	for i, s := range a.pendingStarts {
		if s == r {
			a.pendingStarts = append(a.pendingStarts[:i], a.pendingStarts[i+1:]...)
			return
		}
	}
}

// Drain refuses all queued and new requests with REASON_LEAVING. Reservations that were granted before stay valid.
func (a *Authority) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.refuseAllLocked()
	a.notifyIdleLocked()
}

// ReturnToService accepts new requests again after Drain.
func (a *Authority) ReturnToService() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = false
}

// SetStalled sets whether the upstream is stalled, that is, makes no progress. Queued requests, new requests and
// reservations that have not begun are refused with REASON_STALLED while it is.
func (a *Authority) SetStalled(stalled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stalled = stalled
	if !stalled {
		return
	}
	a.refuseAllLocked()
	for r := range a.granted {
		r.refusal = a.refusalLocked()
		a.releaseLocked(r)
		close(r.revoked)
	}
}

// refuseAllLocked refuses every queued request because the upstream is draining or stalled.
func (a *Authority) refuseAllLocked() {
	refusal := a.refusalLocked()
	for w := a.queue.head(); w != nil; w = a.queue.head() {
		a.queue.remove(w)
		w.refuse(refusal)
	}
}

// Wait blocks until no reservation is granted or running. If ctx ends first, it returns the error of ctx. It is meant
// to be called after Drain.
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

// notifyIdleLocked wakes Wait when no reservation is granted or running.
func (a *Authority) notifyIdleLocked() {
	if a.idle == nil || len(a.running)+len(a.granted) > 0 {
		return
	}
	close(a.idle)
	a.idle = nil
}
