package peering

import (
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// waitDemand waits until all processes know the same demand of priority 0 over all of them.
func (f *testFleet) waitDemand(t *testing.T, want backlog.Demand) {
	t.Helper()
	eventually(t, fmt.Sprintf("all know the demand %+v", want), func() bool {
		for _, n := range f.nodes {
			if n.backlog.AsUrgent("model", 0, time.Now()) != want {
				return false
			}
		}
		return true
	})
}

// Guards against demand in a large fleet that is not known, counted twice, kept after the requests are served, or kept after the
// process or its relay has ended.
func TestDemandIsKnownInLargeFleet(t *testing.T) {
	f := startFleet(t, 20, 3)
	urgent := func(requests int) backlog.Levels {
		return backlog.Levels{0: {Requests: requests, MemoryTokens: 100 * requests}, 2: {Requests: 5, MemoryTokens: 500}}
	}
	for _, n := range f.nodes {
		n.backlog.SetOwn("model", urgent(1))
	}
	f.waitDemand(t, backlog.Demand{Requests: 20, MemoryTokens: 2000})
	f.nodes[19].backlog.SetOwn("model", urgent(4)) // a subscriber
	f.waitDemand(t, backlog.Demand{Requests: 23, MemoryTokens: 2300})
	for lost := 1; lost <= 2; lost++ {
		f.stop(t, 0) // a relay
		f.waitDemand(t, backlog.Demand{Requests: 23 - lost, MemoryTokens: 100 * (23 - lost)})
	}
	before := f.nodes[17].demandChanges.Load()
	for _, n := range f.nodes {
		n.backlog.SetOwn("model", nil)
	}
	f.waitDemand(t, backlog.Demand{})
	eventually(t, "the requests of a process are tried again", func() bool { return f.nodes[17].demandChanges.Load() > before })
}

// Guards against a process that hangs with an urgent request in its queue and holds others back until its connection counts as dead, and
// against requests that are not tried again when its report expires. The demand also goes to a third process, which hears of the end.
func TestReportOfHungProcessExpires(t *testing.T) {
	a, third := startNode(t, "a"), startNode(t, "third")
	members := map[string]relay.Member{"a": {Address: a.address}, "third": {Address: third.address}}
	a.mesh.SetMembers(members)
	third.mesh.SetMembers(members)
	eventually(t, "connected", func() bool { return a.mesh.Connected() == 1 && third.mesh.Connected() == 1 })
	var sent atomic.Int64
	hung := transport.NewPeer(a.address, transport.TCP{Dialer: &net.Dialer{}}, &transport.Options{
		Hello:             transport.NewHello(wirev1.Role_ROLE_ENTRY, &configv1.ProcessSettings{Name: "hung", Host: "hung", DataCentre: "here"}, "127.0.0.1:1"),
		HeartbeatInterval: time.Minute, HeartbeatTimeout: time.Minute, Logger: zap.NewNop(),
		HeartbeatTo: func(*transport.Session) *wirev1.Heartbeat {
			sent.Store(time.Now().UnixNano())
			return &wirev1.Heartbeat{Link: wirev1.Link_LINK_SUBSCRIBER, Coverage: wirev1.Coverage_COVERAGE_GROUP, Processes: 1, Waiting: []*wirev1.WaitingDemand{
				{Service: "model", Priority: 0, Requests: 1, MemoryTokens: 100}, {Service: "model", Priority: math.MinInt32, Requests: math.MaxUint32, MemoryTokens: math.MaxUint64},
			}}
		},
	})
	defer hung.Close()
	held := func(n *node) bool { return n.backlog.MoreUrgent("model", 2, time.Now()).Requests > 0 }
	eventually(t, "a holds back", func() bool { return held(a) })
	eventually(t, "the third process holds back", func() bool { return held(third) })
	before := a.demandChanges.Load()
	eventually(t, "the requests of a are tried again", func() bool { return a.demandChanges.Load() > before })
	took := time.Since(time.Unix(0, sent.Load()))
	if held(a) || took < backlog.ReportLifetime || a.mesh.session("hung") == nil {
		t.Errorf("held back after the report expired: %v; tried again after %v; session %v", held(a), took, a.mesh.session("hung"))
	}
	eventually(t, "the third process does not hold back", func() bool { return !held(third) })
	t.Logf("held back for %v, at the third process for at most %v", took, time.Since(time.Unix(0, sent.Load())))
}
