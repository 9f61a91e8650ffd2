package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// maxBatch is the largest number of charges or settlements in one message.
const maxBatch = 256

// errResultCount means that the numbers of results in a reply and of charges in the request differ.
var errResultCount = errors.New("charge reply has a different number of results than the request has charges")

// Charge takes tokens of an account for a call, and returns a *verdict.Refusal if they are not granted. If replaces is not
// nil, that charge is refunded in the same step, whether or not the new one is granted.
//
// While the owner changes or does not answer, Charge retries until ctx ends or chargeTimeout has passed. The caller must
// use the grant only with a nonce that it received before it called Charge or less than MaxChargeAge afterwards. After a
// refusal with REASON_LEDGER_UNAVAILABLE, another attempt needs a new ID.
func (n *Node) Charge(
	ctx context.Context, id *wirev1.CallID, account string, tokens uint64, replaces *wirev1.CallID,
) error {
	if _, known := n.cfg.Limits.Limits(account); !known {
		return verdict.Refuse(wirev1.Reason_REASON_UNKNOWN_ACCOUNT, "account %s is not configured", account)
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	charge := &wirev1.Charge{Id: id, Account: account, Tokens: tokens, Replaces: replaces}
	s := n.shardOf(account)
	delay := minChargeRetryDelay
	for attempt := 0; ; attempt++ {
		result, err := n.requestCharge(ctx, n.targetProcess(s, attempt), charge)
		if err == nil {
			final, refusal := n.interpretResult(charge, result)
			if final {
				return refusal
			}
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil || result.GetReason() == wirev1.Reason_REASON_NOT_OWNER {
			n.requestRefresh()
		}
		wait.For(ctx, delay)
		delay = min(2*delay, maxChargeRetryDelay)
	}
	// An owner may have granted the charge without its answer arriving here, or may still grant it.
	n.Settle(id, account, 0)
	refusal := verdict.Refuse(wirev1.Reason_REASON_LEDGER_UNAVAILABLE,
		"no answer from the process that owns the account's token bucket")
	refusal.RetryAfter = time.Second
	return refusal
}

// targetProcess returns the process to which messages for a shard are sent: the owner according to the shard's record.
// Without a record it tries the members in the order of their rank, so that a node that starts while the store is down
// can find the owners.
func (n *Node) targetProcess(s *shard, attempt int) string {
	s.mu.Lock()
	owner, known := s.record.Owner, s.revision != 0
	s.mu.Unlock()
	if known {
		return owner
	}
	n.requestRefresh()
	members := ranked(n.cfg.Members.Entries(), s.number)
	if len(members) == 0 {
		return n.cfg.Self
	}
	return members[attempt%len(members)]
}

// interpretResult reports whether a result is final. The refusal of a final result is nil if the charge was granted.
func (n *Node) interpretResult(charge *wirev1.Charge, result *wirev1.ChargeResult) (final bool, refusal error) {
	if result.GetGranted() {
		return true, nil
	}
	account := charge.GetAccount()
	switch result.GetReason() {
	case wirev1.Reason_REASON_RATE_EXCEEDED:
		r := verdict.Refuse(result.GetReason(), "account %s is over its rate", account)
		r.RetryAfter = time.Duration(result.GetRetryAfterMs()) * time.Millisecond
		return true, r
	case wirev1.Reason_REASON_REQUEST_TOO_LARGE_FOR_BURST:
		return true, verdict.Refuse(result.GetReason(), "%d tokens are more than the burst of account %s allows",
			charge.GetTokens(), account)
	case wirev1.Reason_REASON_BARRED:
		return true, verdict.Refuse(result.GetReason(), "the charge has already been settled")
	case wirev1.Reason_REASON_UNKNOWN_ACCOUNT:
		// The owner's configuration may be a few seconds older than this node's.
		_, known := n.cfg.Limits.Limits(account)
		return !known, verdict.Refuse(result.GetReason(), "account %s is not configured", account)
	default:
		return false, nil
	}
}

// requestCharge sends a charge to a process, batched with other charges that wait for the same process.
func (n *Node) requestCharge(ctx context.Context, process string, charge *wirev1.Charge) (*wirev1.ChargeResult, error) {
	if process == n.cfg.Self {
		return n.applyCharge(charge), nil
	}
	p := &pendingCharge{charge: charge, done: make(chan struct{})}
	b := n.batcher(process)
	b.mu.Lock()
	b.queue = append(b.queue, p)
	start := !b.sending
	b.sending = true
	b.mu.Unlock()
	if start {
		go n.sendCharges(process, b)
	}
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// batcher queues the charges for one process while a message to it is in flight.
type batcher struct {
	mu      sync.Mutex // guards the fields below
	queue   []*pendingCharge
	sending bool
}

type pendingCharge struct {
	charge *wirev1.Charge
	done   chan struct{} // closed when result or err is set
	result *wirev1.ChargeResult
	err    error
}

func (n *Node) batcher(process string) *batcher {
	n.batchMu.Lock()
	defer n.batchMu.Unlock()
	b, ok := n.batchers[process]
	if !ok {
		b = &batcher{}
		n.batchers[process] = b
	}
	return b
}

// nextBatch removes the charges for the next message from the queue. If there are none, it clears sending.
func (b *batcher) nextBatch() []*pendingCharge {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := min(len(b.queue), maxBatch)
	batch := b.queue[:count:count]
	b.queue = b.queue[count:]
	b.sending = count > 0
	return batch
}

func (n *Node) sendCharges(process string, b *batcher) {
	for batch := b.nextBatch(); len(batch) > 0; batch = b.nextBatch() {
		request := &wirev1.ChargeRequest{Charges: make([]*wirev1.Charge, len(batch))}
		for i, p := range batch {
			request.Charges[i] = p.charge
		}
		results, err := n.callCharge(process, request)
		for i, p := range batch {
			p.err = err
			if err == nil {
				p.result = results[i]
			}
			close(p.done)
		}
	}
}

func (n *Node) callCharge(process string, request *wirev1.ChargeRequest) ([]*wirev1.ChargeResult, error) {
	ctx, cancel := context.WithTimeout(n.lifetime, callTimeout)
	defer cancel()
	reply := new(wirev1.ChargeReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Charge{Charge: request}}
	if err := n.cfg.Network.Call(ctx, process, open, reply); err != nil {
		return nil, err
	}
	if len(reply.GetResults()) != len(request.GetCharges()) {
		return nil, errResultCount
	}
	return reply.GetResults(), nil
}
