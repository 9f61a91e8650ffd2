package peering

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

// testFleet is a fleet with relays.
type testFleet struct {
	nodes   []*node
	members map[string]relay.Member
}

// startFleet starts processes that are spread over data centres. The first ones of each have the most processor time and become relays.
func startFleet(t *testing.T, processes, dataCentres int) *testFleet {
	t.Helper()
	f := &testFleet{members: make(map[string]relay.Member)}
	for i := range processes {
		dataCentre := fmt.Sprintf("dc-%d", i%dataCentres)
		n := startMember(t, fmt.Sprintf("p-%02d", i), dataCentre, float64(processes-i))
		n.limiter.SetProcesses(processes)
		f.nodes = append(f.nodes, n)
		f.members[n.mesh.options.Name] = relay.Member{Address: n.address, DataCentre: dataCentre, Cores: n.mesh.options.Cores}
	}
	for _, n := range f.nodes {
		n.mesh.SetMembers(f.members)
	}
	f.waitKnown(t, processes)
	return f
}

func startMember(t testing.TB, name, dataCentre string, cores float64) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{board: placement.NewBoard(dataCentre, nil), limiter: quota.NewLimiter(quota.Tolerance{Window: time.Second}, time.Now()),
		prompts: quarantine.NewList(), limits: upstreamrate.New(name, time.Now()), address: listener.Addr().String(), listener: listener}
	n.backlog = backlog.New(func() { n.mesh.NotifyDemandChanged() })
	n.mesh = New(Options{
		Backlog: n.backlog, OnDemand: func() { n.demandChanges.Add(1) },
		Name: name, Host: name, DataCentre: dataCentre, Address: n.address, Cores: cores, Board: n.board, Limiter: n.limiter, Quarantine: n.prompts,
		Limits: n.limits, Logger: zap.NewNop(),
		OnUpstreams: func(_ string, list *upstreamlist.List) {
			n.fed.set(list)
			n.mesh.PublishUpstreams(list)
		},
		UpstreamsCurrent: func() bool { return !n.upstreamsLost.Load() },
		StoreContact:     func() bool { return !n.storeLost.Load() }, OnStoreRegained: func() {
			n.mesh.ListsFrom() // as the followers of the store do
			n.storeRegained.Add(1)
		}, Version: n.version.Load, Document: func() []byte { return nil }, OnNewerVersion: func(_ string, version int64) { n.newerVersion.Store(version) },
	})
	n.prompts.OnReport(n.mesh.SendPromptReport)
	n.board.OnChange(n.mesh.NotifyWorkChanged, func() { n.capacityChanges.Add(1) })
	n.board.Update([]*fleet.Upstream{{ID: "d", Service: "model", Stage: fleet.StageDecode}, {ID: "e", Service: "model", Stage: fleet.StageDecode}})
	go func() { _ = n.mesh.Serve(&countingListener{listener, &n.accepted}) }()
	return n
}

// waitKnown waits until each process hears of a number of processes, itself included.
func (f *testFleet) waitKnown(t *testing.T, processes int) {
	t.Helper()
	eventually(t, fmt.Sprintf("all know %d processes", processes), func() bool {
		for _, n := range f.nodes {
			if n.mesh.KnownProcesses() != processes {
				return false
			}
		}
		return true
	})
}

// stop ends a process: its sessions and its listener close.
func (f *testFleet) stop(t *testing.T, i int) {
	t.Helper()
	n := f.nodes[i]
	f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
	_ = n.listener.Close()
	n.mesh.SetMembers(nil)
	n.closeSessions()
}

func (n *node) closeSessions() {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	for session := range n.mesh.links {
		session.Close()
	}
}

