// Package confsync replicates the newest accepted version of every team's document to all processes and never reverts
// to an older version.
//
// A few entry processes watch the key-value service and push changes to their peers, which forward those that were new
// to them. Every process keeps the revision up to which it has all changes. A process that lacks changes detects the gap
// by comparing this revision with that of a push or a heartbeat, and pulls only the missing documents from the sender.
// The sender returns the whole state only if it has dropped tombstones of removed documents since that revision. The
// idea is from Chai and Zhao, "Recovering Lagging Replicas in a Fault Tolerant System".
package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
)

const (
	// Prefix is the key prefix of the documents in the key-value service; the team's name follows it.
	Prefix = "/fulmardoor/documents/"
	// DefaultHeartbeatInterval is the interval of heartbeats between processes.
	DefaultHeartbeatInterval = 500 * time.Millisecond

	tickInterval = 250 * time.Millisecond
	// peerSetInterval is the time between two updates of the peer set from the member table.
	peerSetInterval = time.Second
	pushTimeout     = time.Second
	pullTimeout     = time.Second
)

// Member is an entry process in the member table.
type Member struct {
	Process    string
	DataCentre string
	// Unavailable is set when the process is known to be dead or leaving. It still counts as a voter.
	Unavailable bool
}

// Members lists the entry processes in the member table, with or without this process. Entries is called with the
// node's lock held and must not call the node.
type Members interface{ Entries() []Member }

// Peer is another process that this one has a session with.
type Peer interface {
	// Name returns the name of the process.
	Name() string
	Push(ctx context.Context, push *wirev1.ConfigPush) error
	Pull(ctx context.Context, pull *wirev1.ConfigPull) (*wirev1.ConfigPullReply, error)
}

// Peers lists the live peers. Peers and Peer.Name are called with the node's lock held and must not call the node.
type Peers interface{ Peers() []Peer }

// Config configures a Node.
type Config struct {
	// Self is the name of this process.
	Self       string
	DataCentre string
	// Store is nil for sidecars, which neither watch the store nor forward changes.
	Store kv.Store
	// Members and Peers may be nil: then there are no other entries, or no peers.
	Members Members
	Peers   Peers
	// HeartbeatInterval is the time between two heartbeats of a peer. The default is DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	Logger            *zap.Logger
}

// Node replicates the configuration in one process. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex // guards the fields below
	history history
	// latestHistory is the highest number of a history of the store that is known from the store or a peer.
	latestHistory uint64
	freshness     freshness
	peerStatuses  map[string]peerStatus
	outbound      outbound
	watch         watchState
	// peerSet is the result of PeerSet for the member table at peerSetAt.
	peerSet   []Member
	peerSetAt time.Time
	// runCtx is nil before and after Run.
	runCtx context.Context

	workers sync.WaitGroup

	notifyMu    sync.Mutex // held while subscribers are called, so that they see snapshots in order
	subscribers []func(*Snapshot)
	notified    *Snapshot
}

// peerStatus is what is known of a peer from its pushes and its last heartbeat.
type peerStatus struct {
	heartbeatAt time.Time
	// hasStoreContact means that the peer can reach the key-value service itself.
	hasStoreContact bool
	revision        uint64
	// lastMessageAt is the time of the last push or heartbeat from the peer.
	lastMessageAt time.Time
}

// New returns a node without configuration.
func New(cfg Config) *Node {
	if cfg.HeartbeatInterval <= 0 {
		cfg.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	n := &Node{
		cfg:          cfg,
		history:      newHistory(),
		peerStatuses: map[string]peerStatus{},
		outbound:     newOutbound(),
		watch:        watchState{peerAhead: make(chan struct{}, 1)},
	}
	n.current.Store(emptySnapshot())
	return n
}

// Run replicates the configuration until ctx ends. It returns after all calls to peers and the store have ended.
func (n *Node) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.runCtx = ctx
	n.freshness.tick(time.Now())
	n.mu.Unlock()

	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		n.tick(time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	n.mu.Lock()
	n.runCtx = nil
	n.watch.stop = nil
	n.mu.Unlock()
	cancel()
	n.workers.Wait()
}

// spawn starts f in a goroutine that Run waits for, and returns false if the node is not running. n.mu must be held.
func (n *Node) spawn(f func(ctx context.Context)) bool {
	if n.runCtx == nil {
		return false
	}
	ctx := n.runCtx
	n.workers.Go(func() { f(ctx) })
	return true
}

func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runCtx == nil {
		return
	}
	n.detectPause(now)
	n.freshness.tick(now)
	n.expirePeers(now)
	if now.Sub(n.peerSetAt) >= peerSetInterval {
		n.peerSet = PeerSet(n.cfg.Self, n.entries())
		n.peerSetAt = now
	}
	if n.isOutage(now) {
		n.freshness.lastOutageAt = now
	}
	n.superviseWatch(now)
	n.retryRepair()
}

// Current returns the newest snapshot. It is never nil.
func (n *Node) Current() *Snapshot { return n.current.Load() }

// Subscribe calls f with the current snapshot and then with each newer one, one call at a time and in order. f must not
// call Subscribe and must not block for long.
func (n *Node) Subscribe(f func(*Snapshot)) {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	n.subscribers = append(n.subscribers, f)
	f(n.Current())
}

