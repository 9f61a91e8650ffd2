// Package confsync brings every accepted version of every team's document to all processes and never goes back to an
// older one.
//
// A few entry processes watch the key-value service and push changes to their peers, which pass on what was new to
// them. Every process counts up to which revision it holds everything. A process that misses something notices it by
// number, from a push or a heartbeat, and asks the peer that it heard this from for the missing documents only; the
// whole state is sent only when that peer no longer knows what was removed since. The idea is from Chai and Zhao,
// "Recovering Lagging Replicas in a Fault Tolerant System".
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
	// Prefix starts the keys of the documents in the key-value service; the team's name follows.
	Prefix = "/fulmardoor/documents/"
	// DefaultHeartbeatInterval is the interval of heartbeats between processes.
	DefaultHeartbeatInterval = 500 * time.Millisecond

	tickInterval = 250 * time.Millisecond
	// peerSetInterval is the time between two looks at the member table.
	peerSetInterval = time.Second
	pushTimeout     = time.Second
	pullTimeout     = time.Second
)

// Member is an entry process of the member table.
type Member struct {
	Process    string
	DataCentre string
	// Gone is set when the process is known to be dead or leaving. It still counts in the majority rule.
	Gone bool
}

// Members gives the entry processes of the member table. This process may be among them or not. Entries is called with
// the node's lock held and must not call the node.
type Members interface{ Entries() []Member }

// Peer is another process that this one has a session with.
type Peer interface {
	// Name returns the name of the process.
	Name() string
	Push(ctx context.Context, push *wirev1.ConfigPush) error
	Pull(ctx context.Context, pull *wirev1.ConfigPull) (*wirev1.ConfigPullReply, error)
}

// Peers gives the live peers. Peers and Peer.Name are called with the node's lock held and must not call the node.
type Peers interface{ Peers() []Peer }

// Config configures a Node.
type Config struct {
	// Self is the name of this process.
	Self       string
	DataCentre string
	// Store is nil for sidecars, which neither watch nor pass on changes.
	Store kv.Store
	// Members and Peers may be nil: then there are no other entries, or no peers.
	Members Members
	Peers   Peers
	// HeartbeatInterval is the time between heartbeats of a peer. Default DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	Logger            *zap.Logger
}

// Node holds the configuration of one process. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex // guards the fields below
	history history
	fresh   freshness
	heard   map[string]contact
	out     outbound
	watch   watchState
	// peerSet is PeerSet of the member table at peerSetAt.
	peerSet   []Member
	peerSetAt time.Time
	// running is nil before and after Run.
	running context.Context

	work sync.WaitGroup

	notifyMu    sync.Mutex // held while subscribers are called, so that they see snapshots in order
	subscribers []func(*Snapshot)
	notified    *Snapshot
}

// contact is what the last heartbeat of a peer said.
type contact struct {
	at time.Time
	// store says that the peer has direct contact with the key-value service.
	store    bool
	revision uint64
	// told is the last time that the peer told its revision, by a push or a heartbeat.
	told time.Time
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
		cfg:     cfg,
		history: newHistory(),
		heard:   map[string]contact{},
		out:     newOutbound(),
	}
	n.current.Store(emptySnapshot())
	return n
}

// Run works until ctx ends. It returns after all its calls to peers and store have ended.
func (n *Node) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.running = ctx
	n.fresh.tick(time.Now())
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
	n.running = nil
	n.watch.stop = nil
	n.mu.Unlock()
	cancel()
	n.work.Wait()
}

// begin starts f in a goroutine that Run waits for. n.mu must be held. It reports whether the node is running.
func (n *Node) begin(f func(ctx context.Context)) bool {
	if n.running == nil {
		return false
	}
	ctx := n.running
	n.work.Go(func() { f(ctx) })
	return true
}

func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running == nil {
		return
	}
	n.noticePause(now)
	n.fresh.tick(now)
	n.forgetSilent(now)
	if now.Sub(n.peerSetAt) >= peerSetInterval {
		n.peerSet = PeerSet(n.cfg.Self, n.entries())
		n.peerSetAt = now
	}
	if n.isOutage(now) {
		n.fresh.outageSeen = now
	}
	n.superviseWatch(now)
	n.repairAgain()
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

