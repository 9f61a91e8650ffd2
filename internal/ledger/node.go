// Package ledger enforces the rate and burst of client accounts across all entry processes. Accounts are hashed to shards.
// Each shard has one owner, which holds the token buckets in memory, and one successor, which takes over when the owner
// fails.
//
// An owner grants tokens only while its ownership is confirmed in one of two ways: by a promise, in which the successor
// commits itself not to take over for PromiseTerm, or by a read of the shard's record in the key-value service. A
// confirmation is valid from the time at which it was requested, on the owner's monotonic clock, and is checked after a
// charge was computed and before the result is returned. The successor takes over by compare-and-swap promiseExpiryGrace
// after its last promise expired, and starts to grant tokens TakeoverWait later.
//
// A handoff passes a shard to the successor with the state of its buckets, so that no wait is needed. The members (the live
// entry processes) are ranked for each shard by rendezvous hash, and running owners hand their shards off to the
// highest-ranked members.
package ledger

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	// PromiseTerm is the time for which a promise or a read of the record confirms an owner.
	PromiseTerm = 3 * time.Second
	// TakeoverWait is the time between a takeover and the first grant. The previous owner may have a valid confirmation for
	// up to PromiseTerm after the takeover.
	TakeoverWait = max(PromiseTerm, transport.FenceWindow) + 500*time.Millisecond
	// RebalanceInterval is the minimum time between two handoffs of a node to higher-ranked members.
	RebalanceInterval = 30 * time.Second
	// RefreshInterval is the time between two reads of all records if none is needed earlier.
	RefreshInterval = 10 * time.Second

	renewInterval    = PromiseTerm / 3
	maintainInterval = 500 * time.Millisecond
	// readThreshold is the remaining validity of its confirmation below which an owner reads the record.
	readThreshold = PromiseTerm / 2
	// successorTimeout is the time without a promise after which an owner names another successor. It is shorter than
	// PromiseTerm, so that an owner that has lost the connection to its successor, but not to the store, replaces the
	// successor before the successor takes over.
	successorTimeout = 2 * time.Second
	// promiseExpiryGrace is the time that a successor waits after its last promise expired before it takes over. It gives
	// the owner more time to replace the successor.
	promiseExpiryGrace = time.Second

	storeTimeout        = time.Second
	callTimeout         = time.Second
	retryDelay          = 100 * time.Millisecond
	maxRetryDelay       = time.Second
	minRefreshInterval  = time.Second // minimum time from a read of the records to the next regular or requested one
	chargeTimeout       = 10 * time.Second
	minChargeRetryDelay = 20 * time.Millisecond
	maxChargeRetryDelay = 250 * time.Millisecond
)

// LimitSource returns the limits of client accounts in the applied configuration.
type LimitSource interface {
	// Limits returns the limits of an account; ok is false if there is no such account.
	Limits(account string) (limits Limits, ok bool)
}

// Members lists the entry processes.
type Members interface {
	// Entries returns the sorted names of the entry processes that are considered alive, including this process.
	Entries() []string
}

// Network sends a request to another process and reads one reply.
type Network interface {
	Call(ctx context.Context, process string, open *wirev1.StreamOpen, reply proto.Message) error
}

// Config configures a Node. All fields but Terminated are required. If Store is no kv.HistoryReader, a record that the store lost is found only when the store
// has passed its revision.
type Config struct {
	// Self is the name of this process. No two live processes have the same name.
	Self string
	// Shards is the number of shards, equal on all nodes.
	Shards  int
	Store   kv.Store
	Limits  LimitSource
	Members Members
	Network Network
	// Terminated reports whether a process has terminated permanently, according to the platform. It must not be derived
	// from this node's failure to reach the process. If both owner and successor of a shard have terminated, the
	// highest-ranked member takes the shard over. If Terminated is nil, no process is known to have terminated.
	Terminated func(process string) bool
	Logger     *zap.Logger
}

// Node is the ledger of one entry process: it charges accounts and owns some of the shards.
type Node struct {
	cfg          Config
	writerID     string
	takeoverWait time.Duration
	shards       []*shard
	renewSignal  chan struct{} // makes renewLoop request promises before its interval has passed
	// lifetime is the context of work that may outlast the request that started it. It ends after the context of Run.
	lifetime    context.Context
	endLifetime context.CancelFunc

	refreshSemaphore chan struct{} // holds a value while records are read

	stateMu          sync.Mutex // guards the fields below
	refreshStartedAt time.Time  // start of the latest read of the records
	refreshErr       error      // error of the latest completed read
	lastReadAt       time.Time  // start of the latest successful read; zero before the first
	refreshRequested bool       // a read of the records was requested and has not started
	writeCount       uint64
	leaving          bool
	rebalancedAt     time.Time

	batchMu     sync.Mutex // guards batchers
	batchers    map[string]*batcher
	settlements settlementQueue
}

