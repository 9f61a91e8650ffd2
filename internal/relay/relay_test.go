package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleet returns members with names in random order, spread over data centres.
func fleet(processes, dataCentres int) map[string]Member {
	members := make(map[string]Member)
	for i := range processes {
		name := fmt.Sprintf("p-%04d", i)
		members[name] = Member{Name: name, Address: name, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Cores: float64(1+i%4) / 8}
	}
	return members
}

// network has the state of the connections of all processes in a test.
type network struct {
	members map[string]Member
	down    map[string]bool
	// unfit has the processes that are not fit to read the list of upstreams.
	unfit map[string]bool
	plans map[string]Plan
}

// connected reports whether one of two processes dials the other.
func (n *network) connected(a, b string) bool {
	_, dials := n.plans[a].Dial[b]
	_, dialled := n.plans[b].Dial[a]
	return !n.down[a] && !n.down[b] && (dials || dialled)
}

// settle plans anew with the connections of the plans before until nothing changes.
func (n *network) settle(t *testing.T) {
	t.Helper()
	for range 50 {
		changed := false
		next := make(map[string]Plan)
		for name := range n.members {
			if n.down[name] {
				continue
			}
			next[name] = NewPlan(name, n.members, func(other string) State {
				switch _, wanted := n.plans[name].Dial[other]; {
				case n.connected(name, other):
					return Connected
				case n.down[other], wanted, n.plans[name].Peers[other]:
					return Lost
				}
				return Unknown
			}, func(name string) bool { return !n.unfit[name] })
			changed = changed || fmt.Sprint(next[name]) != fmt.Sprint(n.plans[name])
		}
		n.plans = next
		if !changed {
			return
		}
	}
	t.Fatal("the plans do not settle")
}

// reports follows the reports of a process over the plans and returns how often each process gets them.
func (n *network) reports(from string) map[string]int {
	got := make(map[string]int)
	relay := from
	if !n.plans[from].Relay {
		relay = n.plans[from].SubscribeTo
		got[relay]++
	}
	deliver := func(relay string) {
		for name, plan := range n.plans {
			if plan.SubscribeTo == relay && name != from {
				got[name]++
			}
		}
	}
	deliver(relay)
	for peer := range n.plans[relay].Peers {
		if n.connected(relay, peer) && n.plans[peer].Peers[relay] {
			got[peer]++
			deliver(peer)
		}
	}
	return got
}

func (n *network) check(t *testing.T) {
	t.Helper()
	readers := 0
	for name, plan := range n.plans {
		if plan.ListFrom == "" {
			readers++
			for other, plan := range n.plans {
				if n.unfit[name] && plan.Relay && !n.unfit[other] {
					t.Fatalf("%s reads the list of upstreams although %s is fit to and it is not", name, other)
				}
			}
		}
		for hops := 0; plan.ListFrom != ""; hops++ {
			if hops > 2 {
				t.Fatalf("the list of upstreams reaches %s over more than two processes", name)
			}
			plan = n.plans[plan.ListFrom]
		}
	}
	if len(n.plans) > 0 && readers != 1 {
		t.Fatalf("%d processes read the list of upstreams", readers)
	}
	for from := range n.plans {
		got := n.reports(from)
		for to := range n.plans {
			if to != from && got[to] != 1 {
				t.Fatalf("%s gets the reports of %s %d times", to, from, got[to])
			}
		}
	}
}

// Guards against processes that hear of another one never or twice, in fleets of all sizes and after any of them were lost, and against a reader of the
// list of upstreams that the store does not answer while it answers others.
func TestEachProcessHearsOfEachOtherOnce(t *testing.T) {
	for _, size := range []struct{ processes, dataCentres int }{{1, 1}, {4, 4}, {12, 3}, {13, 3}, {30, 4}, {103, 6}} {
		random := rand.New(rand.NewPCG(1, uint64(size.processes)))
		n := &network{members: fleet(size.processes, size.dataCentres), down: map[string]bool{}, unfit: map[string]bool{}, plans: map[string]Plan{}}
		n.settle(t)
		n.check(t)
		for round := range 8 {
			for name := range n.members {
				n.down[name] = random.Float64() < float64(round)/8
				n.unfit[name] = random.Float64() < float64(round)/8
			}
			n.plans = map[string]Plan{}
			n.settle(t)
			n.check(t)
		}
	}
}

// Guards against a cost that grows with the square of the fleet, and against connections between data centres of all processes.
func TestConnectionsOfLargeFleets(t *testing.T) {
	for _, size := range []struct{ processes, dataCentres int }{{103, 6}, {1100, 13}} {
		n := &network{members: fleet(size.processes, size.dataCentres), down: map[string]bool{}, plans: map[string]Plan{}}
		n.settle(t)
		connections, remote := 0, 0
		for name, plan := range n.plans {
			for other := range plan.Dial {
				connections++
				if n.members[name].DataCentre != n.members[other].DataCentre {
					remote++
				}
			}
		}
		relays := perDataCentre * size.dataCentres
		if most := 2*size.processes + relays*relays/2; connections > most {
			t.Errorf("%d processes: %d connections, at most %d", size.processes, connections, most)
		}
		if most := relays * relays / 2; remote > most {
			t.Errorf("%d processes: %d connections between data centres, at most %d", size.processes, remote, most)
		}
	}
}
