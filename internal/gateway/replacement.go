package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// maxSoundSilence is longer than a sound upstream may be silent, which is about a second. After it, or after half of the request's time,
// suspected upstreams are replacements too: all of them count as suspects if connections went silent for good while new ones work.
const maxSoundSilence = 2 * time.Second

// moveFromSilent cancels the attempt at a silent upstream if the request can go on at another one at once: the route permits another
// attempt, an upstream that answers has capacity, a stopping process does not end before, and the retry budget has been charged.
// Otherwise the attempt goes on, because a sound upstream may be silent for a while and the request would only fail sooner. It reports
// whether the request moves. It runs while the request waits for the silent upstream, and reads only fields that do not change during
// an attempt.
func (r *request) moveFromSilent(silent *fleet.Upstream, silence time.Duration, cancel context.CancelCauseFunc) bool {
	if !r.route.Repeatable() || r.possibleRuns+1 >= r.route.Attempts || r.sends >= maxSends {
		return false
	}
	query := r.replacementQuery(silent)
	query.WithoutSuspects = silence < min(maxSoundSilence, r.deadline.Sub(r.began)/2)
	if r.service.Engine == nil || !r.call.HasTokens {
		if !r.hasPlainReplacement(query) || !r.chargeMove() {
			return false
		}
	} else {
		plan, ok := r.planReplacement(query)
		if !ok || !r.chargeMove() {
			return false
		}
		r.replacement = r.begin(query, plan)
	}
	cancel(errNoResponse)
	return true
}

// chargeMove charges the retry budget for a move, unless nothing was sent yet, as while the upstream is dialled. The charge is kept for
// the next call of chargeRetry. It reports whether the request may move.
func (r *request) chargeMove() bool {
	if !r.sending.Load() {
		return true
	}
	r.retryCharged = r.chargeRetry()
	return r.retryCharged
}

// replacementQuery returns a query for upstreams without the silent one. A decode engine processes the prompt itself, as that
// takes a single call.
func (r *request) replacementQuery(silent *fleet.Upstream) placement.Query {
	query := placement.Query{Service: r.service, Now: time.Now(), Excluded: maps.Clone(r.excluded), LocalPrefillOnly: true}
	query.Excluded[silent.ID] = true
	r.addSizes(&query)
	return query
}

// hasPlainReplacement reports whether there is a plain upstream for the query that names no limit. The permit for one that names a limit
// may be refused.
func (r *request) hasPlainReplacement(query placement.Query) bool {
	for {
		upstream, ok := r.g.Board.PickPlain(query)
		if !ok || !r.g.Limits.Limited(upstream, query.Now) {
			return ok
		}
		query.Excluded[upstream.ID] = true
	}
}

// planReplacement returns a plan with an engine that names no limit and at which a stopping process does not end too early; ok is false
// if there is none.
func (r *request) planReplacement(query placement.Query) (plan placement.Plan, ok bool) {
	for {
		plan, ok = r.g.Board.PlanModel(query)
		if !ok || !r.g.Limits.Limited(plan.Decode, query.Now) && !r.endsTooLate(&plan) {
			return plan, ok
		}
		query.Excluded[plan.Decode.ID] = true
	}
}

// allowReturn lets the request go back to the silent upstream that it left, after another one failed to run it. A sound upstream may be
// silent for a while, and without another one the request would only fail sooner.
func (r *request) allowReturn(failure *verdict.Refusal) {
	if failure.Verdict == verdict.NotRun {
		delete(r.excluded, r.leftSilent)
		r.leftSilent = ""
	}
}

// takeReplacement returns the replacement, if there is one, for the next attempt.
func (r *request) takeReplacement() *allocation {
	alloc := r.replacement
	r.replacement = nil
	return alloc
}

// dropReplacement releases a replacement that is not used.
func (r *request) dropReplacement() {
	if alloc := r.takeReplacement(); alloc != nil {
		alloc.release()
	}
}
