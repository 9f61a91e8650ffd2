package ledger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	settleRetryInterval = 500 * time.Millisecond
	// maxSettlements is the maximum length of the settlement queue. Beyond it the oldest settlements are dropped, so the
	// unused tokens of their charges are not refunded.
	maxSettlements = 1 << 16
)

// settlementQueue holds the settlements that no owner has accepted yet.
type settlementQueue struct {
	wake chan struct{}

	mu       sync.Mutex // guards the fields below
	queue    []settlement
	inFlight int
}

type settlement struct {
	message  *wirev1.Settlement
	queuedAt time.Time
	attempt  int
}

func (q *settlementQueue) init() { q.wake = make(chan struct{}, 1) }

// Settle queues the settlement of a charge, which refunds its unused tokens. It does not wait for the owner.
func (n *Node) Settle(id *wirev1.CallID, account string, usedTokens uint64) {
	message := &wirev1.Settlement{Id: id, Account: account, UsedTokens: usedTokens}
	n.settlements.add(settlement{message: message, queuedAt: time.Now()})
	select {
	case n.settlements.wake <- struct{}{}:
	default:
	}
}

// Flush waits until owners have accepted all settlements or ctx ends.
func (n *Node) Flush(ctx context.Context) error {
	for n.settlements.pending() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait.For(ctx, retryDelay)
	}
	return nil
}

func (q *settlementQueue) add(items ...settlement) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, items...)
	if excess := len(q.queue) - maxSettlements; excess > 0 {
		q.queue = q.queue[excess:]
	}
}

func (q *settlementQueue) takeAll() []settlement {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.queue
	q.queue = nil
	q.inFlight = len(items)
	return items
}

func (q *settlementQueue) pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue) + q.inFlight
}

// settleLoop sends queued settlements in batches. Those that are queued while messages are in flight go into the next
// batch.
func (n *Node) settleLoop(ctx context.Context) {
	retry := time.NewTicker(settleRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-retry.C:
		case <-n.settlements.wake:
		}
		failed := n.sendSettlements(ctx, n.settlements.takeAll())
		n.settlements.add(failed...)
		n.settlements.mu.Lock()
		n.settlements.inFlight = 0
		n.settlements.mu.Unlock()
		if len(failed) > 0 {
			n.requestRefresh()
			wait.For(ctx, settleRetryInterval)
		}
	}
}

// sendSettlements sends settlements to the owners of their shards and returns those that must be retried.
func (n *Node) sendSettlements(ctx context.Context, items []settlement) []settlement {
	var (
		group  sync.WaitGroup
		mu     sync.Mutex // guards failed
		failed []settlement
	)
	for process, list := range n.groupByProcess(items) {
		group.Go(func() {
			unsent := n.sendTo(ctx, process, list)
			mu.Lock()
			failed = append(failed, unsent...)
			mu.Unlock()
		})
	}
	group.Wait()
	return failed
}

// groupByProcess groups settlements by the process to which they are sent. It drops those older than ChargeExpiry, because
// the owner has already settled their charges as fully used.
func (n *Node) groupByProcess(items []settlement) map[string][]settlement {
	groups := make(map[string][]settlement)
	for _, item := range items {
		if time.Since(item.queuedAt) >= ChargeExpiry {
			continue
		}
		process := n.targetProcess(n.shardOf(item.message.GetAccount()), item.attempt)
		item.attempt++
		groups[process] = append(groups[process], item)
	}
	return groups
}

// sendTo sends settlements to one process in batches and returns those that it did not accept.
func (n *Node) sendTo(ctx context.Context, process string, items []settlement) []settlement {
	for len(items) > 0 {
		count := min(len(items), maxBatch)
		request := &wirev1.SettleRequest{Settlements: make([]*wirev1.Settlement, count)}
		for i := range count {
			request.Settlements[i] = items[i].message
		}
		if err := n.callSettle(ctx, process, request); err != nil {
			n.cfg.Logger.Debug("sending settlements failed", zap.String("owner", process), zap.Error(err))
			return items
		}
		items = items[count:]
	}
	return nil
}

func (n *Node) callSettle(ctx context.Context, process string, request *wirev1.SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if process == n.cfg.Self {
		_, err := n.HandleSettle(ctx, request)
		return err
	}
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Settle{Settle: request}}
	return n.cfg.Network.Call(ctx, process, open, new(wirev1.SettleReply))
}
