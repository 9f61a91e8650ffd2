package ledger

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// ErrNotOwner is returned for settlements of shards that this node does not own.
var ErrNotOwner = errors.New("not the owner of the shard")

// HandleCharge answers another node's charges.
func (n *Node) HandleCharge(_ context.Context, request *wirev1.ChargeRequest) *wirev1.ChargeReply {
	reply := &wirev1.ChargeReply{Results: make([]*wirev1.ChargeResult, len(request.GetCharges()))}
	for i, charge := range request.GetCharges() {
		reply.Results[i] = n.charge(charge)
	}
	return reply
}

// charge answers one charge. The caller may be paused before it passes the answer on: the requester uses the answer only
// with a nonce that it held before it asked.
func (n *Node) charge(charge *wirev1.Charge) *wirev1.ChargeResult {
	limits, known := n.cfg.Limits.Limits(charge.GetAccount())
	s := n.shardOf(charge.GetAccount())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	result := &wirev1.ChargeResult{Epoch: s.record.Epoch}
	switch {
	case !s.held:
		result.Reason = wirev1.Reason_REASON_NOT_OWNER
		return result
	case s.stopped || now.Before(s.grantsAt) || !s.confirmed(now):
		result.Reason = wirev1.Reason_REASON_LEDGER_UNAVAILABLE
		result.RetryAfterMs = milliseconds(s.grantsAt.Sub(now))
		return result
	case !known:
		result.Reason = wirev1.Reason_REASON_UNKNOWN_ACCOUNT
		return result
	}
	bucket := s.bucket(charge.GetAccount(), limits, now)
	decision := bucket.Charge(now, charge.GetId(), charge.GetTokens(), charge.GetReplaces())
	// This process may have been paused since now was read, and another node may have become the owner meanwhile.
	if !s.confirmed(time.Now()) {
		if decision.Granted && !decision.Repeated {
			bucket.undo(charge.GetId())
		}
		result.Reason = wirev1.Reason_REASON_LEDGER_UNAVAILABLE
		return result
	}
	result.Granted = decision.Granted
	result.Reason = decision.Reason
	result.RetryAfterMs = milliseconds(decision.RetryAfter)
	return result
}

// milliseconds rounds up.
func milliseconds(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

// bucket returns the bucket of an account with its present limits. It is called with s.mu held.
func (s *shard) bucket(account string, limits Limits, now time.Time) *Bucket {
	b, ok := s.buckets[account]
	switch {
	case ok:
		b.SetLimits(now, limits)
	case s.full:
		b = NewBucket(limits, now, true)
		s.buckets[account] = b
	default:
		b = NewBucket(limits, s.emptyAt, false)
		s.buckets[account] = b
	}
	return b
}

// HandleSettle takes another node's settlements. After ErrNotOwner the whole request is to be repeated with the owner;
// settlements that were taken are not taken twice.
func (n *Node) HandleSettle(_ context.Context, request *wirev1.SettleRequest) (*wirev1.SettleReply, error) {
	owned := true
	for _, settlement := range request.GetSettlements() {
		owned = n.settle(settlement) && owned
	}
	if !owned {
		return nil, ErrNotOwner
	}
	return &wirev1.SettleReply{}, nil
}

// settle reports whether this node took the settlement: it owns the shard and has not sent its buckets to a successor.
// A settlement of an account without limits is taken and has no effect.
func (n *Node) settle(settlement *wirev1.Settlement) bool {
	limits, known := n.cfg.Limits.Limits(settlement.GetAccount())
	s := n.shardOf(settlement.GetAccount())
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || s.stopped {
		return false
	}
	if known {
		now := time.Now()
		s.bucket(settlement.GetAccount(), limits, now).Settle(now, settlement.GetId(), settlement.GetUsedTokens())
	}
	return true
}
