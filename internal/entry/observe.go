package entry

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/ledger"
	"github.com/fulmardoor/fulmardoor/internal/metrics"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// worstServedLimit is the target for the worst-served account; below it the account is logged.
const worstServedLimit = 0.9

// watchMetrics adds the collectors that read the state of other parts at each scrape.
func (e *Entry) watchMetrics() {
	metrics.WatchConfiguration(e.metrics.Registry, metrics.ConfigurationSource{
		Revision: func() uint64 { return e.conf.Current().Revision }, Age: e.conf.Age,
		State: func() string { return e.conf.State().String() }, States: confsync.StateNames(),
	})
	metrics.WatchTraffic(e.metrics.Registry, e.traffic)
	e.metrics.WatchAdmission(e.admission.load)
	e.metrics.WatchShards(e.shardOwnership)
}

// shardOwnership tells for which ledger shards a process is known that grants tokens.
func (e *Entry) shardOwnership() []metrics.Shard {
	alive := ledgerMembers{e.members}.Entries()
	status := e.ledger.Status()
	shards := make([]metrics.Shard, len(status))
	for i, s := range status {
		shards[i].State = string(s.State)
		switch s.State {
		case ledger.StateGranting, ledger.StateHandoff:
			shards[i].Owned = true
		case ledger.StateRemote, ledger.StateWriting:
			shards[i].Owned = s.Owner != "" && slices.Contains(alive, s.Owner)
		}
	}
	return shards
}

// logWorstServed names the worst-served account while it gets less than the target. No metric names an account.
func (e *Entry) logWorstServed(ctx context.Context) {
	for wait.For(ctx, metrics.AccountWindow) {
		if worst := e.metrics.Accounts.LeastServed(); worst.Ratio < worstServedLimit {
			e.logger.Warn("worst-served account", zap.String("account", worst.Account), zap.Float64("served_ratio", worst.Ratio))
		}
		if worst := e.metrics.Accounts.LeastGranted(); worst.Ratio < worstServedLimit {
			e.logger.Info("account with the least granted tokens", zap.String("account", worst.Account),
				zap.Float64("granted_ratio", worst.Ratio))
		}
	}
}

// noteFailed counts a request that got no whole answer. A caller that closed only its sending side still reads, so the
// refusal is written to it in any case.
func (r *request) noteFailed(tokens uint64, refusal *verdict.Refusal) {
	if r.callerGone() {
		r.e.metrics.CallerLost()
		r.e.events.Record("caller_gone", r.name, "")
		return
	}
	r.noteEnd(tokens, refusal)
	r.e.noteRefusal(r.name, refusal)
}

// noteEnd counts the tokens of a request of an account that ended; nil is a whole answer.
func (r *request) noteEnd(tokens uint64, refusal *verdict.Refusal) {
	if refusal == nil || metrics.WithinRate(refusal.Reason) {
		r.e.metrics.Accounts.Ended(r.caller.account, tokens, refusal == nil)
	}
}
