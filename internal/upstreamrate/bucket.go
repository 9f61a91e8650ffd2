package upstreamrate

import (
	"math"
	"time"
)

const (
	// burstTime is how much of the rate a bucket saves while no request is sent, at least one request.
	burstTime = 250 * time.Millisecond
	// slotWindow is how long after its begin a slot may be used. A slot that was missed is lost, so that processes without
	// contact to each other cannot save their slots and use them all at once.
	slotWindow = time.Second
)

// bucket is a token bucket that begins empty.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// take takes one token, or returns the time until there is one.
func (b *bucket) take(perSecond float64, now time.Time) (wait time.Duration, ok bool) {
	capacity := max(1, perSecond*burstTime.Seconds())
	b.level = min(capacity, b.level+perSecond*max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = now
	if b.level >= 1 {
		b.level--
		return 0, true
	}
	return seconds((1 - b.level) / perSecond), false
}

// slots lets one request pass in each period. The begin of the first period is random, so that the slots of several processes are
// spread over the time.
type slots struct {
	phase  float64 // of the first period, 0 to 1
	origin time.Time
	usedAt time.Time
}

// take uses the current slot, or returns the time until the next one.
func (s *slots) take(perSecond float64, now time.Time) (wait time.Duration, ok bool) {
	period := seconds(1 / perSecond)
	elapsed := now.Sub(s.origin) + time.Duration(s.phase*float64(period))
	sinceBegin := elapsed % period
	if sinceBegin <= slotWindow && s.usedAt.Before(now.Add(-sinceBegin)) && elapsed >= period {
		s.usedAt = now
		return 0, true
	}
	return period - sinceBegin, false
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}
