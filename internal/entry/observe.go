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

// minServedRatio is the target for the share of its tokens that each account is served, and the ratio below which
// logWorstServed logs an account.
const minServedRatio = 0.9

// registerCollectors registers the metrics that are read from the state of other components at each scrape.
func (e *Entry) registerCollectors() {
	metrics.WatchConfiguration(e.metrics.Registry, metrics.ConfigurationSource{
		Revision: func() uint64 { return e.conf.Current().Revision }, Age: e.conf.Age,
		State: func() string { return e.conf.State().String() }, States: confsync.StateNames(),
	})
	metrics.WatchTraffic(e.metrics.Registry, e.traffic)
	e.metrics.WatchAdmission(e.admission.load)
	e.metrics.WatchShards(e.shardOwnership)
}

// shardOwnership returns the state of each ledger shard and whether a live process is known to own it.
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

// logWorstServed logs the account with the lowest ratio of served tokens, and that with the lowest ratio of granted tokens,
// while the ratio is below minServedRatio. They are logged because no metric has an account label.
func (e *Entry) logWorstServed(ctx context.Context) {
	for wait.For(ctx, metrics.AccountWindow) {
		if worst := e.metrics.Accounts.LeastServed(); worst.Ratio < minServedRatio {
			e.logger.Warn("worst-served account", zap.String("account", worst.Account), zap.Float64("served_ratio", worst.Ratio))
		}
		if worst := e.metrics.Accounts.LeastGranted(); worst.Ratio < minServedRatio {
			e.logger.Info("account with the least granted tokens", zap.String("account", worst.Account),
				zap.Float64("granted_ratio", worst.Ratio))
		}
	}
}

// recordFailure counts a request that got no complete response. It does not send the refusal: the fail methods do so even if
// the caller seems to have disconnected, because a caller that closed only its sending side still reads.
func (r *request) recordFailure(tokens uint64, refusal *verdict.Refusal) {
	if r.callerDisconnected() {
		r.entry.metrics.CallerDisconnected()
		r.entry.events.Record("caller_gone", r.name, "")
		return
	}
	r.recordAccountUsage(tokens, refusal)
	r.entry.recordRefusal(r.name, refusal)
}

// recordAccountUsage counts the tokens of a finished request for its account; a nil refusal means a complete response. It
// leaves out requests that exceeded the rate of the account or were refused because of an error of their caller.
func (r *request) recordAccountUsage(tokens uint64, refusal *verdict.Refusal) {
	if refusal == nil || metrics.WithinRate(refusal.Reason) {
		r.entry.metrics.Accounts.Ended(r.caller.account, tokens, refusal == nil)
	}
}
