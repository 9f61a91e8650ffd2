package ledger

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// maintainLoop periodically reads the shard records and changes owners and successors.
func (n *Node) maintainLoop(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		n.maintain(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) maintain(ctx context.Context) {
	if !n.needsRead(time.Now()) {
		return
	}
	// Shards are reconciled only after a successful read, so that no write is started while the store is down: a write with
	// an unknown outcome would keep this node from giving promises until the store is available again.
	if err := n.refresh(ctx); err != nil {
		n.cfg.Logger.Debug("reading shard records failed", zap.Error(err))
		return
	}
	members := n.cfg.Members.Entries()
	for _, s := range n.shards {
		n.reconcile(ctx, s, members)
	}
	n.rebalance(ctx, members)
}

// needsRead reports whether the records must be read now.
func (n *Node) needsRead(now time.Time) bool {
	n.stateMu.Lock()
	due := now.Sub(n.lastReadAt) >= RefreshInterval && now.Sub(n.refreshStartedAt) >= minRefreshInterval
	n.stateMu.Unlock()
	if due {
		return true
	}
	for _, s := range n.shards {
		s.mu.Lock()
		urgent := !s.writing && s.needsReadNow(n.cfg.Self, now)
		s.mu.Unlock()
		if urgent {
			return true
		}
	}
	return false
}

// needsReadNow reports whether the record must be read before the next regular refresh: to confirm the ownership of this
// node, to replace its successor, or to check for a takeover by this node. It is called with s.mu held.
func (s *shard) needsReadNow(self string, now time.Time) bool {
	switch {
	case s.owned:
		confirmedFor := later(s.receivedPromiseUntil, s.readValidUntil).Sub(now)
		return confirmedFor < readThreshold ||
			s.successorUnresponsive(now) && now.Sub(s.readValidUntil.Add(-PromiseTerm)) >= renewInterval
	case s.revision == 0 || s.record.Owner == self:
		return true
	case s.record.Successor == "":
		return now.Sub(s.reconciledAt) >= renewInterval
	default:
		return s.mayTakeOver(self, now)
	}
}

// successorUnresponsive reports whether there is no successor, or none that gave a promise within successorTimeout. It is
// called with s.mu held.
func (s *shard) successorUnresponsive(now time.Time) bool {
	return s.record.Successor == "" ||
		now.Sub(later(s.successorNamedAt, s.receivedPromiseUntil.Add(-PromiseTerm))) > successorTimeout
}

// mayTakeOver reports whether this node is the successor and may take over. It is called with s.mu held.
func (s *shard) mayTakeOver(self string, now time.Time) bool {
	return s.record.Successor == self && s.record.Owner != self && now.After(s.givenPromiseUntil.Add(promiseExpiryGrace))
}

// reconcile starts the change that the state of a shard requires from this node: to name another successor or to take over.
func (n *Node) reconcile(ctx context.Context, s *shard, members []string) {
	if n.isLeaving() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing {
		return
	}
	self := n.cfg.Self
	now := time.Now()
	s.reconciledAt = now
	ownerMissing := n.ownerMissingTooLong(s, members, now)
	switch {
	case s.owned && !s.suspended && s.hasOddRecord():
		s.writing = true
		go n.nameSuccessor(ctx, s, s.record.Successor)
	case s.owned && !s.suspended:
		if next, ok := n.replacementSuccessor(s, members, now); ok {
			s.writing = true
			go n.nameSuccessor(ctx, s, next)
		}
	case s.owned: // suspended: changed only by the handoff in progress
	case s.revision == 0:
		if len(members) > 0 && ranked(members, s.number)[0] == self {
			s.writing = true
			go n.takeOver(ctx, s, n.chooseSuccessor(s.number, members, ""), s.record.Epoch == 0)
		}
	case s.record.Owner == self, s.mayTakeOver(self, now), n.orphaned(s, members), ownerMissing:
		s.writing = true
		go n.takeOver(ctx, s, n.chooseSuccessor(s.number, members, s.record.Owner), false)
	}
}

// orphaned reports whether both owner and successor have terminated permanently and this node is the highest-ranked member.
// It is called with s.mu held.
func (n *Node) orphaned(s *shard, members []string) bool {
	terminated := n.cfg.Terminated
	if terminated == nil || !terminated(s.record.Owner) || s.record.Successor != "" && !terminated(s.record.Successor) {
		return false
	}
	return len(members) > 0 && ranked(members, s.number)[0] == n.cfg.Self
}

// ownerMissingTooLong reports whether a shard without successor has had no live owner for PromiseTerm and this node is the
// highest-ranked member. If the owner is alive but unreachable, taking over is still safe: without a successor, only reads
// of the record confirm the owner, and TakeoverWait is longer than a read is valid. It is called with s.mu held.
func (n *Node) ownerMissingTooLong(s *shard, members []string, now time.Time) bool {
	if s.revision == 0 || s.record.Successor != "" || slices.Contains(members, s.record.Owner) {
		s.ownerMissingSince = time.Time{}
		return false
	}
	if s.ownerMissingSince.IsZero() {
		s.ownerMissingSince = now
	}
	return now.Sub(s.ownerMissingSince) >= PromiseTerm && len(members) > 0 && ranked(members, s.number)[0] == n.cfg.Self
}

// chooseSuccessor returns the highest-ranked member other than this node. It returns avoid only if there is no other one.
func (n *Node) chooseSuccessor(shard uint32, members []string, avoid string) string {
	fallback := ""
	for _, name := range ranked(members, shard) {
		switch name {
		case n.cfg.Self:
		case avoid:
			fallback = name
		default:
			return name
		}
	}
	return fallback
}

// replacementSuccessor returns the successor to name if the current one is missing or unresponsive, and whether there is
// one to name. It is called with s.mu held.
func (n *Node) replacementSuccessor(s *shard, members []string, now time.Time) (string, bool) {
	if s.record.Successor != "" && !s.successorUnresponsive(now) {
		return "", false
	}
	next := n.chooseSuccessor(s.number, members, s.record.Successor)
	return next, next != s.record.Successor && next != ""
}

// takeOver makes this node the owner of a shard. The caller has set s.writing. The first owner of a shard starts at once
// with full buckets, any other one after the takeover wait with empty buckets.
func (n *Node) takeOver(ctx context.Context, s *shard, successor string, firstOwner bool) {
	written := n.writeRecord(ctx, s, successor, func() {
		s.clearOwnership()
		s.owned = true
		s.grantsFrom = time.Now()
		if !firstOwner {
			s.grantsFrom = s.grantsFrom.Add(n.takeoverWait)
		}
		s.startFull = firstOwner
		s.emptyAt = s.grantsFrom
		s.handedOffEpoch = 0
		s.buckets = make(map[string]*Bucket)
	})
	if written {
		n.cfg.Logger.Info("shard taken over", zap.Uint32("shard", s.number), zap.Bool("first owner", firstOwner))
		n.renewNow()
	}
}

func (n *Node) nameSuccessor(ctx context.Context, s *shard, successor string) bool {
	written := n.writeRecord(ctx, s, successor, func() {})
	if written {
		n.renewNow()
	}
	return written
}

// renewNow makes renewLoop request promises at once.
func (n *Node) renewNow() {
	select {
	case n.renewSignal <- struct{}{}:
	default:
	}
}

// renewLoop periodically requests promises from the successors of this node's shards.
func (n *Node) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		n.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.renewSignal:
		}
	}
}