// notify calls the subscribers with the newest snapshot.
func (n *Node) notify() {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	snapshot := n.Current()
	if snapshot == n.notified {
		return
	}
	n.notified = snapshot
	for _, f := range n.subscribers {
		f(snapshot)
	}
}

// HandlePush applies a change from a peer and forwards it if it is new.
func (n *Node) HandlePush(peer string, push *wirev1.ConfigPush) *wirev1.ConfigPushReply {
	document := push.GetDocument()
	revision := revisionOf(push)
	n.mu.Lock()
	n.recordRevision(peer, revision)
	trustsStore := n.trustsStore(time.Now())
	n.mu.Unlock()
	if !trustsStore && document.GetTeam() != "" && revision >= push.GetPreviousRevision() {
		n.applyBatch(batch{
			documents: []*wirev1.Document{document},
			from:      push.GetPreviousRevision(),
			to:        revision,
		}, peer)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.history.revision < revision {
		n.repair(peer)
	}
	return &wirev1.ConfigPushReply{Revision: n.history.revision}
}

// HandlePull returns the changes that a peer lacks.
func (n *Node) HandlePull(pull *wirev1.ConfigPull) *wirev1.ConfigPullReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.changesAfter(pull.GetAfterRevision())
}

// OnHeartbeat records the state of a peer's configuration from its heartbeat.
func (n *Node) OnHeartbeat(peer string, heartbeat *wirev1.Heartbeat) {
	now := time.Now()
	revision := heartbeat.GetConfigRevision()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectPause(now)
	n.recordRevision(peer, revision)
	if !n.freshness.ignoresHeartbeats(now) {
		n.recordHeartbeat(peer, heartbeat, now)
	}
	if revision > n.history.revision {
		n.repair(peer)
	}
}

// recordHeartbeat records the status of a peer and the confirmation in its heartbeat. n.mu must be held.
func (n *Node) recordHeartbeat(peer string, heartbeat *wirev1.Heartbeat, now time.Time) {
	n.peerStatuses[peer] = peerStatus{
		heartbeatAt: now, hasStoreContact: heartbeat.GetStoreContact(),
		revision: n.peerStatuses[peer].revision, lastMessageAt: now,
	}
	if age := heartbeat.GetConfigAgeMs(); age >= 0 {
		confirmedAt := now.Add(-time.Duration(age) * time.Millisecond)
		n.freshness.confirm(n.history.revision, heartbeat.GetConfigRevision(), confirmedAt)
	}
}

// FillHeartbeat sets the configuration fields of a heartbeat.
func (n *Node) FillHeartbeat(heartbeat *wirev1.Heartbeat) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectPause(now)
	heartbeat.ConfigRevision = n.history.revision
	heartbeat.ConfigAgeMs = n.freshness.ageMillis(now)
	heartbeat.StoreContact = n.watch.hasContact(now)
}

// recordRevision records that a peer has a revision. n.mu must be held.
func (n *Node) recordRevision(peer string, revision uint64) {
	n.noteHistory(revision)
	status := n.peerStatuses[peer]
	status.revision = max(status.revision, revision)
	status.lastMessageAt = time.Now()
	n.peerStatuses[peer] = status
}

// expirePeers removes peers without a message for peerExpiry. Until then an announced revision is kept, so that it is
// pulled even if the peer sends nothing more. n.mu must be held.
func (n *Node) expirePeers(now time.Time) {
	const peerExpiry = time.Minute
	for peer, status := range n.peerStatuses {
		if now.Sub(status.lastMessageAt) > peerExpiry {
			delete(n.peerStatuses, peer)
		}
	}
}

// heartbeatTimeout is the age of the last heartbeat above which a peer counts as unreachable.
func (n *Node) heartbeatTimeout() time.Duration { return 3*n.cfg.HeartbeatInterval + tickInterval }

// applyBatch applies a batch of changes received from source, publishes the new snapshot and forwards the newest change.
// source is "" for changes from the store.
func (n *Node) applyBatch(b batch, source string) {
	n.mu.Lock()
	before := n.history.revision
	n.noteHistory(b.to)
	if b.wholeState && source != "" && b.to >= n.history.revision && n.history.contradicts(listing{documents: b.documents, revision: b.to}) {
		// The known documents are of a lost history, or those of the peer. This process lists the store's.
		n.watch.startEndsAt = time.Now().Add(promotionTrialPeriod)
	}
	changed := n.history.apply(b)
	if len(changed) > 0 || n.history.revision != before {
		n.freshness.resolvePending(n.history.revision)
		n.current.Store(n.history.snapshot(len(changed) > 0, n.Current()))
		n.forward(b, changed, source)
	}
	n.mu.Unlock()
	n.logChanges(changed)
	n.notify()
}

// logChanges logs the documents that changed.
func (n *Node) logChanges(changed []*record) {
	for _, r := range changed {
		fields := []zap.Field{zap.String("team", r.team), zap.Uint64("revision", r.revision)}
		if r.parsed.Faults != nil {
			fields = append(fields, zap.Uint64("in_force", r.parsed.GoodRevision), zap.Error(r.parsed.Faults))
			n.cfg.Logger.Warn("document has faults; the last good version stays in force", fields...)
			continue
		}
		n.cfg.Logger.Info("document change applied", fields...)
	}
}
