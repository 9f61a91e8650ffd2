package confsync

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Watchers is the number of entry processes in each data centre that watch the store.
	Watchers = 2
	// PeerSetSize is the maximum number of entry processes in a peer set.
	PeerSetSize = 12
)

// weight returns the rendezvous hash of a process for a subject. The processes with the lowest hashes are chosen.
func weight(subject, process string) uint64 {
	return xxhash.Sum64String(subject + "\x00" + process)
}

// sortByWeight sorts members by their rendezvous hash for a subject.
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

// PeerSet returns the entry processes that self needs sessions with, because it depends on their heartbeats to elect
// watchers and to detect an outage of the store. These are all others if there are at most PeerSetSize, and otherwise
// PeerSetSize of them chosen by rendezvous hash, starting with one of each data centre.
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

// voters returns the processes of which a majority must agree that the store is unreachable. n.mu must be held.
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

// isElected reports whether this process is one of the watchers of its data centre. Unavailable members, and members of
// the peer set without a recent heartbeat, are not candidates. n.mu must be held.
func (n *Node) isElected(now time.Time) bool {
	subject := "watchers\x00" + n.cfg.DataCentre
	own := weight(subject, n.cfg.Self)
	unreachable := n.unreachablePeers(now)
	preferred := 0
	for _, member := range n.entries() {
		if member.DataCentre != n.cfg.DataCentre || member.Process == n.cfg.Self ||
			member.Unavailable || unreachable[member.Process] {
			continue
		}
		if weight(subject, member.Process) < own {
			preferred++
		}
	}
	return preferred < Watchers
}

// unreachablePeers returns the members of the peer set that have sent no heartbeat within heartbeatTimeout. n.mu must be
// held.
func (n *Node) unreachablePeers(now time.Time) map[string]bool {
	unreachable := map[string]bool{}
	for _, member := range n.peerSet {
		if now.Sub(n.peerStatuses[member.Process].heartbeatAt) > n.heartbeatTimeout() {
			unreachable[member.Process] = true
		}
	}
	return unreachable
}

// dataCentreEntries returns the number of available entry processes in this data centre, at least 1.
func (n *Node) dataCentreEntries() int {
	count := 0
	for _, member := range n.entries() {
		if member.DataCentre == n.cfg.DataCentre && !member.Unavailable {
			count++
		}
	}
	return max(count, 1)
}
