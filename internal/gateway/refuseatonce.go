package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/waitestimate"
	"github.com/fulmardoor/fulmardoor/internal/waitqueue"
)

// waitTolerance times the time left is the longest expected wait of a request that may wait. It is more than 1 because a wrong
// estimate costs the request its chance to be served.
const waitTolerance = 1.25

// overloadDemand is the part of the time left that the waiting demand of a priority must take before the requests that arrive later
// and are served first are counted. Within capacity, demand that has built up by chance is smaller.
const overloadDemand = 0.5

// waitDecision says whether a request is refused before it waits for capacity. The amounts of memory are in tokens.
type waitDecision struct {
	refuse bool
	// ahead is the memory that waiting requests need which are served before this one, and own the memory of this one.
	ahead, own int
	// rate is the rate, in tokens per second, at which streams are expected to release memory.
	rate float64
	// wait is the expected wait, of which overtaking is due to requests that arrive later, and left the time for which the request
	// may wait.
	wait, overtaking, left time.Duration
}

// decideWait decides whether a request waits. moreUrgent and asUrgent are the waiting demand of all processes that is more urgent
// than the request, and that which is at least as urgent; share is the share of the demand of its own priority that is served before it,
// and overtaking that of the requests that arrive later.
func decideWait(estimator *waitestimate.Estimator, moreUrgent, asUrgent backlog.Demand, share, overtaking float64, own, inUse int, left time.Duration) waitDecision {
	same := max(0, asUrgent.MemoryTokens-moreUrgent.MemoryTokens) // negative if requests left between the two readings
	d := waitDecision{ahead: moreUrgent.MemoryTokens + int(share*float64(same)), own: own, left: left}
	if d.ahead == 0 {
		return d // the next one to be served
	}
	wait, known := estimator.Wait(d.ahead, own, inUse)
	d.rate = float64(d.ahead+own) / wait.Seconds()
	if drain, _ := estimator.Wait(same, 0, inUse); float64(drain) > overloadDemand*float64(left) {
		// The demand that waits has arrived within about the time left, in addition to what was served. As much arrives again.
		d.overtaking = time.Duration(overtaking * float64(left+drain))
	}
	d.wait = wait + d.overtaking
	d.refuse = known && float64(d.wait) > waitTolerance*float64(left)
	return d
}

// refuseAtOnce returns the refusal of a new request that finds no capacity and is not expected to get any in time; nil for a
// request that may wait. It must be called once for each request.
func (r *request) refuseAtOnce(item *waitqueue.Item, out *eventWriter) *verdict.Refusal {
	demand := r.g.Backlog
	if !r.g.RefuseAtOnce || demand == nil || r.sends > 0 || r.prefills > 0 || out.headerSent || out.lastID != "" {
		return nil
	}
	estimator := r.g.estimator(r.service.Name)
	overtaking := estimator.Overtaking(item.Priority, item.Value/item.Cost)
	share := estimator.Arrived(item.Priority, item.Value/item.Cost)
	now := time.Now()
	asUrgent := demand.AsUrgent(r.service.Name, item.Level, now)
	if asUrgent.Requests == 0 {
		return nil
	}
	moreUrgent := demand.AsUrgent(r.service.Name, item.Level-1, now)
	left := min(item.Deadline.Sub(now), r.deadline.Sub(now))
	d := decideWait(estimator, moreUrgent, asUrgent, share, overtaking, item.Memory, r.g.Board.MemoryInUse(r.service.Name), left)
	if !d.refuse {
		return nil
	}
	if _, room := r.g.Board.PlanModel(r.query(true)); room {
		return nil
	}
	r.recordStep(fmt.Sprintf("refused_at_once wait_ms %d left_ms %d overtaking_ms %d ahead %d own %d per_second %.0f",
		d.wait.Milliseconds(), left.Milliseconds(), d.overtaking.Milliseconds(), d.ahead, d.own, d.rate), r.service.Name)
	r.g.Metrics.refusedAtOnce.WithLabelValues(r.service.Name).Inc()
	refusal := verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream of the service has capacity; the expected wait is %.1f s", d.wait.Seconds())
	refusal.RetryAfter = r.retryAfterWait(d.wait, now)
	return refusal
}

// retryAfterWait returns the retry delay for a caller whose request would wait too long. It is the expected wait, or the usual delay
// under overload if that is longer, and up to two thirds more. The random part grows with the delay, because more callers are
// refused during a longer overload. If the caller named its timeout, the delay ends while a response can still be complete
// within it, as far as the usual delay permits.
func (r *request) retryAfterWait(wait time.Duration, now time.Time) time.Duration {
	const jitter = overloadJitterTargets / overloadDelayTargets
	least := overloadDelayTargets * float64(r.latencyTarget())
	delay := max(least, float64(min(wait, maxTimeout))) // what waits now has ended after maxTimeout
	if r.call.Timeout > 0 {
		useful := r.deadline.Sub(now) - r.expectedTime()
		delay = max(least, min(delay, float64(useful)/(1+jitter)))
	}
	return time.Duration(delay * (1 + jitter*rand.Float64()))
}

// recordFinished records for how long a stream held memory at its decode engine. Responses without events are errors, which hold
// memory for a shorter time.
func (r *request) recordFinished(alloc *allocation) {
	if r.events.Load() > 0 {
		r.g.estimator(r.service.Name).Finished(time.Since(alloc.began), alloc.memory)
	}
}

// estimator returns the estimator of waits for a service, and creates it if needed.
func (g *Gateway) estimator(service string) *waitestimate.Estimator {
	g.mu.Lock()
	defer g.mu.Unlock()
	estimator, ok := g.estimators[service]
	if !ok {
		estimator = new(waitestimate.Estimator)
		g.estimators[service] = estimator
	}
	return estimator
}
