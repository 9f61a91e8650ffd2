package peering

import (
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

// disconnect cuts one process off from the others.
func (f *testFleet) disconnect(t *testing.T, i int) {
	t.Helper()
	cut := f.nodes[i]
	name := cut.mesh.options.Name
	others := make(map[string]relay.Member)
	for other, member := range f.members {
		if other != name {
			others[other] = member
		}
	}
	for _, n := range f.nodes {
		if n == cut {
			n.mesh.SetMembers(map[string]relay.Member{name: f.members[name]})
		} else {
			n.mesh.SetMembers(others)
		}
	}
	cut.closeSessions()
	eventually(t, name+" is cut off", func() bool {
		for _, n := range f.nodes {
			if known := n.mesh.KnownProcesses(); n == cut && known != 1 || n != cut && known != len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) reconnect(t *testing.T) {
	t.Helper()
	for _, n := range f.nodes {
		n.mesh.SetMembers(f.members)
	}
	f.waitKnown(t, len(f.nodes))
}

// Guards against facts that two processes know to be gone and that come back with a third one that was cut off from them: its work, the charges before
// its cut, a quarantine that was lifted meanwhile, and a limit that its upstream withdrew.
func TestReportsOfProcessThatWasCutOff(t *testing.T) {
	f := startFleet(t, 3, 1)
	cut, inTouch := f.nodes[0], f.nodes[1:]
	account := &fleet.Account{Name: "x", Rate: 1e-6, Burst: 2e6}
	level := func(n *node) float64 { return n.limiter.Admit(account, 1e9, time.Now()).Level }
	for _, n := range f.nodes {
		n.limiter.Admit(account, 0, time.Now())
	}
	time.Sleep(2 * heartbeatInterval) // the first totals are the baseline

	work := cut.board.BeginRun("d", 1)
	before := level(inTouch[0])
	if !cut.limiter.Admit(account, 1000, time.Now()).OK {
		t.Fatal("not admitted")
	}
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		cut.prompts.RecordCrash(quarantine.Crash{Upstream: string(rune('u' + i)), Request: string(rune('r' + i)), Parts: []string{"bad"}, At: at})
	}
	limited := &fleet.Upstream{ID: "d"}
	sentAt := time.Now()
	cut.limits.Observe(limited, upstreamrate.NewStatement(2), sentAt, time.Now())
	cut.mesh.NotifyStatusChanged()

	all := func(what string, nodes []*node, holds func(n *node) bool) {
		t.Helper()
		eventually(t, what, func() bool {
			for _, n := range nodes {
				if !holds(n) {
					return false
				}
			}
			return true
		})
	}
	blocked := func(n *node) bool { return n.prompts.Check([]string{"bad"}, time.Now()).Blocked }
	isLimited := func(n *node) bool { return n.limits.Limited(limited, time.Now()) }
	charged := func(n *node, amount float64) bool { l := level(n); return l > before-amount-1 && l < before-amount+1 }
	f.waitRequests(t, "d", 1)
	all("all know the facts", inTouch, func(n *node) bool { return blocked(n) && isLimited(n) && charged(n, 1000) })

	f.disconnect(t, 0)
	work.End()
	inTouch[0].prompts.RecordFirstEvent([]string{"bad"}, time.Now())
	inTouch[0].limits.Observe(limited, upstreamrate.Statement{}, time.Now(), time.Now())
	inTouch[0].mesh.NotifyStatusChanged()
	all("they are gone at the others", inTouch, func(n *node) bool { return !blocked(n) && !isLimited(n) })
	if !blocked(cut) || !isLimited(cut) {
		t.Error("the process that is cut off knows what the others learned")
	}

	f.reconnect(t)
	returned := time.Now()
	for time.Since(returned) < 3*heartbeatInterval {
		for _, n := range inTouch {
			if blocked(n) || isLimited(n) || !charged(n, 1000) {
				t.Fatalf("%s, %v after the return: blocked %v, limited %v, level %.0f of %.0f", n.mesh.options.Name, time.Since(returned), blocked(n), isLimited(n),
					level(n), before)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.waitRequests(t, "d", 0)
	all("the process that was cut off knows that they are gone", []*node{cut}, func(n *node) bool { return !blocked(n) && !isLimited(n) })
	if !cut.limiter.Admit(account, 500, time.Now()).OK {
		t.Fatal("not admitted")
	}
	all("its new charge counts once", inTouch, func(n *node) bool { return charged(n, 1500) })
}
