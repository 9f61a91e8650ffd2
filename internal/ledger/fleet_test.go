package ledger

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv/kvtest"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

var errCut = errors.New("connection lost")

// fakeNet carries messages between nodes with delay, loss, cuts and frozen nodes.
type fakeNet struct {
	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	nodes    map[string]*Node
	cuts     map[[2]string]bool
	frozen   map[string]chan struct{}
	lossRate float64
	maxDelay time.Duration
}

func newFakeNet(seed int64) *fakeNet {
	return &fakeNet{
		random: rand.New(rand.NewSource(seed)), nodes: make(map[string]*Node), cuts: make(map[[2]string]bool),
		frozen: make(map[string]chan struct{}), maxDelay: 2 * time.Millisecond,
	}
}

// hold blocks the caller while the process is frozen.
func (f *fakeNet) hold(name string) {
	for {
		f.mu.Lock()
		wake := f.frozen[name]
		f.mu.Unlock()
		if wake == nil {
			return
		}
		<-wake
	}
}

func (f *fakeNet) freeze(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen[name] == nil {
		f.frozen[name] = make(chan struct{})
	}
}

func (f *fakeNet) wake(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if wake := f.frozen[name]; wake != nil {
		close(wake)
		delete(f.frozen, name)
	}
}

func (f *fakeNet) cut(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{a, b}] = cut
	f.cuts[[2]string{b, a}] = cut
}

// loseReplies loses all messages of one direction.
func (f *fakeNet) loseReplies(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{from, to}] = true
}

// hop carries one message; a lost or cut one is noticed only by the end of ctx.
func (f *fakeNet) hop(ctx context.Context, from, to string) (*Node, error) {
	f.mu.Lock()
	delay := time.Duration(f.random.Int63n(int64(f.maxDelay) + 1))
	lost := f.random.Float64() < f.lossRate || f.cuts[[2]string{from, to}]
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(delay)
	f.hold(to)
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.nodes[to]
	if node == nil {
		return nil, errCut
	}
	return node, nil
}

// port is the network as one process reaches it.
type port struct {
	net  *fakeNet
	name string
}

func (p port) Call(ctx context.Context, process string, open *wirev1.StreamOpen, reply proto.Message) error {
	p.net.hold(p.name)
	type answer struct {
		message proto.Message
		err     error
	}
	answers := make(chan answer, 1)
	request := proto.Clone(open).(*wirev1.StreamOpen)
	go func() {
		// The receiver works on even when the sender has given up.
		message, err := p.deliver(ctx, process, request)
		answers <- answer{message, err}
	}()
	select {
	case <-ctx.Done():
		p.net.hold(p.name)
		return ctx.Err()
	case a := <-answers:
		p.net.hold(p.name)
		if a.err == nil {
			proto.Merge(reply, a.message)
		}
		return a.err
	}
}

func (p port) deliver(ctx context.Context, process string, open *wirev1.StreamOpen) (proto.Message, error) {
	node, err := p.net.hop(ctx, p.name, process)
	if err != nil {
		return nil, err
	}
	var message proto.Message
	switch kind := open.GetKind().(type) {
	case *wirev1.StreamOpen_Charge:
		message = node.HandleCharge(ctx, kind.Charge)
	case *wirev1.StreamOpen_Settle:
		message, err = node.HandleSettle(ctx, kind.Settle)
	case *wirev1.StreamOpen_Promise:
		message = node.HandlePromise(ctx, kind.Promise)
	case *wirev1.StreamOpen_Handoff:
		message = node.HandleHandoff(ctx, kind.Handoff)
	}
	if err != nil {
		return nil, err
	}
	p.net.hold(process)
	if _, err := p.net.hop(ctx, process, p.name); err != nil {
		return nil, err
	}
	return message, nil
}

// limitTable and memberList are the node's other sources.
type limitTable map[string]Limits

func (l limitTable) Limits(account string) (Limits, bool) {
	limits, ok := l[account]
	return limits, ok
}

type memberList struct {
	mu    sync.Mutex // guards names
	names []string
}

func (m *memberList) Entries() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.names)
}

func (m *memberList) set(names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = names
}

