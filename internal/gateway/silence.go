package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// silentTargets is the number of latency targets after which an upstream without an answer counts as silent.
	silentTargets = 2
	// silentStreamTargets is the same for the first event of a stream, which may wait behind other prompts.
	silentStreamTargets = 3
	// silentPauses is the number of pause targets after which a stream without an event counts as silent. Callers leave
	// after eight of them or later; the rest is for reading the prompt at another engine.
	silentPauses = 4
)

// errSilent ends a try at an upstream that did not answer in time.
var errSilent = errors.New("no answer in time")

// silenceWatch ends a try at an upstream that sends nothing for a time. A nil watch does nothing.
type silenceWatch struct {
	timer *time.Timer
	limit time.Duration
}

// restart begins the time anew.
func (w *silenceWatch) restart() {
	if w != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *silenceWatch) stop() {
	if w != nil {
		w.timer.Stop()
	}
}

// watchAnswer notes an upstream that does not begin its answer within a few latency targets, so that other requests avoid
// it, and ends the try if the request may go elsewhere.
func (r *request) watchAnswer(upstream *fleet.Upstream, cancel context.CancelCauseFunc) *silenceWatch {
	limit := silentTargets * r.route.LatencyTarget
	if r.route.Kind == fleet.Stream {
		limit = silentStreamTargets * r.route.LatencyTarget
	}
	return r.watch(limit, func() {
		r.g.Board.Slow(upstream.ID, time.Now())
		r.giveUp(cancel)
	})
}

// watchPauses does the same for a stream that has begun. A stream that pauses at an engine which sends others goes on there.
func (r *request) watchPauses(upstream *fleet.Upstream, cancel context.CancelCauseFunc) *silenceWatch {
	return r.watch(silentPauses*r.route.PauseTarget, func() {
		if r.g.Board.Slow(upstream.ID, time.Now()) {
			r.giveUp(cancel)
		}
	})
}

func (r *request) watch(limit time.Duration, action func()) *silenceWatch {
	if limit <= 0 {
		return nil
	}
	return &silenceWatch{timer: time.AfterFunc(limit, action), limit: limit}
}

// giveUp ends a try if the request may go elsewhere.
func (r *request) giveUp(cancel context.CancelCauseFunc) {
	if r.route.Repeatable() && r.ran+1 < r.route.Attempts {
		cancel(errSilent)
	}
}

// silentFailure replaces the error of a try that ended because its upstream was silent: it may live, but is not asked again.
func silentFailure(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errSilent) {
		return err
	}
	return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: errSilent.Error()}
}
