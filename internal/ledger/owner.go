package ledger

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// maintainLoop reads records and changes owners and successors.
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
	// Duties are decided on a read that has just succeeded, so that no write is begun while the store is down: a write in
	// doubt would keep this node from giving promises until the store is back.
	if err := n.refresh(ctx); err != nil {
		n.cfg.Logger.Debug("ledger records not read", zap.Error(err))
		return
	}
	members := n.cfg.Members.Entries()
	for _, s := range n.shards {
		n.decideDuties(ctx, s, members)
	}
	n.rebalance(ctx, members)
}

// needsRead reports whether the records must be read now.
func (n *Node) needsRead(now time.Time) bool {
	n.stateMu.Lock()
	due := now.Sub(n.readAt) >= RefreshInterval && now.Sub(n.refreshAt) >= clientRefresh
	n.stateMu.Unlock()
	if due {
		return true
	}
	for _, s := range n.shards {
		s.mu.Lock()
		urgent := !s.writing && s.urgent(n.cfg.Self, now)
		s.mu.Unlock()
		if urgent {
			return true
		}
	}
	return false
}

// urgent is called with s.mu held.
func (s *shard) urgent(self string, now time.Time) bool {
	switch {
	case s.held:
		confirmed := later(s.promiseUntil, s.readUntil).Sub(now)
		return confirmed < readBelow || s.successorSilent(now) && now.Sub(s.readUntil.Add(-PromiseTerm)) >= renewInterval
	case s.revision == 0 || s.record.Owner == self:
		return true
	case s.record.Successor == "":
		return now.Sub(s.dutiesAt) >= renewInterval
	default:
		return s.lapsed(self, now)
	}
}

// successorSilent reports whether there is no successor, or none that gave a promise within replaceAfter. It is called with
// s.mu held.
func (s *shard) successorSilent(now time.Time) bool {
	return s.record.Successor == "" || now.Sub(later(s.namedAt, s.promiseUntil.Add(-PromiseTerm))) > replaceAfter
}

// lapsed reports whether this node is the successor and may take over. It is called with s.mu held.
func (s *shard) lapsed(self string, now time.Time) bool {
	return s.record.Successor == self && s.record.Owner != self && now.After(s.promisedUntil.Add(takeoverPatience))
}

// decideDuties begins what the state of a shard asks of this node.
func (n *Node) decideDuties(ctx context.Context, s *shard, members []string) {
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
	s.dutiesAt = now
	abandoned := n.abandoned(s, members, now)
	switch {
	case s.held && !s.stopped:
		if next, ok := n.otherSuccessor(s, members, now); ok {
			s.writing = true
			go n.nameSuccessor(ctx, s, next)
		}
	case s.held:
	case s.revision == 0:
		if len(members) > 0 && ranked(members, s.number)[0] == self {
			s.writing = true
			go n.takeOver(ctx, s, n.chooseSuccessor(s.number, members, ""), true)
		}
	case s.record.Owner == self, s.lapsed(self, now), n.orphaned(s, members), abandoned:
		s.writing = true
		go n.takeOver(ctx, s, n.chooseSuccessor(s.number, members, s.record.Owner), false)
	}
}

// orphaned reports whether owner and successor are gone for good and this node is the best placed member. It is called
// with s.mu held.
func (n *Node) orphaned(s *shard, members []string) bool {
	gone := n.cfg.Gone
	if gone == nil || !gone(s.record.Owner) || s.record.Successor != "" && !gone(s.record.Successor) {
		return false
	}
	return len(members) > 0 && ranked(members, s.number)[0] == n.cfg.Self
}

// abandoned reports whether a shard without successor has had no live owner for PromiseTerm and this node is the best
// placed member. Only reads of the record confirm such an owner, so the wait after a takeover covers one that is alive but
// not heard. It is called with s.mu held.
func (n *Node) abandoned(s *shard, members []string, now time.Time) bool {
	if s.revision == 0 || s.record.Successor != "" || slices.Contains(members, s.record.Owner) {
		s.ownerMissing = time.Time{}
		return false
	}
	if s.ownerMissing.IsZero() {
		s.ownerMissing = now
	}
	return now.Sub(s.ownerMissing) >= PromiseTerm && len(members) > 0 && ranked(members, s.number)[0] == n.cfg.Self
}

