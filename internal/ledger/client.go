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

// errShortReply means that a reply had fewer results than the request had charges.
var errShortReply = errors.New("reply with too few results")

// Charge takes tokens of an account for a call, and returns a *verdict.Refusal if they are not granted. A charge that is
// given in replaces is refunded in the same step, whether or not the new one is granted.
//
// While the owner changes or does not answer, Charge tries again until ctx ends, at most for 10 s. The caller must use
// the grant only with a nonce that it held before it called Charge. After a refusal with REASON_LEDGER_UNAVAILABLE a new
// try needs a new ID.
func (n *Node) Charge(
	ctx context.Context, id *wirev1.CallID, account string, tokens uint64, replaces *wirev1.CallID,
) error {
	if _, known := n.cfg.Limits.Limits(account); !known {
		return verdict.Refuse(wirev1.Reason_REASON_UNKNOWN_ACCOUNT, "account %s is not configured", account)
	}
	ctx, cancel := context.WithTimeout(ctx, maxChargeTime)
	defer cancel()
	charge := &wirev1.Charge{Id: id, Account: account, Tokens: tokens, Replaces: replaces}
	s := n.shardOf(account)
	delay := chargeDelayMin
	for attempt := 0; ; attempt++ {
		result, err := n.ask(ctx, n.target(s, attempt), charge)
		if err == nil {
			final, refusal := n.conclude(charge, result)
			if final {
				return refusal
			}
		}
		if ctx.Err() != nil {
			break
		}
		if err != nil || result.GetReason() == wirev1.Reason_REASON_NOT_OWNER {
			n.refreshLater()
		}
		wait.For(ctx, delay)
		delay = min(2*delay, chargeDelayMax)
	}
	// An owner may still grant the charge or have granted it without an answer.
	n.Settle(id, account, 0)
	refusal := verdict.Refuse(wirev1.Reason_REASON_LEDGER_UNAVAILABLE, "no answer from the owner of the account's rate")
	refusal.RetryAfter = time.Second
	return refusal
}

// target returns the process to ask for a shard. Without a record it tries the members in order of their rank, so that a
// node that starts while the store is down finds the owners.
func (n *Node) target(s *shard, attempt int) string {
	s.mu.Lock()
	owner, known := s.record.Owner, s.revision != 0
	s.mu.Unlock()
	if known {
		return owner
	}
	n.refreshLater()
	members := ranked(n.cfg.Members.Entries(), s.number)
	if len(members) == 0 {
		return n.cfg.Self
	}
	return members[attempt%len(members)]
}

// conclude reports whether a result is final and returns its refusal; nil means granted.
func (n *Node) conclude(charge *wirev1.Charge, result *wirev1.ChargeResult) (final bool, refusal error) {
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
		return true, verdict.Refuse(result.GetReason(), "the charge was settled before it was made")
	case wirev1.Reason_REASON_UNKNOWN_ACCOUNT:
		// The owner's configuration may be a few seconds older than this node's.
		_, known := n.cfg.Limits.Limits(account)
		return !known, verdict.Refuse(result.GetReason(), "account %s is not configured", account)
	default:
		return false, nil
	}
}

// ask sends a charge to a process, together with others that wait for the same process.
func (n *Node) ask(ctx context.Context, process string, charge *wirev1.Charge) (*wirev1.ChargeResult, error) {
	if process == n.cfg.Self {
		return n.charge(charge), nil
	}
	p := &pendingCharge{charge: charge, done: make(chan struct{})}
	b := n.batcher(process)
	b.mu.Lock()
	b.queue = append(b.queue, p)
	start := !b.busy
	b.busy = true
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

// batcher collects the charges for one process while a message to it is in flight.
type batcher struct {
	mu    sync.Mutex // guards the fields below
	queue []*pendingCharge
	busy  bool
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

// next takes the charges for the next message; without any, the batcher is no longer busy.
func (b *batcher) next() []*pendingCharge {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := min(len(b.queue), maxBatch)
	batch := b.queue[:count:count]
	b.queue = b.queue[count:]
	b.busy = count > 0
	return batch
}

func (n *Node) sendCharges(process string, b *batcher) {
	for batch := b.next(); len(batch) > 0; batch = b.next() {
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
		return nil, errShortReply
	}
	return reply.GetResults(), nil
}
