// Package ledger keeps the rate and burst of client accounts over the whole fleet. Accounts hash to shards. Each shard
// has one owner, which holds the token buckets in memory, and one successor, which takes over when the owner is gone.
//
// An owner grants tokens only while one of two witnesses confirms it: a promise of the successor not to take over, or a
// read of the shard's record in the key-value service. Both count from when they were asked for, on the owner's
// monotonic clock, and are checked after a charge was computed and before it is answered. The successor takes over by
// compare-and-swap a second (takeoverPatience) after its last promise has lapsed, and grants tokens only TakeoverWait
// later.
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
	// TakeoverWait is the time between a takeover and the first grant. The old owner may hold a confirmation for
	// PromiseTerm after the takeover.
	TakeoverWait = max(PromiseTerm, transport.FenceWindow) + 500*time.Millisecond
	// RebalanceInterval is the time between two handoffs of a node to better placed members.
	RebalanceInterval = 30 * time.Second
	// RefreshInterval is the time between two reads of all records when nothing asks for one earlier.
	RefreshInterval = 10 * time.Second

	renewInterval    = PromiseTerm / 3
	maintainInterval = 500 * time.Millisecond
	// readBelow is the remaining confirmation under which an owner also reads the record.
	readBelow = PromiseTerm / 2
	// replaceAfter is the time without a promise after which an owner names another successor. It is shorter than
	// PromiseTerm, so that an owner that is cut off from its successor only replaces it before it is replaced itself.
	replaceAfter = 2 * time.Second
	// takeoverPatience is added by the successor after its last promise, for the same reason.
	takeoverPatience = time.Second

	storeTimeout   = time.Second
	callTimeout    = time.Second
	retryDelay     = 100 * time.Millisecond
	maxRetryDelay  = time.Second
	clientRefresh  = time.Second // least time between reads of the records that charges ask for
	maxChargeTime  = 10 * time.Second
	chargeDelayMin = 20 * time.Millisecond
	chargeDelayMax = 250 * time.Millisecond
)

// LimitSource returns the limits of client accounts in the applied configuration.
type LimitSource interface {
	// Limits returns the limits of an account; ok is false if there is no such account.
	Limits(account string) (limits Limits, ok bool)
}

// Members knows the entry processes.
type Members interface {
	// Entries returns the names of the entry processes that are believed alive, sorted, the own name included.
	Entries() []string
}

// Network sends a request to another process and reads one reply.
type Network interface {
	Call(ctx context.Context, process string, open *wirev1.StreamOpen, reply proto.Message) error
}

// Config configures a Node. All fields but Gone are required.
type Config struct {
	// Self is the name of this process. No two live processes have the same name.
	Self string
	// Shards is the number of shards, equal on all nodes.
	Shards  int
	Store   kv.Store
	Limits  LimitSource
	Members Members
	Network Network
	// Gone reports that a process has ended for good. A shard whose owner and successor are both gone is taken over by
	// the best placed member. It must be a statement of the platform and not the node's own failure to reach the process.
	// Nil means that no process is ever known to be gone.
	Gone   func(process string) bool
	Logger *zap.Logger
}

// Node charges accounts and owns some of the shards.
type Node struct {
	cfg          Config
	writer       string
	takeoverWait time.Duration
	shards       []*shard
	renewSoon    chan struct{} // wakes renewLoop before its interval is over
	// lifetime is the context of work that is not bound to one request. It ends after Run.
	lifetime    context.Context
	endLifetime context.CancelFunc

	refreshing chan struct{} // holds a value while records are read

	stateMu    sync.Mutex // guards the fields below
	refreshAt  time.Time  // start of the newest read of the records
	refreshErr error      // its outcome
	readAt     time.Time  // start of the newest successful read; zero before the first
	readWanted bool       // a read of the records was asked for and has not begun
	writes     uint64
	leaving    bool
	rebalanced time.Time

	batchMu  sync.Mutex // guards batchers
	batchers map[string]*batcher
	settler  settler
}

// shard is what a node knows of one shard.
type shard struct {
	number uint32

	mu       sync.Mutex // guards the fields below
	record   record
	revision int64 // store revision of record; 0 if no record is known
	// writing is set while a write of the record is in progress or in doubt. No promise is given or asked for meanwhile.
	writing bool

	// Owner.
	held         bool // this node has the buckets of epoch record.Epoch
	stopped      bool // buckets were sent to the successor
	doubtful     bool // a handoff was not answered, so the successor may use its state
	grantsAt     time.Time
	promiseUntil time.Time
	readUntil    time.Time
	namedAt      time.Time // when the successor was named
	full         bool      // unseen accounts start with a full bucket
	emptyAt      time.Time // time at which the buckets of unseen accounts were empty
	buckets      map[string]*Bucket
	takenEpoch   uint64 // epoch of the owner that handed the shard off

	// Successor.
	promisedUntil time.Time

	// Others.
	dutiesAt     time.Time // when the duties of this node were last decided
	ownerMissing time.Time // since when a shard without successor has had no live owner; zero while it has one
}

// New returns a node. Run must be called for it to own shards and to settle charges.
func New(cfg Config) *Node {
	n := &Node{
		cfg:          cfg,
		writer:       strconv.FormatUint(transport.NewIncarnation(), 16),
		takeoverWait: TakeoverWait,
		shards:       make([]*shard, cfg.Shards),
		renewSoon:    make(chan struct{}, 1),
		refreshing:   make(chan struct{}, 1),
		rebalanced:   time.Now(),
		batchers:     make(map[string]*batcher),
	}
	for i := range n.shards {
		n.shards[i] = &shard{number: uint32(i)}
	}
	n.lifetime, n.endLifetime = context.WithCancel(context.Background())
	n.settler.init()
	return n
}

// Run maintains the node's shards until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { n.renewLoop(ctx) })
	wait.Go(func() { n.settleLoop(ctx) })
	n.maintainLoop(ctx)
	n.endLifetime()
	wait.Wait()
}

// shardOf returns the shard of an account.
func (n *Node) shardOf(account string) *shard {
	return n.shards[xxhash.Sum64String(account)%uint64(len(n.shards))]
}

// State of a shard as seen by a node.
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
	// StateWaiting means that this node has taken over and waits for TakeoverWait.
	StateWaiting State = "waiting"
	// StateUnconfirmed means that this node is the owner but has no confirmation.
	StateUnconfirmed State = "unconfirmed"
	// StateHandoff means that the buckets were sent to the successor.
	StateHandoff State = "handoff"
	// StateWriting means that a change of the owner is being written.
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

// Status lists all shards.
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
	case s.held && s.stopped:
		return StateHandoff
	case s.held && now.Before(s.grantsAt):
		return StateWaiting
	case s.held && !s.confirmed(now):
		return StateUnconfirmed
	case s.held:
		return StateGranting
	case s.writing:
		return StateWriting
	case s.revision == 0 || s.record.Owner == self:
		return StateUnknown
	default:
		return StateRemote
	}
}

// confirmed reports whether a witness confirms that this node is the owner. It is called with s.mu held.
func (s *shard) confirmed(now time.Time) bool {
	return now.Before(s.promiseUntil) || now.Before(s.readUntil)
}