// chooseSuccessor returns the best placed member besides this node; avoid is chosen only if there is no other.
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

// otherSuccessor returns the successor to name in place of one that is missing or silent. It is called with s.mu held.
func (n *Node) otherSuccessor(s *shard, members []string, now time.Time) (string, bool) {
	if s.record.Successor != "" && !s.successorSilent(now) {
		return "", false
	}
	next := n.chooseSuccessor(s.number, members, s.record.Successor)
	return next, next != s.record.Successor && next != ""
}

// takeOver makes this node the owner of a shard whose s.writing was set by the caller. A shard that never had an owner
// starts with full buckets at once, any other with empty buckets after the wait.
func (n *Node) takeOver(ctx context.Context, s *shard, successor string, first bool) {
	won := n.write(ctx, s, successor, func() {
		s.drop()
		s.held = true
		s.grantsAt = time.Now()
		if !first {
			s.grantsAt = s.grantsAt.Add(n.takeoverWait)
		}
		s.full = first
		s.emptyAt = s.grantsAt
		s.takenEpoch = 0
		s.buckets = make(map[string]*Bucket)
	})
	if won {
		n.cfg.Logger.Info("shard taken over", zap.Uint32("shard", s.number), zap.Bool("first owner", first))
		n.renewNow()
	}
}

func (n *Node) nameSuccessor(ctx context.Context, s *shard, successor string) bool {
	won := n.write(ctx, s, successor, func() {})
	if won {
		n.renewNow()
	}
	return won
}

// renewNow asks for promises without waiting for the interval.
func (n *Node) renewNow() {
	select {
	case n.renewSoon <- struct{}{}:
	default:
	}
}

// renewLoop asks successors for promises.
func (n *Node) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		n.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.renewSoon:
		}
	}
}

func (n *Node) renew(ctx context.Context) {
	requests := make(map[string]*wirev1.PromiseRequest)
	for _, s := range n.shards {
		s.mu.Lock()
		// While a write is in progress the record may already name another successor, whom this promise would not bind.
		if s.held && !s.stopped && !s.writing && s.record.Successor != "" {
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
		go n.askPromise(ctx, successor, request)
	}
}

// askPromise counts the promises from before the request was sent.
func (n *Node) askPromise(ctx context.Context, successor string, request *wirev1.PromiseRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	reply := new(wirev1.PromiseReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Promise{Promise: request}}
	if err := n.cfg.Network.Call(ctx, successor, open, reply); err != nil {
		n.cfg.Logger.Debug("no promise", zap.String("successor", successor), zap.Error(err))
		return
	}
	term := min(PromiseTerm, time.Duration(reply.GetTermMs())*time.Millisecond)
	for _, promised := range reply.GetPromised() {
		if promised.GetShard() >= uint32(len(n.shards)) {
			continue
		}
		s := n.shards[promised.GetShard()]
		s.mu.Lock()
		if s.held && s.record.Epoch == promised.GetEpoch() && s.record.Successor == successor {
			s.promiseUntil = later(s.promiseUntil, sent.Add(term))
		}
		s.mu.Unlock()
	}
}

// HandlePromise answers an owner that asks this node as its successor.
func (n *Node) HandlePromise(_ context.Context, request *wirev1.PromiseRequest) *wirev1.PromiseReply {
	if n.newerEpoch(request.GetShards()) {
		// Not waited for: the other promises of the request must not depend on the store.
		n.refreshLater()
	}
	reply := &wirev1.PromiseReply{TermMs: uint32(PromiseTerm.Milliseconds())}
	for _, asked := range request.GetShards() {
		if asked.GetShard() >= uint32(len(n.shards)) {
			continue
		}
		s := n.shards[asked.GetShard()]
		s.mu.Lock()
		if !s.writing && s.record.Epoch == asked.GetEpoch() && s.isSuccessor(n.cfg.Self) {
			s.promisedUntil = time.Now().Add(PromiseTerm)
			reply.Promised = append(reply.Promised, asked)
		}
		s.mu.Unlock()
	}
	return reply
}

func (s *shard) isSuccessor(self string) bool {
	return s.revision != 0 && s.record.Successor == self && s.record.Owner != self
}

// newerEpoch reports whether another process knows a newer epoch of a shard.
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
