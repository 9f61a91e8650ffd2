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

// handoffTry is how long a handoff to a better placed member is tried before the owner goes on.
const handoffTry = 5 * time.Second

// ErrNotHandedOff means that shards of a stopping node remain for their successors to take over.
var ErrNotHandedOff = errors.New("shards not handed off")

// Handoff passes all shards of this node to their successors with the exact state of the buckets. It is called once, at
// a planned stop; Run must still be running. Shards that are not handed off when ctx ends stay stopped if the successor
// may have them.
func (n *Node) Handoff(ctx context.Context) error {
	n.stateMu.Lock()
	n.leaving = true
	n.stateMu.Unlock()
	refused := make(map[*shard]string)
	for ctx.Err() == nil {
		left := 0
		for _, s := range n.shards {
			n.ensureSuccessor(ctx, s, refused[s])
			if !n.tryHandoff(ctx, s) {
				left++
				refused[s] = s.successor()
			}
		}
		if left == 0 {
			return nil
		}
		wait.For(ctx, retryDelay)
	}
	return ErrNotHandedOff
}

// ensureSuccessor names another successor for a shard of a stopping node whose successor is missing, not alive or has
// just not taken the shard. A shard that keeps such a successor has no owner once this process has ended. The higher epoch
// makes the former successor's handoff invalid.
func (n *Node) ensureSuccessor(ctx context.Context, s *shard, refused string) {
	members := n.cfg.Members.Entries()
	next := ""
	begun := s.beginWrite(func() bool {
		current := s.record.Successor
		if !s.held || current != "" && current != refused && slices.Contains(members, current) {
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

// tryHandoff tries once to hand off a shard and reports whether this node no longer has it.
func (n *Node) tryHandoff(ctx context.Context, s *shard) bool {
	request, successor := n.prepareHandoff(s)
	if request == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.held && !s.writing
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
		// The successor may become the owner with this state at any time, so nothing more is granted at this epoch.
		s.doubtful = true
		n.cfg.Logger.Warn("handoff not answered", zap.Uint32("shard", s.number), zap.Error(err))
		return false
	case reply.GetAccepted():
		s.drop()
		n.refreshSoon()
		return true
	default:
		s.stopped = s.doubtful
		return false
	}
}

// prepareHandoff stops a shard and returns the message for its successor; nil if there is nothing to hand off.
func (n *Node) prepareHandoff(s *shard) (request *wirev1.HandoffRequest, successor string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.held || s.writing || s.record.Successor == "" || now.Before(s.grantsAt) {
		return nil, ""
	}
	if !s.stopped {
		s.stopped = true
		s.doubtful = false
	}
	s.writing = true
	request = &wirev1.HandoffRequest{Shard: s.number, Epoch: s.record.Epoch, UnseenRefillMs: -1}
	if !s.full {
		request.UnseenRefillMs = now.Sub(s.emptyAt).Milliseconds()
	}
	for account, bucket := range s.buckets {
		request.Buckets = append(request.Buckets, bucket.state(now, account))
	}
	return request, s.record.Successor
}

// refreshSoon reads the records in the background.
func (n *Node) refreshSoon() {
	n.stateMu.Lock()
	n.refreshAt = time.Time{}
	n.stateMu.Unlock()
	n.refreshLater()
}

// HandleHandoff makes this node the owner of a shard with the buckets that the owner sent. Not accepted means that the
// state was discarded and will not be used.
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
	arrived := time.Now()
	begun := s.beginWrite(func() bool {
		return s.record.Epoch == request.GetEpoch() && s.isSuccessor(n.cfg.Self)
	})
	if !begun {
		s.mu.Lock()
		defer s.mu.Unlock()
		return &wirev1.HandoffReply{Accepted: s.takenEpoch == request.GetEpoch() && request.GetEpoch() != 0}
	}
	s.mu.Lock()
	owner := s.record.Owner
	s.mu.Unlock()
	successor := n.chooseSuccessor(s.number, n.cfg.Members.Entries(), owner)
	// The write is not bound to the request: its outcome must become certain even if the old owner has stopped waiting.
	accepted := n.write(n.lifetime, s, successor, func() { n.takeState(s, request, arrived) })
	if accepted {
		n.renewNow()
	}
	return &wirev1.HandoffReply{Accepted: accepted}
}

// takeState installs the buckets of a handoff. It is called with s.mu held.
func (n *Node) takeState(s *shard, request *wirev1.HandoffRequest, arrived time.Time) {
	s.drop()
	s.held = true
	s.grantsAt = arrived
	s.takenEpoch = request.GetEpoch()
	s.full = request.GetUnseenRefillMs() < 0
	s.emptyAt = arrived.Add(-time.Duration(request.GetUnseenRefillMs()) * time.Millisecond)
	s.buckets = make(map[string]*Bucket)
	for _, state := range request.GetBuckets() {
		if limits, ok := n.cfg.Limits.Limits(state.GetAccount()); ok {
			s.buckets[state.GetAccount()] = restoreBucket(limits, arrived, state)
		}
	}
}

// rebalance hands one shard to a better placed member, at most one per RebalanceInterval.
func (n *Node) rebalance(ctx context.Context, members []string) {
	n.stateMu.Lock()
	due := !n.leaving && time.Since(n.rebalanced) >= RebalanceInterval
	if due {
		n.rebalanced = time.Now()
	}
	n.stateMu.Unlock()
	if !due || len(members) < 2 {
		return
	}
	for _, s := range n.shards {
		best := ranked(members, s.number)[0]
		s.mu.Lock()
		misplaced := s.held && !s.stopped && !s.writing && best != n.cfg.Self && time.Now().After(s.grantsAt)
		s.mu.Unlock()
		if misplaced {
			go n.move(ctx, s, best)
			return
		}
	}
}

// move hands a shard to another member. If that fails, the owner raises the epoch, so that a handoff still on its way
// is refused, and goes on.
func (n *Node) move(ctx context.Context, s *shard, to string) {
	s.mu.Lock()
	named := s.record.Successor == to
	s.mu.Unlock()
	if !named {
		if !s.beginWrite(func() bool { return s.held && !s.stopped }) || !n.nameSuccessor(ctx, s, to) {
			return
		}
	}
	tryCtx, cancel := context.WithTimeout(ctx, handoffTry)
	defer cancel()
	for tryCtx.Err() == nil {
		if n.tryHandoff(tryCtx, s) {
			return
		}
		wait.For(tryCtx, retryDelay)
	}
	for ctx.Err() == nil && !n.resume(ctx, s) {
		wait.For(ctx, maxRetryDelay)
	}
}

// resume lets a stopped shard grant again and reports whether nothing is left to do.
func (n *Node) resume(ctx context.Context, s *shard) bool {
	successor := ""
	begun := s.beginWrite(func() bool {
		successor = s.record.Successor
		return s.held && s.stopped && !n.isLeaving()
	})
	if !begun {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.held || !s.stopped
	}
	return n.write(ctx, s, successor, func() {
		s.stopped = false
		s.doubtful = false
	})
}
