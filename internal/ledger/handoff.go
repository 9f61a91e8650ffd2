package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// handoffTimeout is how long a handoff to a higher-ranked member is retried before the owner resumes granting.
const handoffTimeout = 5 * time.Second

// ErrNotHandedOff means that a stopping node could not hand off all shards. Their successors take them over later.
var ErrNotHandedOff = errors.New("shards not handed off")

// Handoff passes all shards of this node to their successors with the exact state of the buckets. It is called once, at
// a planned stop; Run must still be running. A shard that is not handed off when ctx ends grants nothing more if the
// successor may own it.
func (n *Node) Handoff(ctx context.Context) error {
	n.stateMu.Lock()
	n.leaving = true
	n.stateMu.Unlock()
	refused := make(map[*shard]string)
	for ctx.Err() == nil {
		remaining := 0
		for _, s := range n.shards {
			n.ensureSuccessor(ctx, s, refused[s])
			if !n.tryHandoff(ctx, s) {
				remaining++
				refused[s] = s.successor()
			}
		}
		if remaining == 0 {
			return nil
		}
		wait.For(ctx, retryDelay)
	}
	return ErrNotHandedOff
}

// ensureSuccessor names another successor for a shard of a stopping node if the successor is missing, not alive or equal to
// refused, the one that did not accept the last handoff. Otherwise the shard would have no owner after this process has
// ended. Naming a successor raises the epoch, which invalidates the handoff to the former successor.
func (n *Node) ensureSuccessor(ctx context.Context, s *shard, refused string) {
	members := n.cfg.Members.Entries()
	next := ""
	begun := s.beginWrite(func() bool {
		current := s.record.Successor
		if !s.owned || current != "" && current != refused && slices.Contains(members, current) {
			return false
		}
		next = n.chooseSuccessor(s.number, members, current)
		return next != "" && next != current
	})
	if begun {
		n.nameSuccessor(ctx, s, next)
	}
}

// successor returns the successor of the known record.
func (s *shard) successor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.Successor
}

