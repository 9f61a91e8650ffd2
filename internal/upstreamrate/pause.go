package upstreamrate

import (
	"math/rand/v2"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

const (
	// maxPause is the longest pause that is believed. An overload ends within this time or the upstream is replaced; an upstream that
	// names a longer one by mistake is tried again after it.
	maxPause = 5 * time.Minute
	// pauseSpread is the largest part of a pause by which it is lengthened at random, so that the processes do not all come back at
	// the same moment.
	pauseSpread = 0.1
)

// Pause records that an upstream wants no request from this process for a time. It returns the end of the pause, and whether this
// answer set it: a pause is not shortened. Other processes are not told, because the upstream spoke to this one only.
func (l *Limits) Pause(upstream *fleet.Upstream, wait time.Duration, now time.Time) (until time.Time, changed bool) {
	wait = min(wait, maxPause)
	until = now.Add(wait + time.Duration(pauseSpread*rand.Float64()*float64(wait)))
	key := keyOf(upstream)
	l.mu.Lock()
	defer l.mu.Unlock()
	if before := l.pausedUntil[key]; !until.After(before) {
		return before, false
	}
	l.pausedUntil[key] = until
	return until, true
}

// PausedUntil returns the end of an upstream's pause; ok is false if there is none now.
func (l *Limits) PausedUntil(upstream *fleet.Upstream, now time.Time) (until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until = l.pausedUntil[keyOf(upstream)]
	return until, now.Before(until)
}
