package places

import (
	"math"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// grantableLocked reports whether the waiter can have a free place or the promise of one without breaking a promise that
// was given before.
func (a *Authority) grantableLocked(w *waiter, now time.Time) bool {
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

// spareLocked reports whether, with the needed confidence, one more place than the reservations due by a moment need is
// free at that moment, or within LateLimit after it if the new reservation is not due at once.
func (a *Authority) spareLocked(now, due, moment time.Time) bool {
	ahead := moment.Sub(now)
	if due.After(now) {
		ahead += a.config.LateLimit
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
		add(a.learnt.futureEndProbability(r, r.due.Sub(now), ahead))
	}
	for r := range a.running {
		add(a.learnt.endProbability(r, now, ahead))
	}
	free := float64(a.config.Places - len(a.running))
	// The half is the continuity correction of the normal approximation.
	margin := free + mean + 0.5 - need
	return margin >= a.learnt.confidence*math.Sqrt(variance)
}

// waitEstimateLocked returns the expected wait of a new request of an account and priority, ready now or later.
func (a *Authority) waitEstimateLocked(account string, priority int32, ready bool) time.Duration {
	now := time.Now()
	free := a.config.Places - len(a.running) - len(a.granted)
	if free > 0 && a.queue.len() == 0 {
		return 0
	}
	places := float64(a.config.Places)
	seconds := 0.0
	for r := range a.running {
		seconds += a.learnt.remainingSeconds(r, now) / places
	}
	for r := range a.granted {
		seconds += a.learnt.holdSeconds(r.units, r.tokens) * a.learnt.useShare
	}
	// The first of the busy places ends after the mean remaining time divided by their number.
	seconds /= places
	a.queue.ahead(account, priority, ready, func(w *waiter) {
		seconds += a.learnt.holdSeconds(w.units, w.tokens) * a.learnt.useShare / places
	})
	return time.Duration(seconds * float64(time.Second))
}

// WaitEstimate returns the expected wait of a new request of an account. Requests that the fair order serves later are
// not counted. An empty account counts all.
func (a *Authority) WaitEstimate(account string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waitEstimateLocked(account, 0, true)
}

// Load fills the fields of load that this package knows.
func (a *Authority) Load(load *wirev1.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	load.Places = uint32(a.config.Places)
	load.PlacesFree = uint32(max(0, a.config.Places-len(a.running)-len(a.granted)))
	load.Waiting = uint32(a.queue.len())
	load.QueueMs = uint32(a.waitEstimateLocked("", 0, false).Milliseconds())
	load.TokenGapMs = a.learnt.gapSeconds * 1000
	load.Accepting = !a.draining && !a.stalled
	load.Stalled = a.stalled
}
