package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// errUpstreamLimited means that a call was not made because the upstream names a limit.
var errUpstreamLimited = errors.New("the upstream limits its requests")

// minLimitedTime is the shortest time for which an upstream without a permit gets no request. A request does not ask for a permit
// again and again meanwhile.
const minLimitedTime = 20 * time.Millisecond

// acquirePermit acquires the permission for one request to an upstream. If the upstream named a limit that permits no request now, it
// returns a refusal, and the board leaves the upstream out for a while.
func (r *request) acquirePermit(ctx context.Context, upstream *fleet.Upstream) error {
	permit := r.g.Limits.Acquire(ctx, upstream)
	if permit.OK {
		return nil
	}
	if until, paused := r.g.Limits.PausedUntil(upstream, time.Now()); paused {
		r.recordStep("paused", upstream.ID)
		r.g.Board.RecordPause(upstream, until)
		return verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_LIMITED, "%s wants no requests", upstream.ID)
	}
	r.recordStep(fmt.Sprintf("limited per_second %g wait_ms %d issuer %q", permit.PerSecond, permit.Wait.Milliseconds(), permit.Issuer), upstream.ID)
	r.g.Metrics.limitedSends.Inc()
	wait := max(permit.Wait, minLimitedTime)
	pause := r.g.Board.RecordLimited(upstream.ID, time.Now(), wait)
	if upstream.Stage != fleet.StageNone {
		time.AfterFunc(pause, r.g.CapacityChanged)
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_LIMITED, "%s takes %g requests per second", upstream.ID, permit.PerSecond)
	refusal.RetryAfter = wait
	return refusal
}

// noCapacity returns the refusal of a request that no upstream can get now.
func (r *request) noCapacity() *verdict.Refusal {
	now := time.Now()
	until, limited := r.limitedUntil(now)
	if !limited {
		return noUpstream()
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_LIMITED, "all upstreams of the service limit their requests")
	refusal.RetryAfter = max(until.Sub(now), overloadRetryAfter(r))
	if until, paused := r.pausedUntil(now, r.excluded); paused {
		refusal.Detail = "all upstreams of the service want no requests"
		refusal.RetryAfter = r.pausedRetryAfter(until)
	}
	return refusal
}

// limitedUntil returns when the request may be sent to an upstream, if only the limits that they named prevent that now.
func (r *request) limitedUntil(now time.Time) (until time.Time, limited bool) {
	return r.g.Board.LimitedUntil(placement.Query{Service: r.service, Now: now, Excluded: r.excluded})
}

// callUpstream makes a call of the router itself to an upstream, and records what the answer says about its limit and leaving. Such calls are
// not made while the upstream names a limit or wants no requests, so that all requests that it permits are those of callers.
func (g *Gateway) callUpstream(ctx context.Context, upstream *fleet.Upstream, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	if g.Limits.Limited(upstream, time.Now()) {
		return nil, errUpstreamLimited
	}
	sentAt := time.Now()
	response, err := g.Pool.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	answer := g.Protocol.ReadAnswer(response.Status, response.Header)
	if answer.Limit.Named {
		g.observeLimit(upstream, response.Status, answer.Limit, sentAt, time.Now())
	}
	if answer.RetryAfter > 0 {
		g.recordPause(upstream, response.Status, answer.RetryAfter)
	}
	if answer.Leaving {
		g.recordLeaving(upstream, response.Status)
	}
	return response, nil
}

// isByUpstream reports whether the upstream itself made an answer with a status: a signed one, or a refusal. A misdirected request was refused by another
// process at the upstream's address.
func (a Answer) isByUpstream(status int) bool {
	return a.Signed || a.NotRun && status != http.StatusMisdirectedRequest
}

// observeLimit records what an answer says about the limit of an upstream, and logs each change.
func (g *Gateway) observeLimit(upstream *fleet.Upstream, status int, statement upstreamrate.Statement, sentAt, now time.Time) {
	if statement.Err != nil {
		g.Logger.Warn("cannot read the limit of an upstream; keeping the known one", zap.String("upstream", upstream.ID), zap.String("error", statement.Err.Error()))
		return
	}
	if g.Limits.Observe(upstream, statement, sentAt, now) {
		g.Board.RecordLimited(upstream.ID, now, 0)
		g.Logger.Info("upstream limit changed", zap.String("upstream", upstream.ID), zap.Int64("incarnation", upstream.Incarnation),
			zap.Bool("limited", statement.Named), zap.Float64("per_second", statement.PerSecond), zap.Int("status", status))
	}
}