func (n *Node) renew(ctx context.Context) {
	requests := make(map[string]*wirev1.PromiseRequest)
	for _, s := range n.shards {
		s.mu.Lock()
		// While a write is in progress the record may already name another successor, which is not bound by this promise.
		if s.owned && !s.suspended && !s.writing && s.record.Successor != "" {
			request := requests[s.record.Successor]
			if request == nil {
				request = &wirev1.PromiseRequest{}
				requests[s.record.Successor] = request
			}
			request.Shards = append(request.Shards, &wirev1.ShardEpoch{Shard: s.number, Epoch: s.record.Epoch})
		}
		s.mu.Unlock()
	}
	for successor, request := range requests {
		go n.requestPromise(ctx, successor, request)
	}
}

// requestPromise requests promises from one successor. Their term starts when the request is sent.
func (n *Node) requestPromise(ctx context.Context, successor string, request *wirev1.PromiseRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	reply := new(wirev1.PromiseReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Promise{Promise: request}}
	if err := n.cfg.Network.Call(ctx, successor, open, reply); err != nil {
		n.cfg.Logger.Debug("promise request failed", zap.String("successor", successor), zap.Error(err))
		return
	}
	term := min(PromiseTerm, time.Duration(reply.GetTermMs())*time.Millisecond)
	for _, promised := range reply.GetPromised() {
		if promised.GetShard() >= uint32(len(n.shards)) {
			continue
		}
		s := n.shards[promised.GetShard()]
		s.mu.Lock()
		if s.owned && s.record.Epoch == promised.GetEpoch() && s.record.Successor == successor {
			s.receivedPromiseUntil = later(s.receivedPromiseUntil, sent.Add(term))
		}
		s.mu.Unlock()
	}
}

// HandlePromise handles the request of an owner for promises of this node, its successor.
func (n *Node) HandlePromise(_ context.Context, request *wirev1.PromiseRequest) *wirev1.PromiseReply {
	if n.newerEpoch(request.GetShards()) {
		// The refresh runs in the background, because the other promises of the request must not depend on the store.
		n.requestRefresh()
	}
	reply := &wirev1.PromiseReply{TermMs: uint32(PromiseTerm.Milliseconds())}
	for _, requested := range request.GetShards() {
		if requested.GetShard() >= uint32(len(n.shards)) {
			continue
		}
		s := n.shards[requested.GetShard()]
		s.mu.Lock()
		if !s.writing && s.record.Epoch == requested.GetEpoch() && s.isSuccessor(n.cfg.Self) {
			s.givenPromiseUntil = time.Now().Add(PromiseTerm)
			reply.Promised = append(reply.Promised, requested)
		}
		s.mu.Unlock()
	}
	return reply
}

func (s *shard) isSuccessor(self string) bool {
	return s.revision != 0 && s.record.Successor == self && s.record.Owner != self
}

// newerEpoch reports whether any of the epochs, known to another process, is newer than the one known to this node.
func (n *Node) newerEpoch(shards []*wirev1.ShardEpoch) bool {
	return slices.ContainsFunc(shards, func(known *wirev1.ShardEpoch) bool {
		if known.GetShard() >= uint32(len(n.shards)) {
			return false
		}
		s := n.shards[known.GetShard()]
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.record.Epoch < known.GetEpoch()
	})
}

func (n *Node) isLeaving() bool {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	return n.leaving
}
