package confsync

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is the number of entry processes of a data centre that watch the store.
	Watchers = 2
	// PeerSetSize is the number of other entry processes that an entry keeps sessions with in a large fleet.
	PeerSetSize = 12
)

// weight is the rendezvous hash of a member for a subject; the lowest wins.
func weight(subject, process string) uint64 {
	return xxhash.Sum64String(subject + "\x00" + process)
}

// sortByWeight orders members by their weight for a subject.
func sortByWeight(subject string, members []Member) {
	weights := make(map[string]uint64, len(members))
	for _, member := range members {
		weights[member.Process] = weight(subject, member.Process)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(weights[a.Process], weights[b.Process]),
			strings.Compare(a.Process, b.Process))
	})
}

// PeerSet returns the entry processes that self keeps sessions with: all others in a small fleet, and otherwise
// PeerSetSize by rendezvous hash, one of each data centre first.
func PeerSet(self string, members []Member) []Member {
	others := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Process != self {
			others = append(others, member)
		}
	}
	if len(others) <= PeerSetSize {
		return others
	}
	sortByWeight("peers\x00"+self, others)
	var chosen, rest []Member
	seen := map[string]bool{}
	for _, member := range others {
		if seen[member.DataCentre] {
			rest = append(rest, member)
			continue
		}
		seen[member.DataCentre] = true
		chosen = append(chosen, member)
	}
	return append(chosen, rest...)[:PeerSetSize]
}

func (n *Node) entries() []Member {
	if n.cfg.Members == nil {
		return nil
	}
	return n.cfg.Members.Entries()
}

// voters returns the processes that the majority rule counts. n.mu must be held.
func (n *Node) voters() []string {
	var voters []string
	if n.cfg.Store != nil {
		voters = append(voters, n.cfg.Self)
	}
	for _, member := range n.peerSet {
		voters = append(voters, member.Process)
	}
	return voters
}

// isElected reports whether this process is among the watchers of its data centre. Processes of the peer set that were
// not heard lately count as dead. n.mu must be held.
func (n *Node) isElected(now time.Time) bool {
	subject := "watchers\x00" + n.cfg.DataCentre
	own := weight(subject, n.cfg.Self)
	silent := n.silentPeers(now)
	ahead := 0
	for _, member := range n.entries() {
		if member.DataCentre != n.cfg.DataCentre || member.Process == n.cfg.Self || member.Gone || silent[member.Process] {
			continue
		}
		if weight(subject, member.Process) < own {
			ahead++
		}
	}
	return ahead < Watchers
}

// silentPeers returns the processes that should be heard directly and are not. n.mu must be held.
func (n *Node) silentPeers(now time.Time) map[string]bool {
	silent := map[string]bool{}
	for _, member := range n.peerSet {
		if now.Sub(n.heard[member.Process].at) > n.heardLimit() {
			silent[member.Process] = true
		}
	}
	return silent
}

// dataCentreEntries returns the number of entries in this data centre, at least one.
func (n *Node) dataCentreEntries() int {
	count := 0
	for _, member := range n.entries() {
		if member.DataCentre == n.cfg.DataCentre && !member.Gone {
			count++
		}
	}
	return max(count, 1)
}