// waitRequests waits until all processes count the same requests at an engine.
func (f *testFleet) waitRequests(t *testing.T, upstream string, want int) {
	t.Helper()
	service := &fleet.Service{Name: "model", Engine: &fleet.Engine{KVTokens: 1000}}
	eventually(t, fmt.Sprintf("all count %d requests at %s", want, upstream), func() bool {
		for _, n := range f.nodes {
			for _, engine := range n.board.Use(service) {
				if engine.Upstream.ID == upstream && engine.Requests != want {
					return false
				}
			}
		}
		return true
	})
}

// Guards against processes of a large fleet that count the work of others not at all or twice, in calm and after the relays of a data
// centre were lost, one after the other.
func TestWorkIsKnownInLargeFleet(t *testing.T) {
	f := startFleet(t, 20, 3)
	var work []*placement.Work
	for i, n := range f.nodes {
		work = append(work, n.board.BeginRun("d", 1), n.board.BeginRun("e", 1))
		if i%2 == 0 {
			work[len(work)-1].End()
		}
	}
	f.waitRequests(t, "d", 20)
	f.waitRequests(t, "e", 10)
	for lost := 1; lost <= 3; lost++ {
		f.stop(t, 0) // the first process is a relay of dc-0, dc-1 and dc-2 in turn
		f.waitRequests(t, "d", 20-lost)
		f.waitKnown(t, 20-lost)
	}
	f.nodes[len(f.nodes)-1].board.BeginRun("d", 1)
	f.waitRequests(t, "d", 18)
	for _, w := range work {
		w.End()
	}
	f.waitRequests(t, "d", 1)
	f.waitRequests(t, "e", 0)
}

// Guards against charges of a process in a large fleet that others hear of twice or never, also after its relay was lost.
func TestChargesAreKnownInLargeFleet(t *testing.T) {
	f := startFleet(t, 20, 3)
	account := &fleet.Account{Name: "x", Rate: 1e-6, Burst: 2e6}
	for _, n := range f.nodes {
		n.limiter.Admit(account, 0, time.Now()) // creates the bucket, with an equal share of the burst
	}
	level := func(n *node) float64 { return n.limiter.Admit(account, 1e9, time.Now()).Level }
	charge := func(from *node, amount float64) {
		t.Helper()
		before := make(map[*node]float64)
		for _, n := range f.nodes {
			before[n] = level(n)
		}
		if !from.limiter.Admit(account, amount, time.Now()).OK {
			t.Fatal("not admitted")
		}
		eventually(t, "all deduct the charge once", func() bool {
			for _, n := range f.nodes {
				if deducted := before[n] - level(n); deducted < amount-1 || deducted > amount+1 {
					return false
				}
			}
			return true
		})
	}
	time.Sleep(2 * heartbeatInterval) // the first totals are the baseline
	charge(f.nodes[19], 1000)
	charge(f.nodes[0], 2000)
	f.stop(t, 0)
	f.waitKnown(t, 19)
	time.Sleep(2 * heartbeatInterval)
	charge(f.nodes[18], 3000) // its relay was the one that ended
	time.Sleep(2 * heartbeatInterval)
	for _, n := range f.nodes {
		if l := level(n); l < 2e6/20-6001 || l > 2e6/20-5999 {
			t.Errorf("%s: level %.0f, want %.0f", n.mesh.options.Name, l, 2e6/20-6000.0)
		}
	}
}

// Guards against prompts that crash further engines because a process that is not connected directly does not hear of them.
func TestPromptReportsReachLargeFleet(t *testing.T) {
	f := startFleet(t, 20, 3)
	for i, n := range []int{19, 5, 0} {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		f.nodes[n].prompts.RecordCrash(quarantine.Crash{Upstream: string(rune('u' + i)), Request: string(rune('r' + i)), Parts: []string{"bad"}, At: at})
	}
	eventually(t, "all block", func() bool {
		for _, n := range f.nodes {
			if !n.prompts.Check([]string{"bad"}, time.Now()).Blocked {
				return false
			}
		}
		return true
	})
}

