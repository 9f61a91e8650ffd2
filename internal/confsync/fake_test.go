package confsync

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// fakeStore is a key-value service with the faults that the tests need. Methods that confsync does not call are missing.
type fakeStore struct {
	kv.Store

	mu       sync.Mutex
	revision int64
	pairs    map[string]kv.Pair
	events   []kv.Event
	changed  chan struct{}
	down     bool
	// old is an earlier state that List answers with.
	old map[string]kv.Pair
	// oldRevision is the revision of old.
	oldRevision int64
	// loseAnswers is the number of writes that take effect without an answer.
	loseAnswers int
	// afterLost is called after each of these writes.
	afterLost func(*fakeStore)
	// silent turns off progress notices.
	silent bool
	lists  int
}

func newFakeStore() *fakeStore {
	return &fakeStore{pairs: map[string]kv.Pair{}, changed: make(chan struct{})}
}

func (s *fakeStore) Get(_ context.Context, key string) (kv.Pair, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, ok := s.pairs[key]
	switch {
	case s.down:
		return kv.Pair{}, kv.ErrUnavailable
	case !ok:
		return kv.Pair{}, kv.ErrNotFound
	}
	return pair, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]kv.Pair, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, kv.ErrUnavailable
	}
	if prefix == Prefix {
		s.lists++
	}
	from, revision := s.pairs, s.revision
	if s.old != nil {
		from, revision = s.old, s.oldRevision
	}
	var found []kv.Pair
	for key, pair := range from {
		if strings.HasPrefix(key, prefix) {
			found = append(found, pair)
		}
	}
	return found, revision, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, revision, _ int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, kv.ErrUnavailable
	}
	if s.pairs[key].ModRevision != revision {
		return 0, kv.ErrConflict
	}
	s.put(key, value)
	if s.loseAnswers > 0 {
		s.loseAnswers--
		if s.afterLost != nil {
			s.afterLost(s)
		}
		return 0, kv.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// put writes a pair. s.mu must be held.
func (s *fakeStore) put(key string, value []byte) {
	s.revision++
	pair := kv.Pair{Key: key, Value: value, ModRevision: s.revision}
	s.pairs[key] = pair
	s.events = append(s.events, kv.Event{Pair: pair})
	s.wake()
}

func (s *fakeStore) remove(key string) {
	s.set(func(s *fakeStore) {
		s.revision++
		delete(s.pairs, key)
		s.events = append(s.events, kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision}, Deleted: true})
	})
}

func (s *fakeStore) write(team, text string) (revision uint64) {
	s.set(func(s *fakeStore) {
		s.put(Prefix+team, []byte(text))
		revision = uint64(s.revision)
	})
	return revision
}

// wake ends the wait of all watches. s.mu must be held.
func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	s.wake()
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, from int64) (<-chan kv.WatchUpdate, error) {
	updates := make(chan kv.WatchUpdate)
	go func() {
		defer close(updates)
		for {
			s.mu.Lock()
			changed, update, silent := s.changed, s.updateSince(prefix, from), s.silent
			s.mu.Unlock()
			if update.Err != nil || len(update.Events) > 0 || !silent {
				select {
				case <-ctx.Done():
					return
				case updates <- update:
				}
			}
			if update.Err != nil {
				return
			}
			from = update.Revision + 1
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-time.After(400 * time.Millisecond):
			}
		}
	}()
	return updates, nil
}

func (s *fakeStore) updateSince(prefix string, from int64) kv.WatchUpdate {
	if s.down {
		return kv.WatchUpdate{Err: kv.ErrUnavailable}
	}
	update := kv.WatchUpdate{Revision: s.revision}
	for _, event := range s.events {
		if event.Pair.ModRevision >= from && strings.HasPrefix(event.Pair.Key, prefix) {
			update.Events = append(update.Events, event)
		}
	}
	return update
}

// gate is one process's way to the store, which can be cut.
type gate struct {
	*fakeStore
	cut atomic.Bool
}

func (g *gate) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if g.cut.Load() {
		return nil, 0, kv.ErrUnavailable
	}
	return g.fakeStore.List(ctx, prefix)
}

func (g *gate) Watch(ctx context.Context, prefix string, from int64) (<-chan kv.WatchUpdate, error) {
	if g.cut.Load() {
		return nil, kv.ErrUnavailable
	}
	updates, err := g.fakeStore.Watch(ctx, prefix, from)
	passed := make(chan kv.WatchUpdate)
	go func() {
		defer close(passed)
		for update := range updates {
			if g.cut.Load() {
				continue // The connection is silent until ctx ends.
			}
			select {
			case <-ctx.Done():
			case passed <- update:
			}
		}
	}()
	return passed, err
}

// fleet connects nodes by a network that loses messages and can be cut.
type fleet struct {
	t     testing.TB
	store *fakeStore
	loss  float64
	delay time.Duration

	mu      sync.Mutex
	nodes   map[string]*Node
	members []Member
	stops   map[string]func()
	gates   map[string]*gate
	random  map[string]*rand.Rand
	sides   map[string]int
	// connected holds the sessions of each process.
	connected map[string][]string
	// bytes counts what each process sent, without heartbeats.
	bytes map[string]int
	// noPull makes pulls fail at once.
	noPull bool
}

func newFleet(t testing.TB, store *fakeStore) *fleet {
	return &fleet{
		t: t, store: store, delay: time.Millisecond,
		gates: map[string]*gate{},
		nodes: map[string]*Node{}, stops: map[string]func(){}, random: map[string]*rand.Rand{},
		sides: map[string]int{}, bytes: map[string]int{},
	}
}

