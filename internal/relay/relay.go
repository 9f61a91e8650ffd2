// Package relay decides which entry processes connect to each other and whose reports each of them passes on.
//
// It is built for fleets of some tens to a thousand processes, each of which needs to know the running work of all. Connections
// between all pairs cost messages that grow with the square of the fleet, most of them between data centres. Here two processes of each data
// centre, the relays, exchange the sums of their data centre with those of the others, and the other processes subscribe to one of them. In a small
// fleet every process is a relay, so that each hears of the others directly.
package relay

import (
	"cmp"
	"slices"
)

const (
	// fullMeshLimit is the largest fleet in which all processes are connected. At this size the connections of a process cost as
	// much as those of a relay that has some tens of subscribers.
	fullMeshLimit = 12
	// perDataCentre is the number of relays of a data centre: one, and one that is connected already when the first is lost.
	perDataCentre = 2
)

// Member is an entry process as the store lists it.
type Member struct {
	Name, Address, DataCentre string
	// Cores is the processor time of its host, in cores. Processes with more of it are preferred as relays.
	Cores float64
}

// State says what a process knows of its connection to another one.
type State int

// States of a connection.
const (
	// Unknown means that no connection was needed yet, or that the first one is being opened.
	Unknown State = iota
	Connected
	// Lost means that the connection ended or could not be opened in time.
	Lost
)

// Plan is what one process does in the fleet.
type Plan struct {
	// Relay is set if this process is a relay.
	Relay bool
	// Peers has the other relays with which a relay exchanges reports. It is empty in other processes.
	Peers map[string]bool
	// SubscribeTo is the relay that passes on this process's reports; empty for a relay and for a process that is alone.
	SubscribeTo string
	// ListFrom is the process that passes on the list of upstreams; empty for the one process that reads it for the fleet.
	ListFrom string
	// Dial has the addresses of the processes to which this process opens connections, by name.
	Dial map[string]string
	// Keep has the processes to which an open connection is kept. It has those of Dial, and others that were dialled as lost: that they are
	// connected again is no reason to close what connects them.
	Keep map[string]bool
}

// NewPlan returns the plan of a process. members are all processes by name, this one included. state returns what is known of the
// connection to another process, and current whether a process, this one included, is fit to read the list of upstreams. All processes with the
// same list and connections choose the same relays; one that is cut off from the relays of its data centre goes on to the next ones in their order,
// down to itself.
func NewPlan(self string, members map[string]Member, state func(name string) State, current func(name string) bool) Plan {
	plan := Plan{Peers: make(map[string]bool), Dial: make(map[string]string), Keep: make(map[string]bool)}
	available := func(name string) bool { return name == self || state(name) != Lost }
	var wanted []Member // relays, and those before them in their order that were lost
	var own []Member    // relays of this process's data centre
	for dataCentre, ranked := range rank(members) {
		relays := perDataCentre
		if len(members) <= fullMeshLimit {
			relays = len(ranked)
		}
		considered, chosen := choose(ranked, relays, available)
		wanted = append(wanted, considered...)
		if dataCentre == members[self].DataCentre {
			own = considered
			plan.Relay = slices.ContainsFunc(chosen, func(m Member) bool { return m.Name == self })
		}
		for _, m := range chosen {
			plan.Peers[m.Name] = true
		}
	}
	delete(plan.Peers, self)
	if !plan.Relay {
		wanted, plan.Peers, plan.SubscribeTo = own, map[string]bool{}, subscribeTo(own, state)
	}
	plan.ListFrom = listFrom(self, &plan, members, state, current)
	for _, m := range wanted {
		if m.Name == self {
			continue
		}
		plan.Keep[m.Name] = true
		// Of two relays, the one with the greater name dials. If that fails, the other one tries too.
		if !plan.Relay || m.Name < self || state(m.Name) == Lost {
			plan.Dial[m.Name] = m.Address
		}
	}
	return plan
}

// rank returns the members of each data centre, in the order in which they are preferred as relays.
func rank(members map[string]Member) map[string][]Member {
	ranked := make(map[string][]Member)
	for _, m := range members {
		ranked[m.DataCentre] = append(ranked[m.DataCentre], m)
	}
	for _, list := range ranked {
		slices.SortFunc(list, compare)
	}
	return ranked
}

// compare orders members by preference as relays.
func compare(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
}

// choose returns the first members that are available, up to a number, and those that were considered for it.
func choose(ranked []Member, count int, available func(name string) bool) (considered, chosen []Member) {
	for _, m := range ranked {
		if len(chosen) == count {
			break
		}
		considered = append(considered, m)
		if available(m.Name) {
			chosen = append(chosen, m)
		}
	}
	return considered, chosen
}

// subscribeTo returns the first relay that is connected; empty for none.
func subscribeTo(relays []Member, state func(name string) State) string {
	for _, m := range relays {
		if state(m.Name) == Connected {
			return m.Name
		}
	}
	return ""
}

// listFrom returns the process that passes on the list of upstreams to this one: its relay, or the first of the connected relays in an order that is
// the same everywhere. Those that are fit to read the list come first: one that the store does not answer, or answers again since a moment ago, gets the
// list from one that was in touch meanwhile. It is empty for the first one itself.
func listFrom(self string, plan *Plan, members map[string]Member, state func(name string) State, current func(name string) bool) string {
	if !plan.Relay {
		return plan.SubscribeTo
	}
	first := self
	for name := range plan.Peers {
		if state(name) == Connected && readsBefore(members[name], members[first], current) {
			first = name
		}
	}
	if first == self {
		return ""
	}
	return first
}

// readsBefore reports whether a reads the list of upstreams rather than b.
func readsBefore(a, b Member, current func(name string) bool) bool {
	if fit := current(a.Name); fit != current(b.Name) {
		return fit
	}
	return compare(a, b) < 0
}