// Guards against heartbeats that trigger each other in a large fleet without any change.
func TestNoMessagesWithoutChangeInLargeFleet(t *testing.T) {
	f := startFleet(t, 20, 3)
	f.nodes[7].board.BeginRun("d", 1)
	f.waitRequests(t, "d", 1)
	f.nodes[7].backlog.SetOwn("model", backlog.Levels{0: {Requests: 1, MemoryTokens: 10}})
	f.waitDemand(t, backlog.Demand{Requests: 1, MemoryTokens: 10})
	time.Sleep(200 * time.Millisecond)
	count := func() (changes int64) {
		for _, n := range f.nodes {
			changes += n.capacityChanges.Load() + n.demandChanges.Load()
		}
		return changes
	}
	before := count()
	time.Sleep(time.Second)
	if changes := count() - before; changes > 0 {
		t.Errorf("%d changes in a second without any", changes)
	}
}

// Guards against a limited upstream that gets more requests because the processes of a large fleet do not find the issuer of its permits.
func TestPermitsInLargeFleet(t *testing.T) {
	f := startFleet(t, 20, 3)
	upstream := &fleet.Upstream{ID: "d", Incarnation: 1}
	for _, n := range f.nodes {
		n.mesh.options.Limits.Connect(n.mesh)
		n.mesh.options.Limits.SetProcesses(20)
	}
	now := time.Now()
	f.nodes[19].mesh.options.Limits.Observe(upstream, upstreamrate.NewStatement(0.5), now, now)
	eventually(t, "all know the limit", func() bool {
		for _, n := range f.nodes {
			if !n.mesh.options.Limits.Limited(upstream, time.Now()) {
				return false
			}
		}
		return true
	})
	issuers := make(map[string]bool)
	for _, n := range f.nodes {
		permit := n.mesh.options.Limits.Acquire(t.Context(), upstream)
		if permit.Issuer == "" {
			t.Errorf("%s: no issuer", n.mesh.options.Name)
		}
		issuers[permit.Issuer] = true
	}
	t.Logf("asked: %v", issuers)
}

// Guards against charges that are deducted twice while the processes of a large fleet, relays among them, are restarted one after the other: accounts within
// their rate were refused.
func TestChargesAreCountedOnceInRollingRestart(t *testing.T) {
	f := startFleet(t, 20, 3)
	account := &fleet.Account{Name: "x", Rate: 1e-6, Burst: 2e9}
	level := func(n *node) float64 { return n.limiter.Admit(account, 1e12, time.Now()).Level }
	charged := 0.0
	charge := func(n *node) {
		if n.limiter.Admit(account, 1000, time.Now()).OK {
			charged += 1000
		}
	}
	observers := f.nodes[12:]
	before := make(map[*node]float64)
	for _, n := range f.nodes {
		before[n] = level(n)
	}
	for round := range 8 {
		old := f.nodes[0]
		f.stop(t, 0)
		for range 20 {
			for _, n := range f.nodes {
				charge(n)
			}
			time.Sleep(20 * time.Millisecond)
		}
		n := startMember(t, old.mesh.options.Name, old.mesh.options.DataCentre, old.mesh.options.Cores)
		n.limiter.SetProcesses(20)
		f.members[n.mesh.options.Name] = relay.Member{Address: n.address, DataCentre: n.mesh.options.DataCentre, Cores: n.mesh.options.Cores}
		f.nodes = append(f.nodes, n)
		for _, other := range f.nodes {
			other.mesh.SetMembers(f.members)
		}
		for range 20 {
			for _, n := range f.nodes {
				charge(n)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, n := range observers {
			if deducted := before[n] - level(n); deducted > charged+1 {
				t.Errorf("round %d: %s deducted %.0f of %.0f", round, n.mesh.options.Name, deducted, charged)
			}
		}
	}
	time.Sleep(time.Second)
	for _, n := range observers {
		if deducted := before[n] - level(n); deducted > charged+1 || deducted < 0.75*charged {
			t.Errorf("at the end: %s deducted %.0f of %.0f", n.mesh.options.Name, deducted, charged)
		}
	}
}
