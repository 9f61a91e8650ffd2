package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/internal/ledger"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

type unlimited struct{}

func (unlimited) Limits(string) (ledger.Limits, bool) {
	return ledger.Limits{Rate: 1 << 40, Burst: 1 << 43}, true
}

type names []string

func (n names) Entries() []string { return n }

// ledgerNet reaches the other process over a session.
type ledgerNet struct {
	session *atomic.Pointer[transport.Session]
	calls   *atomic.Int64
}

func (l ledgerNet) Call(ctx context.Context, _ string, open *wirev1.StreamOpen, reply proto.Message) error {
	l.calls.Add(1)
	session := l.session.Load()
	if session == nil {
		return transport.ErrSessionClosed
	}
	return session.Call(ctx, open, reply)
}

// ledgerHandler serves the ledger's messages of one node.
func ledgerHandler(node **ledger.Node) transport.HandlerFunc {
	return func(ctx context.Context, _ *transport.Session, open *wirev1.StreamOpen, stream *transport.Stream) {
		switch kind := open.GetKind().(type) {
		case *wirev1.StreamOpen_Charge:
			_ = stream.Send((*node).HandleCharge(ctx, kind.Charge))
		case *wirev1.StreamOpen_Promise:
			_ = stream.Send((*node).HandlePromise(ctx, kind.Promise))
		case *wirev1.StreamOpen_Settle:
			if reply, err := (*node).HandleSettle(ctx, kind.Settle); err == nil {
				_ = stream.Send(reply)
			}
		}
	}
}

// ledgerPair is two nodes with one session; node 0 is meant to own what both rank for it.
type ledgerPair struct {
	nodes [2]*ledger.Node
	store *memory.Store
	wire  [2]traffic
	calls atomic.Int64
}

func newLedgerPair(b *testing.B, shards int) *ledgerPair {
	p := &ledgerPair{store: memory.New(memory.Options{})}
	var sessions [2]atomic.Pointer[transport.Session]
	members := names{"entry-0", "entry-1"}
	var options [2]*transport.Options
	for i, name := range members {
		p.nodes[i] = ledger.New(ledger.Config{
			Self: name, Shards: shards, Store: p.store, Limits: unlimited{}, Members: members,
			Network: ledgerNet{&sessions[i], &p.calls}, Logger: zap.NewNop(),
		})
		options[i] = &transport.Options{
			Hello: hello(name, wirev1.Role_ROLE_ENTRY), HeartbeatInterval: time.Minute, Logger: zap.NewNop(),
			Handler: ledgerHandler(&p.nodes[i]), OnOpen: func(s *transport.Session) { sessions[i].Store(s) },
		}
	}
	l := listen(b)
	go func() { _ = transport.Serve(countedListener{l, &p.wire[1]}, options[1]) }()
	peer := transport.NewPeer(l.Addr().String(), transport.TCP{Dialer: countedDialer{&p.wire[0]}}, options[0])
	b.Cleanup(peer.Close)
	eventually(b, "session", func() bool { return sessions[0].Load() != nil && sessions[1].Load() != nil })
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, node := range p.nodes {
		running.Go(func() { node.Run(ctx) })
	}
	b.Cleanup(func() { cancel(); running.Wait() })
	eventually(b, "owners", func() bool {
		for _, status := range p.nodes[0].Status() {
			if status.Owner == "" {
				return false
			}
		}
		return true
	})
	time.Sleep(1200 * time.Millisecond) // first promises
	return p
}

// remoteAccounts returns accounts whose shards node 1 owns.
func (p *ledgerPair) remoteAccounts(b *testing.B, count int) []string {
	var list []string
	for i := 0; len(list) < count; i++ {
		account := fmt.Sprintf("account-%05d", i)
		reply := p.nodes[1].HandleCharge(context.Background(), &wirev1.ChargeRequest{Charges: []*wirev1.Charge{
			{Id: &wirev1.CallID{Incarnation: 1, Sequence: uint64(i + 1)}, Account: account, Tokens: 1},
		}})
		if reply.GetResults()[0].GetGranted() {
			list = append(list, account)
		}
		if i > 100*count+1000 {
			b.Fatal("node 1 owns too few accounts")
		}
	}
	return list
}

