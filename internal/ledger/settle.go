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
	settleRetry = 500 * time.Millisecond
	// maxSettlements bounds the settlements that wait for an owner; the oldest are dropped, which leaves their charges spent.
	maxSettlements = 1 << 16
)

// settler holds the settlements that no owner has taken yet.
type settler struct {
	wake chan struct{}

	mu      sync.Mutex // guards the fields below
	queue   []settlement
	sending int
}

type settlement struct {
	wire    *wirev1.Settlement
	since   time.Time
	attempt int
}

func (t *settler) init() { t.wake = make(chan struct{}, 1) }

// Settle returns the unused part of a charge in the background.
func (n *Node) Settle(id *wirev1.CallID, account string, usedTokens uint64) {
	wire := &wirev1.Settlement{Id: id, Account: account, UsedTokens: usedTokens}
	n.settler.put(settlement{wire: wire, since: time.Now()})
	select {
	case n.settler.wake <- struct{}{}:
	default:
	}
}

// Flush waits until all settlements were taken or ctx ends.
func (n *Node) Flush(ctx context.Context) error {
	for n.settler.waiting() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait.For(ctx, retryDelay)
	}
	return nil
}

func (t *settler) put(items ...settlement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue = append(t.queue, items...)
	if excess := len(t.queue) - maxSettlements; excess > 0 {
		t.queue = t.queue[excess:]
	}
}

func (t *settler) take() []settlement {
	t.mu.Lock()
	defer t.mu.Unlock()
	items := t.queue
	t.queue = nil
	t.sending = len(items)
	return items
}

func (t *settler) waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queue) + t.sending
}

// settleLoop sends settlements. Those that arrive while messages are in flight go into the next ones.
func (n *Node) settleLoop(ctx context.Context) {
	retry := time.NewTicker(settleRetry)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-retry.C:
		case <-n.settler.wake:
		}
		failed := n.sendSettlements(ctx, n.settler.take())
		n.settler.put(failed...)
		n.settler.mu.Lock()
		n.settler.sending = 0
		n.settler.mu.Unlock()
		if len(failed) > 0 {
			n.refreshLater()
			wait.For(ctx, settleRetry)
		}
	}
}

// sendSettlements returns the settlements to try again.
func (n *Node) sendSettlements(ctx context.Context, items []settlement) []settlement {
	var (
		wait   sync.WaitGroup
		mu     sync.Mutex // guards failed
		failed []settlement
	)
	for process, list := range n.byTarget(items) {
		wait.Go(func() {
			rest := n.sendTo(ctx, process, list)
			mu.Lock()
			failed = append(failed, rest...)
			mu.Unlock()
		})
	}
	wait.Wait()
	return failed
}

// byTarget groups settlements by the process to send them to, without those whose charge the owner has settled by age.
func (n *Node) byTarget(items []settlement) map[string][]settlement {
	groups := make(map[string][]settlement)
	for _, item := range items {
		if time.Since(item.since) >= ChargeAge {
			continue
		}
		process := n.target(n.shardOf(item.wire.GetAccount()), item.attempt)
		item.attempt++
		groups[process] = append(groups[process], item)
	}
	return groups
}

func (n *Node) sendTo(ctx context.Context, process string, items []settlement) []settlement {
	for len(items) > 0 {
		count := min(len(items), maxBatch)
		request := &wirev1.SettleRequest{Settlements: make([]*wirev1.Settlement, count)}
		for i := range count {
			request.Settlements[i] = items[i].wire
		}
		if err := n.callSettle(ctx, process, request); err != nil {
			n.cfg.Logger.Debug("settlements not taken", zap.String("owner", process), zap.Error(err))
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