// shard is the state of one shard as known to a node.
type shard struct {
	number uint32

	mu       sync.Mutex // guards the fields below
	record   record
	revision int64 // store revision of record; 0 if no record is known
	// oddRevision is the revision of the last record that could not be decoded.
	oddRevision int64
	// lostRevision is the revision of an older record that the store has because it went back to a copy. While it equals revision, record is the
	// newer one that the store lost.
	lostRevision int64
	// writing is set while a write of the record is in progress or its outcome is unknown, and while a handoff request is in
	// progress. In that time no promise is given or requested.
	writing bool

	// Used by the owner.
	owned                bool      // this node has the buckets of epoch record.Epoch
	suspended            bool      // nothing is granted because the buckets were sent to the successor
	handoffUncertain     bool      // a handoff request failed, so the successor may become the owner with the state in it
	grantsFrom           time.Time // nothing is granted before this time
	receivedPromiseUntil time.Time // expiry of the successor's latest promise
	readValidUntil       time.Time // expiry of the confirmation by the latest read of the record
	successorNamedAt     time.Time // time of this node's latest write of the record, which names the successor
	startFull            bool      // new buckets start full; otherwise they were empty at emptyAt
	emptyAt              time.Time
	buckets              map[string]*Bucket // by account
	handedOffEpoch       uint64             // epoch in which the previous owner handed the shard off; 0 after a takeover

	// Used by the successor.
	givenPromiseUntil time.Time // expiry of the latest promise that this node gave to the owner

	// Used by all nodes.
	reconciledAt      time.Time // time of the latest call of reconcile
	ownerMissingSince time.Time // start of the time without a live owner and without a successor; zero if there is one
}

// New returns a node. Run must be called for it to own shards and to settle charges.
func New(cfg Config) *Node {
	n := &Node{
		cfg:              cfg,
		writerID:         strconv.FormatUint(transport.NewIncarnation(), 16),
		takeoverWait:     TakeoverWait,
		shards:           make([]*shard, cfg.Shards),
		renewSignal:      make(chan struct{}, 1),
		refreshSemaphore: make(chan struct{}, 1),
		rebalancedAt:     time.Now(),
		batchers:         make(map[string]*batcher),
	}
	for i := range n.shards {
		n.shards[i] = &shard{number: uint32(i)}
	}
	n.lifetime, n.endLifetime = context.WithCancel(context.Background())
	n.settlements.init()
	return n
}

// Run maintains the node's shards until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.renewLoop(ctx) })
	group.Go(func() { n.settleLoop(ctx) })
	n.maintainLoop(ctx)
	n.endLifetime()
	group.Wait()
}

// shardOf returns the shard of an account.
func (n *Node) shardOf(account string) *shard {
	return n.shards[xxhash.Sum64String(account)%uint64(len(n.shards))]
}

// State is the state of a shard as seen by a node.
type State string

// States of a shard.
const (
	// StateUnknown means that no record is known, or that the record names this node although it does not hold the
	// buckets, as after a restart.
	StateUnknown State = "unknown"
	// StateRemote means that another process is the owner.
	StateRemote State = "remote"
	// StateGranting means that this node is the owner and grants tokens.
	StateGranting State = "granting"
	// StateWaiting means that this node has taken over and does not grant until TakeoverWait has passed.
	StateWaiting State = "waiting"
	// StateUnconfirmed means that this node is the owner but has no valid confirmation.
	StateUnconfirmed State = "unconfirmed"
	// StateHandoff means that this node is the owner and does not grant, because the buckets were sent to the successor.
	StateHandoff State = "handoff"
	// StateWriting means that this node is not the owner and is writing a record that makes it the owner.
	StateWriting State = "writing"
)

// ShardStatus describes one shard as seen by a node.
type ShardStatus struct {
	Shard     uint32
	Owner     string
	Successor string
	Epoch     uint64
	State     State
}

// Status returns the status of all shards.
func (n *Node) Status() []ShardStatus {
	list := make([]ShardStatus, len(n.shards))
	for i, s := range n.shards {
		s.mu.Lock()
		list[i] = ShardStatus{
			Shard: s.number, Owner: s.record.Owner, Successor: s.record.Successor, Epoch: s.record.Epoch,
			State: s.state(n.cfg.Self, time.Now()),
		}
		s.mu.Unlock()
	}
	return list
}

// state is called with s.mu held.
func (s *shard) state(self string, now time.Time) State {
	switch {
	case s.owned && s.suspended:
		return StateHandoff
	case s.owned && now.Before(s.grantsFrom):
		return StateWaiting
	case s.owned && !s.confirmed(now):
		return StateUnconfirmed
	case s.owned:
		return StateGranting
	case s.writing:
		return StateWriting
	case s.revision == 0 || s.record.Owner == self:
		return StateUnknown
	default:
		return StateRemote
	}
}

// confirmed reports whether this node has a valid confirmation of its ownership. It is called with s.mu held.
func (s *shard) confirmed(now time.Time) bool {
	return now.Before(s.receivedPromiseUntil) || now.Before(s.readValidUntil)
}