// BenchmarkCharge gives the cost of one charge at another process with its settlement, against the number of accounts:
// time, processor time of both ends, bytes, segments and messages. With one caller each charge is a message of its own;
// with 64 callers charges are batched while a message is in flight.
func BenchmarkCharge(b *testing.B) {
	for _, callers := range []int{1, 64} {
		for _, count := range []int{5, 380, 3800} {
			b.Run(fmt.Sprintf("callers=%d/accounts=%d", callers, count), func(b *testing.B) { benchmarkCharge(b, callers, count) })
		}
	}
}

func benchmarkCharge(b *testing.B, callers, count int) {
	p := newLedgerPair(b, 16)
	accounts := p.remoteAccounts(b, count)
	p.wire[0].reset()
	p.wire[1].reset()
	p.calls.Store(0)
	var sequence atomic.Uint64
	cpu, begin := cpuTime(), time.Now()
	work := make(chan struct{}, callers)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range work {
				n := sequence.Add(1)
				id := &wirev1.CallID{Incarnation: 7, Sequence: n}
				account := accounts[n%uint64(len(accounts))]
				if err := p.nodes[0].Charge(context.Background(), id, account, 4200, nil); err != nil {
					b.Error(err)
				}
				p.nodes[0].Settle(id, account, 4100)
			}
		})
	}
	charges := 0
	for b.Loop() {
		work <- struct{}{}
		charges++
	}
	close(work)
	running.Wait()
	_ = p.nodes[0].Flush(context.Background())
	spent := cpuTime() - cpu
	b.ReportMetric(float64(time.Since(begin).Nanoseconds())/float64(charges), "ns/charge")
	b.ReportMetric(0, "ns/op")
	per(b, float64(spent.Nanoseconds()), charges, "cpu-ns/charge")
	per(b, float64(p.wire[0].sent.Load()), charges, "asker-B/charge")
	per(b, float64(p.wire[1].sent.Load()), charges, "owner-B/charge")
	per(b, float64(p.wire[0].writes.Load()+p.wire[1].writes.Load()), charges, "segments/charge")
	per(b, float64(p.calls.Load()), charges, "calls/charge")
}

// BenchmarkChargeOwner gives the time of one charge and its settlement inside the owner, without any message, against
// the number of accounts, and the memory of an account's bucket with 30 charges a second for ten seconds unsettled.
func BenchmarkChargeOwner(b *testing.B) {
	for _, count := range []int{5, 380, 3800} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			p := newLedgerPair(b, 16)
			accounts := p.remoteAccounts(b, count)
			before := memoryInUse()
			n := 0
			charge := func() *wirev1.CallID {
				n++
				id := &wirev1.CallID{Incarnation: 9, Sequence: uint64(n)}
				p.nodes[1].HandleCharge(context.Background(), &wirev1.ChargeRequest{
					Charges: []*wirev1.Charge{{Id: id, Account: accounts[n%count], Tokens: 4200}},
				})
				return id
			}
			const open = 300
			for range open * min(count, 100) {
				charge()
			}
			held := memoryInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				id := charge()
				_, _ = p.nodes[1].HandleSettle(context.Background(), &wirev1.SettleRequest{
					Settlements: []*wirev1.Settlement{{Id: id, Account: accounts[n%count], UsedTokens: 4100}},
				})
			}
			per(b, float64(held), open*min(count, 100), "B/open-charge")
		})
	}
}

// BenchmarkShardPromise gives the cost of keeping one shard owned while nothing else happens: bytes and processor time
// of its promises, one a second, against the number of shards of two processes that are successors of each other.
func BenchmarkShardPromise(b *testing.B) {
	for _, shards := range []int{16, 256, 1024} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			p := newLedgerPair(b, shards)
			p.wire[0].reset()
			p.wire[1].reset()
			p.calls.Store(0)
			calls := p.store.Calls()
			cpu, begin := cpuTime(), time.Now()
			for b.Loop() {
				time.Sleep(3 * time.Second)
			}
			spent, seconds := cpuTime()-cpu, time.Since(begin).Seconds()
			perSecond := func(total float64, unit string) { b.ReportMetric(total/seconds, unit) }
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(p.wire[0].sent.Load()+p.wire[1].sent.Load())/seconds/float64(shards), "B/shard/s")
			perSecond(float64(p.wire[0].sent.Load()+p.wire[1].sent.Load()), "B/s")
			perSecond(float64(p.wire[0].writes.Load()+p.wire[1].writes.Load()), "segments/s")
			perSecond(float64(p.calls.Load()), "messages/s")
			perSecond(float64(spent.Nanoseconds()), "cpu-ns/s")
			perSecond(float64(p.store.Calls().Total()-calls.Total()), "store-calls/s")
		})
	}
}
