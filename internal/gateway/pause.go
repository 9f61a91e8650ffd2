package gateway

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// recordPause records that an upstream turned a request away and wants no other for a time.
func (g *Gateway) recordPause(upstream *fleet.Upstream, status int, retryAfter time.Duration) {
	until, changed := g.Limits.Pause(upstream, retryAfter, time.Now())
	g.Board.RecordPause(upstream, until)
	if !changed {
		return
	}
	if upstream.Stage != fleet.StageNone {
		time.AfterFunc(time.Until(until), g.CapacityChanged)
	}
	g.Metrics.pauses.Inc()
	g.Logger.Info("upstream wants no requests for a time", zap.String("upstream", upstream.ID), zap.Int64("incarnation", upstream.Incarnation),
		zap.Int("status", status), zap.Duration("retry_after", retryAfter), zap.Time("until", until))
}

// isPaused reports whether an upstream wants no requests now.
func (g *Gateway) isPaused(upstream *fleet.Upstream) bool {
	_, paused := g.Limits.PausedUntil(upstream, time.Now())
	return paused
}

// pausedUntil returns when the first upstream of the service takes requests again; ok is false unless all of them want none now.
func (r *request) pausedUntil(now time.Time, excluded map[string]bool) (until time.Time, ok bool) {
	return r.g.Board.PausedUntil(placement.Query{Service: r.service, Now: now, Excluded: excluded})
}

// waitForPaused waits until an upstream of a plain service takes requests again, if all want none now and the answer can still be in
// time after that. The random part keeps the requests that wait from being sent together.
func (r *request) waitForPaused() bool {
	now := time.Now()
	until, paused := r.pausedUntil(now, r.excluded)
	spare := r.began.Add(r.latencyTarget()).Sub(until) / 2 // the other half is for the answer
	if !paused || spare <= 0 {
		return false
	}
	r.recordStep("wait_paused", r.service.Name)
	return wait.For(r.ctx, until.Sub(now)+rand.N(spare))
}

// pausedRetryAfter returns the retry delay for a caller that is refused while all upstreams want no requests, with jitter, so that
// callers that were refused together do not retry together.
func (r *request) pausedRetryAfter(until time.Time) time.Duration {
	return max(0, time.Until(until)) + time.Duration(overloadJitterTargets*rand.Float64()*float64(r.latencyTarget()))
}
