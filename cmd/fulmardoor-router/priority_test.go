package main

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/platform"
)

// Guards against routers that do not exchange what waits at them, and against --fleet-priority=false without an effect, at the router that
// reports or at the one that reads the reports.
func TestFleetPriorityFlag(t *testing.T) {
	for _, c := range []struct{ from, to bool }{{true, true}, {false, true}, {true, false}} {
		members := make(map[string]relay.Member)
		start := func(name string, fleetPriority bool) *router {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			port := listener.Addr().(*net.TCPAddr).Port
			r := newRouter("", &platform.Settings{Name: name, Host: "127.0.0.1", DataCentre: "here", FirstPort: port, StoreAddress: "127.0.0.1:2"},
				runOptions{fleetPriority: fleetPriority}, zap.NewNop())
			t.Cleanup(func() { r.mesh.SetMembers(nil); _ = listener.Close() })
			go func() { _ = r.mesh.Serve(listener) }()
			members[name] = relay.Member{Address: r.peerAddress()}
			return r
		}
		from, to := start("from", c.from), start("to", c.to)
		from.mesh.SetMembers(members)
		to.mesh.SetMembers(members)
		known := func() bool { return to.backlog.MoreUrgent("model", 1, time.Now()).Requests > 0 }
		within := func(limit time.Duration, condition func() bool) bool {
			for deadline := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					return false
				}
			}
			return true
		}
		if !within(5*time.Second, func() bool { return from.mesh.Connected() == 1 && to.mesh.Connected() == 1 }) {
			t.Fatal("not connected")
		}
		from.backlog.SetOwn("model", backlog.Levels{0: {Requests: 1, MemoryTokens: 10}})
		wait := 5 * time.Second
		if !c.from || !c.to {
			wait = time.Second // longer than the interval of heartbeats
		}
		if got := within(wait, known); got != (c.from && c.to) {
			t.Errorf("%+v: demand is known: %v", c, got)
		}
	}
}

// Guards against --refuse-at-once without an effect.
func TestRefuseAtOnceFlag(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		settings := &platform.Settings{Name: "a", Host: "127.0.0.1", DataCentre: "here", FirstPort: 1, StoreAddress: "127.0.0.1:2"}
		r := newRouter("", settings, runOptions{refuseAtOnce: refuse}, zap.NewNop())
		if r.gateway.RefuseAtOnce != refuse || r.gateway.Backlog == nil {
			t.Errorf("refuse at once: %v, want %v; backlog %v", r.gateway.RefuseAtOnce, refuse, r.gateway.Backlog)
		}
	}
}