// tryHandoff attempts once to hand off a shard and reports whether this node no longer owns it.
func (n *Node) tryHandoff(ctx context.Context, s *shard) bool {
	request, successor := n.prepareHandoff(s)
	if request == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.owned && !s.writing
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(wirev1.HandoffReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Handoff{Handoff: request}}
	err := n.cfg.Network.Call(callCtx, successor, open, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	switch {
	case err != nil:
		// The successor may become the owner with this state at any time, so this node grants nothing more in this epoch.
		s.handoffUncertain = true
		n.cfg.Logger.Warn("handoff request failed, outcome unknown", zap.Uint32("shard", s.number), zap.Error(err))
		return false
	case reply.GetAccepted():
		s.clearOwnership()
		n.forceRefresh()
		return true
	default:
		// The successor discarded the state in this request, but an earlier one that failed may still take effect.
		s.suspended = s.handoffUncertain
		return false
	}
}

// prepareHandoff suspends the grants of a shard and returns the request to its successor. The request is nil if the shard
// cannot be handed off now.
func (n *Node) prepareHandoff(s *shard) (request *wirev1.HandoffRequest, successor string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.owned || s.writing || s.record.Successor == "" || now.Before(s.grantsFrom) {
		return nil, ""
	}
	if !s.suspended {
		s.suspended = true
		s.handoffUncertain = false
	}
	s.writing = true
	// A negative UnseenRefillMs means that accounts without a bucket start with a full one.
	request = &wirev1.HandoffRequest{Shard: s.number, Epoch: s.record.Epoch, UnseenRefillMs: -1}
	if !s.startFull {
		request.UnseenRefillMs = now.Sub(s.emptyAt).Milliseconds()
	}
	for account, bucket := range s.buckets {
		request.Buckets = append(request.Buckets, bucket.state(now, account))
	}
	return request, s.record.Successor
}

// forceRefresh starts a read of the records in the background, even if the last one was less than minRefreshInterval ago.
func (n *Node) forceRefresh() {
	n.stateMu.Lock()
	n.refreshStartedAt = time.Time{}
	n.stateMu.Unlock()
	n.requestRefresh()
}

// HandleHandoff makes this node the owner of a shard with the buckets that the previous owner sent. If the reply is not
// accepted, the state was discarded and will not be used.
func (n *Node) HandleHandoff(ctx context.Context, request *wirev1.HandoffRequest) *wirev1.HandoffReply {
	if request.GetShard() >= uint32(len(n.shards)) || n.isLeaving() {
		return &wirev1.HandoffReply{}
	}
	if n.newerEpoch([]*wirev1.ShardEpoch{{Shard: request.GetShard(), Epoch: request.GetEpoch()}}) {
		if err := n.refresh(ctx); err != nil {
			return &wirev1.HandoffReply{}
		}
	}
	s := n.shards[request.GetShard()]
	receivedAt := time.Now()
	begun := s.beginWrite(func() bool {
		return s.record.Epoch == request.GetEpoch() && s.isSuccessor(n.cfg.Self)
	})
	if !begun {
		// The request may repeat one that was accepted and whose reply was lost.
		s.mu.Lock()
		defer s.mu.Unlock()
		return &wirev1.HandoffReply{Accepted: s.handedOffEpoch == request.GetEpoch() && request.GetEpoch() != 0}
	}
	s.mu.Lock()
	owner := s.record.Owner
	s.mu.Unlock()
	successor := n.chooseSuccessor(s.number, n.cfg.Members.Entries(), owner)
	// The write does not end with the request: its outcome must be determined even if the old owner has stopped waiting.
	accepted := n.writeRecord(n.lifetime, s, successor, func() { n.installBuckets(s, request, receivedAt) })
	if accepted {
		n.renewNow()
	}
	return &wirev1.HandoffReply{Accepted: accepted}
}

// installBuckets makes this node the owner of s with the buckets of a handoff. It is called with s.mu held.
func (n *Node) installBuckets(s *shard, request *wirev1.HandoffRequest, receivedAt time.Time) {
	s.clearOwnership()
	s.owned = true
	s.grantsFrom = receivedAt
	s.handedOffEpoch = request.GetEpoch()
	s.startFull = request.GetUnseenRefillMs() < 0
	s.emptyAt = receivedAt.Add(-time.Duration(request.GetUnseenRefillMs()) * time.Millisecond)
	s.buckets = make(map[string]*Bucket)
	for _, state := range request.GetBuckets() {
		if limits, ok := n.cfg.Limits.Limits(state.GetAccount()); ok {
			s.buckets[state.GetAccount()] = restoreBucket(limits, receivedAt, state)
		}
	}
}

// rebalance hands one shard to the highest-ranked member, at most one per RebalanceInterval.
func (n *Node) rebalance(ctx context.Context, members []string) {
	n.stateMu.Lock()
	due := !n.leaving && time.Since(n.rebalancedAt) >= RebalanceInterval
	if due {
		n.rebalancedAt = time.Now()
	}
	n.stateMu.Unlock()
	if !due || len(members) < 2 {
		return
	}
	for _, s := range n.shards {
		best := ranked(members, s.number)[0]
		s.mu.Lock()
		misplaced := s.owned && !s.suspended && !s.writing && best != n.cfg.Self && time.Now().After(s.grantsFrom)
		s.mu.Unlock()
		if misplaced {
			go n.moveShard(ctx, s, best)
			return
		}
	}
}

// moveShard hands a shard to another member. If that fails, this node raises the epoch, so that a delayed handoff request
// is refused, and resumes granting.
func (n *Node) moveShard(ctx context.Context, s *shard, to string) {
	s.mu.Lock()
	isSuccessor := s.record.Successor == to
	s.mu.Unlock()
	if !isSuccessor {
		if !s.beginWrite(func() bool { return s.owned && !s.suspended }) || !n.nameSuccessor(ctx, s, to) {
			return
		}
	}
	handoffCtx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	for handoffCtx.Err() == nil {
		if n.tryHandoff(handoffCtx, s) {
			return
		}
		wait.For(handoffCtx, retryDelay)
	}
	for ctx.Err() == nil && !n.resumeGrants(ctx, s) {
		wait.For(ctx, maxRetryDelay)
	}
}

// resumeGrants ends the suspension of a shard's grants. It returns false if it must be retried.
func (n *Node) resumeGrants(ctx context.Context, s *shard) bool {
	successor := ""
	begun := s.beginWrite(func() bool {
		successor = s.record.Successor
		return s.owned && s.suspended && !n.isLeaving()
	})
	if !begun {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.owned || !s.suspended
	}
	return n.writeRecord(ctx, s, successor, func() {
		s.suspended = false
		s.handoffUncertain = false
	})
}
