package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// send sends the call to one upstream and returns its answer. Answers that must not reach the caller become errors. The
// verdict of an error says whether the upstream may have run the call.
func (r *request) send(ctx context.Context, attempt *Attempt) (*upstreamconn.Response, error) {
	if !attempt.Permitted {
		if err := r.acquirePermit(ctx, attempt.Upstream); err != nil {
			return nil, err
		}
		if !r.g.Board.Accepts(attempt.Upstream) { // it may have left before or during the request for the permit
			return nil, verdict.Refuse(wirev1.Reason_REASON_LEAVING, "%s is leaving", attempt.Upstream.ID)
		}
	}
	attempt.Account, attempt.TimeLeft = r.accountName(), r.timeLeft()
	id := attempt.Upstream.ID
	sentAt := time.Now()
	r.sending.Store(false)
	response, err := r.g.Pool.Do(ctx, &upstreamconn.Request{
		Address: attempt.Upstream.Address, Method: r.call.Method, Target: r.call.Target, Host: r.call.Host,
		Header: r.g.Protocol.RequestHeader(r.call, attempt), Body: r.call.Body,
		OnSend: func() { r.sending.Store(true) },
		Accept: func(header http.Header, first bool) bool { return r.g.Protocol.IsAnswerTo(r.call, header, first) },
	})
	now := time.Now()
	if err != nil {
		if r.ctx.Err() == nil {
			r.g.Board.MarkSuspect(id, now)
		}
		return nil, sendError(attempt.Upstream, err)
	}
	answer := r.g.Protocol.ReadAnswer(response.Status, response.Header)
	success := response.Status >= 200 && response.Status < 300
	if answer.Limit.Named || answer.isByUpstream(response.Status) || attempt.PrefillOnly && success {
		r.g.observeLimit(attempt.Upstream, response.Status, answer.Limit, sentAt, now)
	}
	if answer.Leaving {
		r.g.recordLeaving(attempt.Upstream, response.Status)
	}
	if answer.RetryAfter > 0 {
		r.g.recordPause(attempt.Upstream, response.Status, answer.RetryAfter)
	}
	if answer.HasLoad {
		r.g.Board.RecordLoad(id, now, answer.Load)
	}
	if answer.NotRun {
		response.Close()
		if response.Status == http.StatusMisdirectedRequest { // another process answers at the upstream's address
			r.g.Board.MarkReplaced(id, now)
		} else if r.service.Engine != nil {
			r.g.Board.RecordRefusal(id, now)
		}
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "%s refused with status %d", id, response.Status)
	}
	r.g.Board.RecordAnswer(id, now, !success)
	if attempt.PrefillOnly && success || answer.Signed && !impliesNotRun(response.Status) {
		return response, nil
	}
	response.Close()
	return nil, &verdict.Refusal{Verdict: verdict.Ran, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR,
		Detail: id + " sent an unsigned answer, or one with a status that means that the request did not run"}
}

// impliesNotRun reports whether callers take a status to mean that the request did not run. An upstream may answer with such a
// status after it ran a request; that answer must not reach the caller.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendError returns the refusal for a call that failed without an answer.
func sendError(upstream *fleet.Upstream, err error) error {
	if errors.Is(err, upstreamconn.ErrNotSent) {
		return verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_UNREACHABLE, "%s: %v", upstream.ID, err)
	}
	return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: failureReason(err), Detail: upstream.ID + ": " + err.Error()}
}

// wasSent reports whether the request of a failed call may have reached its upstream.
func wasSent(err error) bool {
	switch verdict.As(err).Reason {
	case wirev1.Reason_REASON_UPSTREAM_UNREACHABLE, wirev1.Reason_REASON_UPSTREAM_LIMITED, wirev1.Reason_REASON_LEAVING:
		return false
	}
	return true
}

// failureReason returns the reason for an answer that could not be read. After REASON_UPSTREAM_BROKE serveModel may try the same
// engine again; an engine that sends malformed answers must not get the request again.
func failureReason(err error) wirev1.Reason {
	if errors.Is(err, upstreamconn.ErrMalformed) {
		return wirev1.Reason_REASON_UPSTREAM_ERROR
	}
	return wirev1.Reason_REASON_UPSTREAM_BROKE
}

// mayRetry reports whether the call may be sent again after a failure, and charges the retry budget if so. Failed
// connection attempts are not charged. It also counts the failed attempt in possibleRuns if the call may have run.
func (r *request) mayRetry(failure *verdict.Refusal) bool {
	if r.ctx.Err() != nil {
		return false
	}
	switch failure.Reason {
	case wirev1.Reason_REASON_UPSTREAM_UNREACHABLE:
		return failure.Verdict == verdict.NotRun && len(r.excluded) < maxUnreachable
	case wirev1.Reason_REASON_NO_PLACE, wirev1.Reason_REASON_UPSTREAM_BROKE, wirev1.Reason_REASON_UPSTREAM_ERROR:
	default:
		return false
	}
	if failure.Verdict != verdict.NotRun {
		r.possibleRuns++
		if !r.route.Repeatable() || r.possibleRuns >= r.route.Attempts {
			return false
		}
	}
	return r.sends < maxSends && r.chargeRetry()
}

// chargeRetry charges the retry budget for another attempt, unless that was done before the failed one was given up. It reports whether
// the attempt is permitted.
func (r *request) chargeRetry() bool {
	if r.retryCharged {
		r.retryCharged = false
		return true
	}
	return r.g.Budgets.forService(r.service.Name).Allow()
}

const (
	// maxSends is the number of attempts, including refused ones, after which a request is not sent again. A failed connection
	// attempt counts too, but is itself followed by another attempt until maxUnreachable is reached.
	maxSends = 3
	// maxUnreachable is the number of excluded upstreams at which a request gives up after a failed connection attempt.
	maxUnreachable = 16
)

// A caller refused under overload is asked to retry after overloadDelayTargets to overloadDelayTargets+overloadJitterTargets
// latency targets, because bursts last for seconds.
const (
	overloadDelayTargets  = 3.0
	overloadJitterTargets = 2.0
)

// overloadRetryAfter returns the retry delay for a refused caller. It is about the time in which running requests end and free
// capacity, with jitter, so that callers that were refused together do not retry together.
func overloadRetryAfter(r *request) time.Duration {
	return time.Duration((overloadDelayTargets + overloadJitterTargets*rand.Float64()) * float64(r.latencyTarget()))
}

// latencyTarget returns the latency target of the route, or a second if it has none.
func (r *request) latencyTarget() time.Duration {
	if r.route.LatencyTarget <= 0 {
		return time.Second
	}
	return r.route.LatencyTarget
}

// noUpstream returns the refusal of a request for which no upstream has capacity.
func noUpstream() *verdict.Refusal {
	return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream of the service can accept the request")
}
