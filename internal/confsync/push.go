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
	// pushFanout is the number of peers that a change is pushed to; the others are told its revision and pull it if no
	// other path brings it. Pushing to all peers sends every change to a node once from each of its peers.
	pushFanout = 3
	// maxQueued bounds the pushes that wait for one peer. The oldest is dropped; the peer notices the gap.
	maxQueued = 64
	// repairDelay is the wait before a pull. A push that another path delivers meanwhile makes the pull unnecessary.
	repairDelay = 50 * time.Millisecond
	// repairHedge is the age of a running pull from which on another peer may be asked as well.
	repairHedge = 150 * time.Millisecond
	// maxPulls bounds the pulls in progress.
	maxPulls = 6
)

// outbound holds what is on its way to peers.
type outbound struct {
	queues map[string][]*wirev1.ConfigPush
	// pulls holds the start of each pull in progress, by peer.
	pulls map[string]time.Time
}

func newOutbound() outbound {
	return outbound{queues: map[string][]*wirev1.ConfigPush{}, pulls: map[string]time.Time{}}
}

// forward pushes what was new to some peers and tells the others. Of several changes only the newest is pushed, and a
// receiver pulls the others. n.mu must be held.
func (n *Node) forward(b batch, changed []*record, source string) {
	if n.cfg.Store == nil || len(changed) == 0 || n.cfg.Peers == nil {
		return
	}
	newest := changed[len(changed)-1]
	// A previous revision says that nothing else changed in between. That is certain only for a batch of one change;
	// otherwise the change's own revision makes every receiver that lacks something notice a gap.
	previous := newest.revision
	if len(b.documents) == 1 && !b.whole && newest.revision == b.to {
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
		case name == source || n.heard[name].revision >= newest.revision:
		case pushed < pushFanout:
			pushed++
			n.enqueue(peer, push)
		case n.heard[name].revision < n.history.revision:
			n.enqueue(peer, announcement)
		}
	}
}

// enqueue adds a push to the queue of a peer and starts to send it. n.mu must be held.
func (n *Node) enqueue(peer Peer, push *wirev1.ConfigPush) {
	name := peer.Name()
	queue, sending := n.out.queues[name]
	queue = append(queue, push)
	if len(queue) > maxQueued {
		queue = queue[1:]
	}
	if sending || n.begin(func(ctx context.Context) { n.send(ctx, peer) }) {
		n.out.queues[name] = queue
	}
}

// send empties the queue of a peer. A push that fails is not repeated: the next heartbeat shows the gap.
func (n *Node) send(ctx context.Context, peer Peer) {
	for push := n.next(peer.Name()); push != nil; push = n.next(peer.Name()) {
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

// next takes the next push that the peer does not have yet, and removes the queue when there is none.
func (n *Node) next(peer string) *wirev1.ConfigPush {
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.out.queues[peer]
	for i, push := range queue {
		if revisionOf(push) > n.heard[peer].revision {
			n.out.queues[peer] = queue[i+1:]
			return push
		}
	}
	delete(n.out.queues, peer)
	return nil
}

// revisionOf returns the revision that a push brings or announces. An announcement is a push without a document; its
// sender holds everything up to its previous revision.
func revisionOf(push *wirev1.ConfigPush) uint64 {
	if push.GetDocument() == nil {
		return push.GetPreviousRevision()
	}
	return push.GetDocument().GetRevision()
}

// repair asks one peer for what is missing. n.mu must be held.
func (n *Node) repair(name string) {
	now := time.Now()
	for _, started := range n.out.pulls {
		if now.Sub(started) < repairHedge {
			return
		}
	}
	if _, asked := n.out.pulls[name]; asked || len(n.out.pulls) >= maxPulls || n.cfg.Peers == nil {
		return
	}
	for _, peer := range n.cfg.Peers.Peers() {
		if peer.Name() == name && n.begin(func(ctx context.Context) { n.pull(ctx, peer) }) {
			n.out.pulls[name] = now
			return
		}
	}
}

// repairAgain asks another peer when an earlier pull brought nothing. n.mu must be held.
func (n *Node) repairAgain() {
	var ahead []string
	for name, known := range n.heard {
		if known.revision > n.history.revision {
			ahead = append(ahead, name)
		}
	}
	if len(ahead) > 0 {
		n.repair(ahead[rand.IntN(len(ahead))])
	}
}

// hedge asks another peer while a pull has no answer yet.
func (n *Node) hedge() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.repairAgain()
}

func (n *Node) pull(ctx context.Context, peer Peer) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.out.pulls, peer.Name())
	}()
	if after, missing := n.afterDelay(ctx, peer.Name()); missing {
		n.pullAfter(ctx, peer, after)
	}
}

// afterDelay waits for repairDelay and returns whether something is still missing, and after which revision. Without a
// configuration, or when another pull is late already, there is nothing to wait for.
func (n *Node) afterDelay(ctx context.Context, peer string) (after uint64, missing bool) {
	n.mu.Lock()
	first := len(n.out.pulls) == 1
	after = n.history.revision
	n.mu.Unlock()
	if after > 0 && first {
		wait.For(ctx, repairDelay)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.revision, ctx.Err() == nil && n.history.revision < n.heard[peer].revision
}

func (n *Node) pullAfter(ctx context.Context, peer Peer, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	hedge := time.AfterFunc(repairHedge, n.hedge)
	defer hedge.Stop()
	reply, err := peer.Pull(ctx, &wirev1.ConfigPull{AfterRevision: after})
	if err != nil {
		n.cfg.Logger.Debug("pull failed", zap.String("peer", peer.Name()), zap.Error(err))
		return
	}
	b := batch{documents: reply.GetDocuments(), from: after, to: reply.GetRevision(), whole: reply.GetWholeState()}
	if b.whole {
		b.from = 0
	}
	n.take(b, peer.Name())
}