// notify tells the subscribers about the newest snapshot.
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

// HandlePush takes a change from a peer and passes it on if it is new.
func (n *Node) HandlePush(peer string, push *wirev1.ConfigPush) *wirev1.ConfigPushReply {
	document := push.GetDocument()
	revision := revisionOf(push)
	n.mu.Lock()
	n.learnRevision(peer, revision)
	n.mu.Unlock()
	if document.GetTeam() != "" && revision >= push.GetPreviousRevision() {
		n.take(batch{
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

// HandlePull answers a peer that misses changes.
func (n *Node) HandlePull(pull *wirev1.ConfigPull) *wirev1.ConfigPullReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.since(pull.GetAfterRevision())
}

// OnHeartbeat notes what a peer said about its configuration.
func (n *Node) OnHeartbeat(peer string, heartbeat *wirev1.Heartbeat) {
	now := time.Now()
	revision := heartbeat.GetConfigRevision()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noticePause(now)
	n.learnRevision(peer, revision)
	if !n.fresh.distrusts(now) {
		n.takeContact(peer, heartbeat, now)
	}
	if revision > n.history.revision {
		n.repair(peer)
	}
}

// takeContact notes that a peer is alive and what it confirms. n.mu must be held.
func (n *Node) takeContact(peer string, heartbeat *wirev1.Heartbeat, now time.Time) {
	n.heard[peer] = contact{at: now, store: heartbeat.GetStoreContact(), revision: n.heard[peer].revision, told: now}
	if age := heartbeat.GetConfigAgeMs(); age >= 0 {
		confirmed := now.Add(-time.Duration(age) * time.Millisecond)
		n.fresh.confirm(n.history.revision, heartbeat.GetConfigRevision(), confirmed)
	}
}

// FillHeartbeat sets the fields of a heartbeat that concern the configuration.
func (n *Node) FillHeartbeat(heartbeat *wirev1.Heartbeat) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noticePause(now)
	heartbeat.ConfigRevision = n.history.revision
	heartbeat.ConfigAgeMs = n.fresh.ageMillis(now)
	heartbeat.StoreContact = n.watch.hasContact(now)
}

// learnRevision notes that a peer holds a revision. n.mu must be held.
func (n *Node) learnRevision(peer string, revision uint64) {
	known := n.heard[peer]
	known.revision = max(known.revision, revision)
	known.told = time.Now()
	n.heard[peer] = known
}

// forgetSilent removes peers that have told nothing for forgetAfter. A revision that was announced is remembered until then, so
// that it is pulled even if its peer sends nothing more. n.mu must be held.
func (n *Node) forgetSilent(now time.Time) {
	const forgetAfter = time.Minute
	for peer, last := range n.heard {
		if now.Sub(last.told) > forgetAfter {
			delete(n.heard, peer)
		}
	}
}

// heardLimit is the age of a heartbeat from which on its sender counts as not heard.
func (n *Node) heardLimit() time.Duration { return 3*n.cfg.HeartbeatInterval + tickInterval }

// take applies a batch of changes that came from source, publishes the new snapshot and passes on what was new.
func (n *Node) take(b batch, source string) {
	n.mu.Lock()
	before := n.history.revision
	changed := n.history.apply(b)
	if len(changed) > 0 || n.history.revision != before {
		n.fresh.advance(n.history.revision)
		n.current.Store(n.history.snapshot(len(changed) > 0, n.Current()))
		n.forward(b, changed, source)
	}
	n.mu.Unlock()
	n.report(changed)
	n.notify()
}

// report logs documents that were taken over.
func (n *Node) report(changed []*record) {
	for _, r := range changed {
		fields := []zap.Field{zap.String("team", r.team), zap.Uint64("revision", r.revision)}
		if r.parsed.Faults != nil {
			fields = append(fields, zap.Uint64("in_force", r.parsed.GoodRevision), zap.Error(r.parsed.Faults))
			n.cfg.Logger.Warn("document has faults; the last good version stays in force", fields...)
			continue
		}
		n.cfg.Logger.Info("document taken over", fields...)
	}
}
