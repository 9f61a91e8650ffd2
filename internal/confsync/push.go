package confsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// pushFanout is the number of peers to which a change is pushed. The other peers are sent its revision only and pull
	// it if they don't receive it from another peer. Pushing to all peers would send every change to a node once from
	// each of its peers.
	pushFanout = 3
	// maxQueuedPushes bounds the push queue of one peer. If it is full, the oldest push is dropped, and the peer detects
	// the gap.
	maxQueuedPushes = 64
	// repairDelay is the delay before a pull. A push from another peer in this time makes the pull unnecessary.
	repairDelay = 50 * time.Millisecond
	// pullHedgeDelay is the age of a pull in progress after which another peer may be pulled from as well.
	pullHedgeDelay = 150 * time.Millisecond
	// maxConcurrentPulls bounds the pulls in progress.
	maxConcurrentPulls = 6
)

// outbound holds the push queues and the pulls in progress, by peer.
type outbound struct {
	queues map[string][]*wirev1.ConfigPush
	// pulls holds the start time of each pull in progress.
	pulls map[string]time.Time
}

func newOutbound() outbound {
	return outbound{queues: map[string][]*wirev1.ConfigPush{}, pulls: map[string]time.Time{}}
}

// forward pushes the newest change to pushFanout peers and announces the revision to the others. Receivers pull the
// remaining changes of the batch. n.mu must be held.
func (n *Node) forward(b batch, changed []*record, source string) {
	if n.cfg.Store == nil || len(changed) == 0 || n.cfg.Peers == nil {
		return
	}
	newest := changed[len(changed)-1]
	// PreviousRevision states that there is no other change between it and the document's revision. That is certain only
	// for a batch of one change. Otherwise it is set to the document's own revision, so that every receiver that lacks
	// an earlier change detects a gap.
	previous := newest.revision
	if len(b.documents) == 1 && !b.wholeState && newest.revision == b.to {
		previous = b.from
	}
	push := &wirev1.ConfigPush{PreviousRevision: previous, Document: newest.wire()}
	announcement := &wirev1.ConfigPush{PreviousRevision: n.history.revision}
	peers := slices.Clone(n.cfg.Peers.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	pushed := 0
	for _, peer := range peers {
		name := peer.Name()
		switch {
		case name == source || n.peerStatuses[name].revision >= newest.revision:
		case pushed < pushFanout:
			pushed++
			n.enqueue(peer, push)
		case n.peerStatuses[name].revision < n.history.revision:
			n.enqueue(peer, announcement)
		}
	}
}

// enqueue adds a push to the queue of a peer and starts sending if no goroutine does so yet. n.mu must be held.
func (n *Node) enqueue(peer Peer, push *wirev1.ConfigPush) {
	name := peer.Name()
	queue, sending := n.outbound.queues[name]
	queue = append(queue, push)
	if len(queue) > maxQueuedPushes {
		queue = queue[1:]
	}
	if sending || n.spawn(func(ctx context.Context) { n.send(ctx, peer) }) {
		n.outbound.queues[name] = queue
	}
}

// send sends the queued pushes of a peer. A failed push is not retried: the peer detects the gap by the next heartbeat.
func (n *Node) send(ctx context.Context, peer Peer) {
	for push := n.nextPush(peer.Name()); push != nil; push = n.nextPush(peer.Name()) {
		if ctx.Err() != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		err := peer.Push(callCtx, push)
		cancel()
		if err != nil {
			n.cfg.Logger.Debug("push failed", zap.String("peer", peer.Name()), zap.Error(err))
		}
	}
}

// nextPush dequeues the next push that is new to the peer. It returns nil and removes the queue if there is none.
func (n *Node) nextPush(peer string) *wirev1.ConfigPush {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.outbound.queues[peer]
	for i, push := range queue {
		if revisionOf(push) > n.peerStatuses[peer].revision {
			n.outbound.queues[peer] = queue[i+1:]
			return push
		}
	}
	delete(n.outbound.queues, peer)
	return nil
}

// revisionOf returns the revision that a push delivers or announces. An announcement is a push without a document; its
// sender has all changes up to PreviousRevision.
func revisionOf(push *wirev1.ConfigPush) uint64 {
	if push.GetDocument() == nil {
		return push.GetPreviousRevision()
	}
	return push.GetDocument().GetRevision()
}

// repair starts a pull of the missing changes from the named peer, unless a recent pull is still in progress or this process takes documents from the
// store only. n.mu must be held.
func (n *Node) repair(name string) {
	now := time.Now()
	if n.trustsStore(now) {
		n.watch.tellPeerAhead()
		return
	}
	for _, started := range n.outbound.pulls {
		if now.Sub(started) < pullHedgeDelay {
			return
		}
	}
	if _, pulling := n.outbound.pulls[name]; pulling || len(n.outbound.pulls) >= maxConcurrentPulls || n.cfg.Peers == nil {
		return
	}
	for _, peer := range n.cfg.Peers.Peers() {
		if peer.Name() == name && n.spawn(func(ctx context.Context) { n.pull(ctx, peer) }) {
			n.outbound.pulls[name] = now
			return
		}
	}
}

// retryRepair starts a pull from a random peer that has a newer revision, if there is one. It closes a gap that is left
// because an earlier pull failed or did not deliver all missing changes. n.mu must be held.
func (n *Node) retryRepair() {
	var ahead []string
	for name, status := range n.peerStatuses {
		if status.revision > n.history.revision {
			ahead = append(ahead, name)
		}
	}
	if len(ahead) > 0 {
		n.repair(ahead[rand.IntN(len(ahead))])
	}
}

// hedge may start a pull from another peer while an earlier pull has no response yet.
func (n *Node) hedge() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retryRepair()
}

func (n *Node) pull(ctx context.Context, peer Peer) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.outbound.pulls, peer.Name())
	}()
	if after, missing := n.awaitPush(ctx, peer.Name()); missing {
		n.pullAfter(ctx, peer, after)
	}
}

// awaitPush waits for repairDelay, in which a push may deliver the missing changes. It returns whether changes are still
// missing and the revision after which to pull them. It does not wait without a configuration or while another pull is
// in progress.
func (n *Node) awaitPush(ctx context.Context, peer string) (after uint64, missing bool) {
	n.mu.Lock()
	first := len(n.outbound.pulls) == 1
	after = n.history.revision
	n.mu.Unlock()
	if after > 0 && first {
		wait.For(ctx, repairDelay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.revision, ctx.Err() == nil && n.history.revision < n.peerStatuses[peer].revision
}

func (n *Node) pullAfter(ctx context.Context, peer Peer, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	hedge := time.AfterFunc(pullHedgeDelay, n.hedge)
	defer hedge.Stop()
	reply, err := peer.Pull(ctx, &wirev1.ConfigPull{AfterRevision: after})
	if err != nil {
		n.cfg.Logger.Debug("pull failed", zap.String("peer", peer.Name()), zap.Error(err))
		return
	}
	b := batch{documents: reply.GetDocuments(), from: after, to: reply.GetRevision(), wholeState: reply.GetWholeState()}
	if b.wholeState {
		b.from = 0
	}
	n.applyBatch(b, peer.Name())
}
