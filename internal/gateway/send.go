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

// send hands the call to one upstream and returns its answer, with an error for every answer that the caller must not
// get. The error's verdict says whether the upstream may have run the call.
func (r *request) send(ctx context.Context, send *Send) (*upstreamconn.Response, error) {
	send.Account, send.TimeLeft = r.accountName(), r.timeLeft()
	id := send.Upstream.ID
	response, err := r.g.Pool.Do(ctx, &upstreamconn.Request{
		Address: send.Upstream.Address, Method: r.call.Method, Target: r.call.Target, Host: r.call.Host,
		Header: r.g.Protocol.RequestHeader(r.call, send), Body: r.call.Body,
		Accept: func(header http.Header) bool { return r.g.Protocol.Belongs(r.call, header) },
	})
	now := time.Now()
	if err != nil {
		if r.ctx.Err() == nil {
			r.g.Board.Silent(id, now)
		}
		return nil, sendError(send.Upstream, err)
	}
	answer := r.g.Protocol.ReadAnswer(response.Status, response.Header)
	if answer.HasLoad {
		r.g.Board.Reported(id, now, answer.Load)
	}
	if answer.NotRun {
		response.Close()
		if response.Status == http.StatusMisdirectedRequest {
			r.g.Board.Replaced(id, now)
		} else if r.service.Engine != nil {
			r.g.Board.Refused(id, now)
		}
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "%s refused with status %d", id, response.Status)
	}
	success := response.Status >= 200 && response.Status < 300
	r.g.Board.Answered(id, now, !success)
	if send.PrefillOnly && success || answer.Genuine && !reserved(response.Status) {
		return response, nil
	}
	response.Close()
	return nil, &verdict.Refusal{Verdict: verdict.Ran, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR,
		Detail: id + " answered without its signature, or with a status that would promise that it did not run"}
}

// reserved reports whether a status promises callers that the request did not run. An upstream that ran a request may
// still answer with one; it must not reach the caller then.
func reserved(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func sendError(upstream *fleet.Upstream, err error) error {
	if errors.Is(err, upstreamconn.ErrNotSent) {
		return verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_UNREACHABLE, "%s: %v", upstream.ID, err)
	}
	return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: wirev1.Reason_REASON_UPSTREAM_BROKE, Detail: upstream.ID + ": " + err.Error()}
}

// mayRepeat decides whether the call goes to another upstream after a failure there, and takes the repeat from the budget.
// A request that reached no upstream costs nothing.
func (r *request) mayRepeat(failure *verdict.Refusal) bool {
	if r.ctx.Err() != nil {
		return false
	}
	switch failure.Reason {
	case wirev1.Reason_REASON_UPSTREAM_UNREACHABLE:
		return failure.Verdict == verdict.NotRun && len(r.excluded) < maxUnreached
	case wirev1.Reason_REASON_NO_PLACE, wirev1.Reason_REASON_UPSTREAM_BROKE, wirev1.Reason_REASON_UPSTREAM_ERROR:
	default:
		return false
	}
	if failure.Verdict != verdict.NotRun {
		r.ran++
		if !r.route.Repeatable() || r.ran >= r.route.Attempts {
			return false
		}
	}
	return r.sends < maxSends && r.g.Budgets.of(r.service.Name).Allow()
}

const (
	// maxSends bounds how many upstreams are offered one request, refusals included.
	maxSends = 3
	// maxUnreached bounds the upstreams that are tried without reaching one.
	maxUnreached = 4
)

// A refused caller returns after overloadTargets to overloadTargets+overloadSpread latency targets. Bursts last seconds.
const (
	overloadTargets = 3.0
	overloadSpread  = 2.0
)

// overloadPause is the pause that a refused caller is asked for: about the time in which running work ends and makes room,
// spread so that those who were refused together do not return together.
func overloadPause(r *request) time.Duration {
	target := r.route.LatencyTarget
	if target <= 0 {
		target = time.Second
	}
	return time.Duration((overloadTargets + overloadSpread*rand.Float64()) * float64(target))
}

func noUpstream() *verdict.Refusal {
	return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream of the service takes work")
}