// Entries implements Members.
func (f *fleet) Entries() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// addEntries declares entries over data centres and starts them.
func (f *fleet) addEntries(count, dataCentres int) {
	for i := range count {
		f.members = append(f.members, Member{Process: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres)})
	}
	for _, m := range f.members {
		f.startEntry(m.Process, m.DataCentre)
	}
}

func (f *fleet) startEntry(name, dataCentre string) *Node {
	f.gates[name] = &gate{fakeStore: f.store}
	return f.start(name, dataCentre, f.gates[name])
}

// start starts a node anew, with empty memory.
func (f *fleet) start(name, dataCentre string, store kv.Store) *Node {
	n := New(Config{Self: name, DataCentre: dataCentre, Store: store, Members: f, Peers: &fleetPeers{f, name}})
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { n.Run(ctx) })
	work.Go(func() { f.beat(ctx, name, n) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = n
	f.stops[name] = func() { cancel(); work.Wait() }
	return n
}

func (f *fleet) stop(name string) {
	f.mu.Lock()
	stop := f.stops[name]
	delete(f.nodes, name)
	delete(f.stops, name)
	f.mu.Unlock()
	stop()
}

func (f *fleet) stopAll() {
	for name := range f.all() {
		f.stop(name)
	}
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) all() map[string]*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]*Node{}
	for name, n := range f.nodes {
		all[name] = n
	}
	return all
}

// cut puts processes on a side of their own; messages pass within a side only.
func (f *fleet) cut(side int, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.sides[name] = side
	}
}

// pass delays a message and reports whether it arrives.
func (f *fleet) pass(from, to string, message proto.Message) (*Node, bool) {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	link := from + ">" + to
	if f.random[link] == nil {
		seed := fnv.New64a()
		_, _ = seed.Write([]byte(link))
		f.random[link] = rand.New(rand.NewPCG(seed.Sum64(), 1))
	}
	if _, isHeartbeat := message.(*wirev1.Heartbeat); !isHeartbeat {
		f.bytes[from] += proto.Size(message)
	}
	target, ok := f.nodes[to]
	return target, ok && f.sides[from] == f.sides[to] && f.random[link].Float64() >= f.loss
}

func (f *fleet) beat(ctx context.Context, name string, n *Node) {
	for ctx.Err() == nil {
		for _, peer := range (&fleetPeers{f, name}).Peers() {
			heartbeat := &wirev1.Heartbeat{}
			n.FillHeartbeat(heartbeat)
			go func() {
				if target, ok := f.pass(name, peer.Name(), heartbeat); ok {
					target.OnHeartbeat(name, heartbeat)
				}
			}()
		}
		sleep(ctx, DefaultHeartbeatInterval)
	}
}

type fleetPeers struct {
	fleet *fleet
	self  string
}

// Peers implements Peers: entries have sessions with their peer sets, which work both ways, and sidecars with all
// entries.
func (p *fleetPeers) Peers() []Peer {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	var peers []Peer
	isEntry := strings.HasPrefix(p.self, "entry")
	for _, name := range p.fleet.sessions(p.self) {
		peers = append(peers, &link{p.fleet, p.self, name})
	}
	for name := range p.fleet.nodes {
		if isEntry && !strings.HasPrefix(name, "entry") {
			peers = append(peers, &link{p.fleet, p.self, name})
		}
	}
	return peers
}

// sessions returns the entries that a process has sessions with. f.mu must be held.
func (f *fleet) sessions(self string) []string {
	if f.connected == nil {
		f.connected = map[string][]string{}
		for _, m := range f.members {
			for _, other := range PeerSet(m.Process, f.members) {
				f.connect(m.Process, other.Process)
				f.connect(other.Process, m.Process)
			}
		}
	}
	if _, isEntry := f.connected[self]; !isEntry {
		for _, m := range f.members {
			f.connect(self, m.Process)
		}
	}
	return f.connected[self]
}

func (f *fleet) connect(from, to string) {
	if !slices.Contains(f.connected[from], to) {
		f.connected[from] = append(f.connected[from], to)
	}
}

type link struct {
	fleet    *fleet
	from, to string
}

func (l *link) Name() string { return l.to }

func (l *link) Push(ctx context.Context, push *wirev1.ConfigPush) error {
	target, ok := l.fleet.pass(l.from, l.to, push)
	if !ok {
		<-ctx.Done()
		return errors.New("push lost")
	}
	target.HandlePush(l.from, push)
	return nil
}

func (l *link) Pull(ctx context.Context, pull *wirev1.ConfigPull) (*wirev1.ConfigPullReply, error) {
	l.fleet.mu.Lock()
	noPull := l.fleet.noPull
	l.fleet.mu.Unlock()
	if noPull {
		return nil, errors.New("no pulls")
	}
	target, ok := l.fleet.pass(l.from, l.to, pull)
	if ok {
		reply := target.HandlePull(pull)
		if _, ok = l.fleet.pass(l.to, l.from, reply); ok {
			return reply, nil
		}
	}
	<-ctx.Done()
	return nil, errors.New("pull lost")
}

// teamText returns a document of a team with one account and one key.
func teamText(team string, rate int) string {
	return fmt.Sprintf("[document]\nteam = %s\n[account \"%s-app\"]\nrate = %d\nburst = %d\n", team, team, rate, rate*10)
}
