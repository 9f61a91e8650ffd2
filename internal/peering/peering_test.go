package peering

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

// node is one process in a test.
type node struct {
	mesh            *Mesh
	board           *placement.Board
	limiter         *quota.Limiter
	backlog         *backlog.Backlog
	demandChanges   atomic.Int64
	prompts         *quarantine.List
	limits          *upstreamrate.Limits
	version         atomic.Int64
	newerVersion    atomic.Int64
	capacityChanges atomic.Int64
	address         string
	listener        net.Listener
	fed             fedList
	storeLost       atomic.Bool
	upstreamsLost   atomic.Bool
	storeRegained   atomic.Int64
	accepted        atomic.Int64 // connections
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func startNode(t testing.TB, name string) *node {
	t.Helper()
	return startMember(t, name, "here", 1)
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("condition not met within 5 s: %s", what)
}

// Guards against processes that place requests on the same engine without knowing each other's load, against a newer
// configuration that is not announced, and against two processes that trigger each other's heartbeats endlessly.
func TestExchange(t *testing.T) {
	a, b := startNode(t, "a"), startNode(t, "b")
	members := map[string]relay.Member{"a": {Address: a.address}, "b": {Address: b.address}}
	a.mesh.SetMembers(members)
	b.mesh.SetMembers(members)
	eventually(t, "both connected", func() bool { return a.mesh.Connected() == 1 && b.mesh.Connected() == 1 })
	service := &fleet.Service{Name: "model", Engine: &fleet.Engine{KVTokens: 1000}}
	requests := func(n *node) int { return n.board.Use(service)[0].Requests }
	work := a.board.BeginRun("d", 100)
	eventually(t, "b receives the work of a", func() bool { return requests(b) == 1 })
	time.Sleep(100 * time.Millisecond)
	before := a.capacityChanges.Load() + b.capacityChanges.Load()
	time.Sleep(time.Second)
	if messages := a.capacityChanges.Load() + b.capacityChanges.Load() - before; messages > 12 {
		t.Errorf("%d messages in a second without any change", messages)
	}
	work.End()
	eventually(t, "b receives the end of the work", func() bool { return requests(b) == 0 })
	a.version.Store(9)
	eventually(t, "b learns that a has version 9", func() bool { return b.newerVersion.Load() == 9 })
	account := &fleet.Account{Name: "x", Rate: 100, Burst: 100}
	a.limiter.SetProcesses(2)
	b.limiter.SetProcesses(2)
	eventually(t, "b receives the charges of a", func() bool {
		a.limiter.Admit(account, 100, time.Now())
		return !b.limiter.Admit(account, 100, time.Now()).OK
	})
}

// Guards against a process that closes the connection that it has just opened and opens it again, for as long as the other one does not dial: it
// was taken off the list of members while it was cut off from the store.
func TestUnlistedProcessKeepsItsConnection(t *testing.T) {
	a, b := startNode(t, "a"), startNode(t, "b")
	a.mesh.SetMembers(map[string]relay.Member{"a": {Address: a.address}, "b": {Address: b.address}})
	b.mesh.SetMembers(map[string]relay.Member{"b": {Address: b.address}})
	eventually(t, "a is connected to b", func() bool { return a.mesh.Status().Connections == 1 })
	time.Sleep(2 * time.Second)
	if count := b.accepted.Load(); count != 1 || a.mesh.Status().Connections != 1 {
		t.Errorf("b accepted %d connections, a has %d open, want one", count, a.mesh.Status().Connections)
	}
	b.version.Store(9)
	eventually(t, "a learns that b has version 9", func() bool { return a.newerVersion.Load() == 9 })
	b.mesh.SetMembers(map[string]relay.Member{"a": {Address: a.address}, "b": {Address: b.address}})
	eventually(t, "a process that is listed again exchanges reports", func() bool { return a.mesh.Connected() == 1 && b.mesh.Connected() == 1 })
	if count := a.accepted.Load() + b.accepted.Load(); count != 1 {
		t.Errorf("%d connections, want one", count)
	}
}

// Guards against processes that let prompts crash further engines because they do not know the crashes that others saw, also if they
// connect later, and against a part that stays quarantined although a request of another process reached its first event.
func TestPromptReportsReachAllProcesses(t *testing.T) {
	a, b, late := startNode(t, "a"), startNode(t, "b"), startNode(t, "late")
	members := map[string]relay.Member{"a": {Address: a.address}, "b": {Address: b.address}}
	a.mesh.SetMembers(members)
	b.mesh.SetMembers(members)
	eventually(t, "a and b connected", func() bool { return a.mesh.Connected() == 1 && b.mesh.Connected() == 1 })
	for i, n := range []*node{a, b, a} {
		at := time.Now().Add(time.Duration(i-3) * time.Second) // crashes at the same moment count as one
		n.prompts.RecordCrash(quarantine.Crash{Upstream: string(rune('u' + i)), Request: string(rune('r' + i)), Parts: []string{"bad"}, At: at})
	}
	blocked := func(n *node) bool { return n.prompts.Check([]string{"bad"}, time.Now()).Blocked }
	eventually(t, "a and b block", func() bool { return blocked(a) && blocked(b) })
	members["late"] = relay.Member{Address: late.address}
	for _, n := range []*node{a, b, late} {
		n.mesh.SetMembers(members)
	}
	eventually(t, "the process that connected later blocks", func() bool { return blocked(late) })
	late.prompts.RecordFirstEvent([]string{"bad"}, time.Now())
	eventually(t, "a first event at one process clears the part at all", func() bool { return !blocked(a) && !blocked(b) && !blocked(late) })
}

// Guards against processes that each let the same request through after its quarantine, and against one that connects later and does not
// know the request.
func TestProbesReachAllProcesses(t *testing.T) {
	a, b, late := startNode(t, "a"), startNode(t, "b"), startNode(t, "late")
	members := map[string]relay.Member{"a": {Address: a.address}, "b": {Address: b.address}}
	a.mesh.SetMembers(members)
	b.mesh.SetMembers(members)
	eventually(t, "a and b connected", func() bool { return a.mesh.Connected() == 1 && b.mesh.Connected() == 1 })
	parts := []string{quarantine.Identity("shop", "acme", "GET", "/look", nil)}
	for i := range 3 {
		// The quarantine lasts for at most two minutes.
		a.prompts.RecordCrash(quarantine.Crash{Upstream: string(rune('u' + i)), Request: string(rune('r' + i)), Parts: parts, At: time.Now().Add(-3 * time.Minute)})
	}
	eventually(t, "b knows the request", func() bool { return b.prompts.Check(parts, time.Now()).Probe })
	if decision := a.prompts.Enter(parts, time.Now()); !decision.Probe {
		t.Fatalf("the request is not let through: %+v", decision)
	}
	eventually(t, "b lets no other one through", func() bool { return b.prompts.Check(parts, time.Now()).Blocked })
	a.prompts.RecordCrash(quarantine.Crash{Upstream: "x", Request: "x", Parts: parts, At: time.Now()})
	members["late"] = relay.Member{Address: late.address}
	for _, n := range []*node{a, b, late} {
		n.mesh.SetMembers(members)
	}
	eventually(t, "all block for longer than before", func() bool {
		for _, n := range []*node{a, b, late} {
			if n.prompts.Check(parts, time.Now()).RetryAfter < 2*time.Minute-10*time.Second {
				return false
			}
		}
		return true
	})
}

// BenchmarkPermit measures a request for a permit of another process, both ends.
func BenchmarkPermit(b *testing.B) {
	first, second := startNode(b, "a"), startNode(b, "b")
	members := map[string]relay.Member{"a": {Address: first.address}, "b": {Address: second.address}}
	first.mesh.SetMembers(members)
	second.mesh.SetMembers(members)
	eventually(b, "both connected", func() bool { return first.mesh.Connected() == 1 && second.mesh.Connected() == 1 })
	limit := upstreamrate.Limit{Key: upstreamrate.Key{Upstream: "i-limited"}, Statement: upstreamrate.Statement{Named: true, PerSecond: 2.7}, HeardAt: time.Now()}
	for b.Loop() {
		if _, err := first.mesh.RequestPermit(b.Context(), "b", limit, false); err != nil {
			b.Fatal(err)
		}
	}
}
