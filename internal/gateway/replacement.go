package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
)

// moveFromSilent cancels the attempt at a silent upstream if the request can go on at another one at once: the route permits another
// attempt, an upstream that answers has capacity, a stopping process does not end before, and the retry budget has been charged.
// Otherwise the attempt goes on, because a sound upstream may be silent for a while and the request would only fail sooner. It reports
// whether the request moves. It runs while the request waits for the silent upstream, and reads only fields that do not change during
// an attempt.
func (r *request) moveFromSilent(silent *fleet.Upstream, silence time.Duration, cancel context.CancelCauseFunc) bool {
	if !r.route.Repeatable() || r.possibleRuns+1 >= r.route.Attempts || r.sends >= maxSends {
		return false
	}
	if r.service.Engine != nil && r.call.HasTokens {
		if r.replacement = r.allocateReplacement(silent); r.replacement == nil {
			return false
		}
		if r.endsTooLate(r.replacement) {
			r.dropReplacement()
			return false
		}
	} else if _, ok := r.g.Board.PickPlain(r.replacementQuery(silent)); !ok {
		return false
	}
	if !r.g.Budgets.forService(r.service.Name).Allow() {
		r.dropReplacement()
		return false
	}
	r.retryCharged = true
	cancel(errNoResponse)
	return true
}

// replacementQuery returns a query for upstreams that answer, without the silent one.
func (r *request) replacementQuery(silent *fleet.Upstream) placement.Query {
	excluded := maps.Clone(r.excluded)
	excluded[silent.ID] = true
	return placement.Query{Service: r.service, Now: time.Now(), Excluded: excluded, WithoutSuspects: true}
}

// allocateReplacement returns an allocation at a decode engine that processes the prompt itself, which takes a single call; nil if no
// engine has capacity.
func (r *request) allocateReplacement(silent *fleet.Upstream) *allocation {
	query := r.replacementQuery(silent)
	r.addSizes(&query)
	query.LocalPrefillOnly = true
	return r.allocateFor(query)
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