// newStore returns a store whose calls take 1 to 3 ms, so that racing calls come in any order.
func newStore(seed uint64) *memory.Store {
	return memory.New(memory.Options{Seed: seed, Faults: memory.Faults{Delay: time.Millisecond, Jitter: 2 * time.Millisecond}})
}

// withoutFaults ends all faults of a store that fleets switch on.
func withoutFaults(f *memory.Faults) {
	f.Down, f.Hanging, f.LoseRate, f.LateBy = false, false, 0, 0
}

// fleet runs nodes in one process.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	net     *fakeNet
	store   *memory.Store
	gates   map[string]*kvtest.Gate // guarded by net.mu
	members *memberList
	limits  limitTable
	shards  int
	stops   map[string]func()
	adjust  func(n *Node) // changes a node before it runs
	ids     atomic.Uint64
}

// dropTakeoverWait lets a node grant tokens as soon as it has taken over.
func dropTakeoverWait(n *Node) { n.takeoverWait = 0 }

func newFleet(t *testing.T, seed int64, shards int, limits limitTable, names ...string) *fleet {
	f := &fleet{
		t: t, ctx: t.Context(), net: newFakeNet(seed), store: newStore(uint64(seed) + 1), members: &memberList{},
		gates: make(map[string]*kvtest.Gate), limits: limits, shards: shards, stops: make(map[string]func()), adjust: func(*Node) {},
	}
	f.members.set(names...)
	return f
}

var (
	fleetNames  = []string{"a", "b", "c"}
	oneAccount  = limitTable{"kilimo": {Rate: 1000, Burst: 10000}}
	twoAccounts = limitTable{"kilimo": {Rate: 1000, Burst: 10000}, "ubungo": {Rate: 1000, Burst: 10000}}
)

// otherOf returns the other node of a fleet of a and b.
func otherOf(name string) string {
	if name == "a" {
		return "b"
	}
	return "a"
}

// inFleet runs a test in virtual time with nodes that have just started.
func inFleet(t *testing.T, shards int, limits limitTable, names []string, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, shards, limits, names...)
		f.start(names...)
		defer f.stop()
		test(t, f)
	})
}

// gate returns the way of a process to the store. It outlives the process.
func (f *fleet) gate(name string) *kvtest.Gate {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	if f.gates[name] == nil {
		f.gates[name] = kvtest.NewGate(f.store)
		f.gates[name].Hold = func() { f.net.hold(name) }
	}
	return f.gates[name]
}

func (f *fleet) start(names ...string) {
	for _, name := range names {
		n := New(Config{
			Self: name, Shards: f.shards, Store: f.gate(name), Limits: f.limits,
			Members: f.members, Network: port{net: f.net, name: name}, Logger: zap.NewNop(),
		})
		f.adjust(n)
		f.net.mu.Lock()
		f.net.nodes[name] = n
		f.net.mu.Unlock()
		ctx, cancel := context.WithCancel(f.ctx)
		done := make(chan struct{})
		go func() {
			n.Run(ctx)
			close(done)
		}()
		f.stops[name] = func() {
			cancel()
			<-done
		}
	}
}

// crash ends a node at once; its messages are lost.
func (f *fleet) crash(name string) {
	f.net.mu.Lock()
	delete(f.net.nodes, name)
	f.net.mu.Unlock()
	f.net.wake(name)
	if stop := f.stops[name]; stop != nil {
		stop()
		delete(f.stops, name)
	}
}

// stop ends all nodes and waits for the messages that are still on their way.
func (f *fleet) stop() {
	for name := range f.stops {
		f.crash(name)
	}
	time.Sleep(10 * time.Second)
}

func (f *fleet) node(name string) *Node {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return f.net.nodes[name]
}

// owner returns the node that holds a shard and grants.
func (f *fleet) owner(shard int) string {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for name, n := range f.net.nodes {
		if n.Status()[shard].State == StateGranting {
			return name
		}
	}
	return ""
}

func (f *fleet) id() *wirev1.CallID {
	return &wirev1.CallID{Incarnation: 1, Sequence: f.ids.Add(1)}
}
