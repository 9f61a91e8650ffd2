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

// HandleCharge handles the charges of another node.
func (n *Node) HandleCharge(_ context.Context, request *wirev1.ChargeRequest) *wirev1.ChargeReply {
	reply := &wirev1.ChargeReply{Results: make([]*wirev1.ChargeResult, len(request.GetCharges()))}
	for i, charge := range request.GetCharges() {
		reply.Results[i] = n.applyCharge(charge)
	}
	return reply
}

// applyCharge charges a bucket of this node. A grant is safe to use even if this process is paused before returning it,
// because the requester starts work only within MaxStartDelay of the time at which it called Charge.
func (n *Node) applyCharge(charge *wirev1.Charge) *wirev1.ChargeResult {
	limits, known := n.cfg.Limits.Limits(charge.GetAccount())
	s := n.shardOf(charge.GetAccount())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	result := &wirev1.ChargeResult{Epoch: s.record.Epoch}
	switch {
	case !s.owned:
		result.Reason = wirev1.Reason_REASON_NOT_OWNER
		return result
	case s.suspended || now.Before(s.grantsFrom) || !s.confirmed(now):
		result.Reason = wirev1.Reason_REASON_LEDGER_UNAVAILABLE
		result.RetryAfterMs = ceilMilliseconds(s.grantsFrom.Sub(now))
		return result
	case !known:
		result.Reason = wirev1.Reason_REASON_UNKNOWN_ACCOUNT
		return result
	}
	bucket := s.bucket(charge.GetAccount(), limits, now)
	decision := bucket.Charge(now, charge.GetId(), charge.GetTokens(), charge.GetReplaces())
	// This process may have been paused since now was read, and another node may have become the owner in the meantime.
	if !s.confirmed(time.Now()) {
		if decision.Granted && !decision.Repeated {
			bucket.undo(charge.GetId())
		}
		result.Reason = wirev1.Reason_REASON_LEDGER_UNAVAILABLE
		return result
	}
	result.Granted = decision.Granted
	result.Reason = decision.Reason
	result.RetryAfterMs = ceilMilliseconds(decision.RetryAfter)
	return result
}

// ceilMilliseconds returns d in milliseconds, rounded up. A negative d counts as 0.
func ceilMilliseconds(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}

// bucket returns the bucket of an account with its current limits, and creates it if needed. It is called with s.mu held.
func (s *shard) bucket(account string, limits Limits, now time.Time) *Bucket {
	b, ok := s.buckets[account]
	switch {
	case ok:
		b.SetLimits(now, limits)
	case s.startFull:
		b = NewBucket(limits, now, true)
		s.buckets[account] = b
	default:
		b = NewBucket(limits, s.emptyAt, false)
		s.buckets[account] = b
	}
	return b
}

// HandleSettle handles the settlements of another node. After ErrNotOwner the sender has to send the whole request to the
// owner; settlements that were already applied have no effect the second time.
func (n *Node) HandleSettle(_ context.Context, request *wirev1.SettleRequest) (*wirev1.SettleReply, error) {
	allAccepted := true
	for _, settlement := range request.GetSettlements() {
		allAccepted = n.applySettlement(settlement) && allAccepted
	}
	if !allAccepted {
		return nil, ErrNotOwner
	}
	return &wirev1.SettleReply{}, nil
}

// applySettlement applies a settlement if this node owns the shard and has not sent its buckets to the successor, and
// reports whether it did. A settlement for an account that is not configured is accepted and has no effect.
func (n *Node) applySettlement(settlement *wirev1.Settlement) bool {
	limits, known := n.cfg.Limits.Limits(settlement.GetAccount())
	s := n.shardOf(settlement.GetAccount())
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owned || s.suspended {
		return false
	}
	if known {
		now := time.Now()
		s.bucket(settlement.GetAccount(), limits, now).Settle(now, settlement.GetId(), settlement.GetUsedTokens())
	}
	return true
}
