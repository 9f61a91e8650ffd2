package places

import (
	"math"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// canGrantLocked reports whether the waiter can be granted a free place, or be promised one without making an earlier
// promise late.
func (a *Authority) canGrantLocked(w *waiter, now time.Time) bool {
	if len(a.running)+len(a.granted) < a.config.Places {
		return true
	}
	due := now.Add(w.readyIn)
	if !a.spareLocked(now, due, due) {
		return false
	}
	for r := range a.granted {
		if r.due.After(due) && !a.spareLocked(now, due, r.due) {
			return false
		}
	}
	return true
}

// spareLocked reports whether a new reservation, due at due, fits in beside the granted reservations that are due by
// moment: with the required probability, enough places for all of them are free at moment, or within LateLimit after it
// if the new reservation is not due now.
func (a *Authority) spareLocked(now, due, moment time.Time) bool {
	horizon := moment.Sub(now)
	if due.After(now) {
		horizon += a.config.LateLimit
	}
	need := 1.0
	mean, variance := 0.0, 0.0
	add := func(p float64) {
		mean += p
		variance += p * (1 - p)
	}
	for r := range a.granted {
		if r.due.After(moment) {
			continue
		}
		need++
		add(a.estimator.futureEndProbability(r, r.due.Sub(now), horizon))
	}
	for r := range a.running {
		add(a.estimator.endProbability(r, now, horizon))
	}
	free := float64(a.config.Places - len(a.running))
	// The half is the continuity correction of the normal approximation.
	margin := free + mean + 0.5 - need
	return margin >= a.estimator.promiseQuantile*math.Sqrt(variance)
}

// waitEstimateLocked returns the expected wait of a new request of the account and priority. ready says whether the
// request needs its place at once. See visitAhead for the queued requests that are counted, also if account is empty.
func (a *Authority) waitEstimateLocked(account string, priority int32, ready bool) time.Duration {
	now := time.Now()
	free := a.config.Places - len(a.running) - len(a.granted)
	if free > 0 && a.queue.len() == 0 {
		return 0
	}
	places := float64(a.config.Places)
	seconds := 0.0
	for r := range a.running {
		seconds += a.estimator.remainingSeconds(r, now) / places
	}
	for r := range a.granted {
		seconds += a.estimator.holdSeconds(r.units, r.tokenBased) * a.estimator.useShare
	}
	// The remaining time of the running requests, averaged over all places, is divided by the number of places, because
	// the next of that many places becomes free correspondingly sooner. A granted reservation adds its hold time,
	// weighted by the share of requests that use their place and divided by the number of places.
	seconds /= places
	a.queue.visitAhead(account, priority, ready, func(w *waiter) {
		seconds += a.estimator.holdSeconds(w.units, w.tokenBased) * a.estimator.useShare / places
	})
	return time.Duration(seconds * float64(time.Second))
}

// WaitEstimate returns the expected wait of a new request of the account that needs its place at once and has priority
// 0. Queued requests that are served after it are not counted. An empty account counts the queued requests of all
// accounts that need their place at once.
func (a *Authority) WaitEstimate(account string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waitEstimateLocked(account, 0, true)
}

// Load sets the fields of load about places, queue, token gap and state.
func (a *Authority) Load(load *wirev1.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	load.Places = uint32(a.config.Places)
	load.PlacesFree = uint32(max(0, a.config.Places-len(a.running)-len(a.granted)))
	load.Waiting = uint32(a.queue.len())
	load.QueueMs = uint32(a.waitEstimateLocked("", 0, false).Milliseconds())
	load.TokenGapMs = a.estimator.tokenGapSeconds * 1000
	load.Accepting = !a.draining && !a.stalled
	load.Stalled = a.stalled
}
