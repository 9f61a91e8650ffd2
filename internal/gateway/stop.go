package gateway

import (
	"strconv"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// A stopping process refuses requests for which too little time is left. It assumes that a stream takes streamEndTime (nine
	// of ten take less) and a plain request plainEndTargets times its latency target.
	streamEndTime   = 4 * time.Second
	plainEndTargets = 3
	// stoppingRetryAfter is the delay before a caller refused by a stopping process retries. It is short, as another process
	// can serve the caller at once.
	stoppingRetryAfter = 200 * time.Millisecond
	// idleTime is the time without a new request after which a stopping process assumes that no callers are left.
	idleTime = 300 * time.Millisecond
)

// Stop begins a graceful shutdown that ends at the given time. Every further answer closes its connection, so that callers
// move to other processes, and requests that would probably not be finished in time are refused. Other requests are still
// served, because in a rolling restart all processes may be stopping at once and callers have no other to go to.
func (g *Gateway) Stop(at time.Time) { g.stopAt.Store(at.UnixNano()) }

// Idle reports whether no request is in flight and none arrived recently.
func (g *Gateway) Idle() bool {
	return g.Running() == 0 && time.Since(time.Unix(0, g.arrived.Load())) > idleTime
}

// checkStopping refuses a request that would probably not be finished before the process ends.
func (r *request) checkStopping() error {
	at := r.g.stopAt.Load()
	if at == 0 {
		return nil
	}
	required := streamEndTime
	if r.route.Kind != fleet.Stream {
		required = plainEndTargets * r.route.LatencyTarget
	}
	if left := time.Unix(0, at).Sub(r.began); required < left {
		r.recordStep("accepted_stopping", "left_ms "+strconv.FormatInt(left.Milliseconds(), 10))
		return nil
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_STOPPING, "this process is stopping")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// End cancels all requests that still run. Each of them writes its log line.
func (g *Gateway) End() { g.end() }
