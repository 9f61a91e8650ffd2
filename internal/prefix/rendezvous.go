package prefix

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the n nodes with the highest random weight for a key, best first (rendezvous hashing). The result
// does not depend on the order of nodes, so all callers with the same nodes choose the same ones. Adding or removing a node
// changes only the results that contain it.
func Rendezvous(key uint64, nodes []string, n int) []string {
	n = min(n, len(nodes))
	if n <= 0 {
		return nil
	}
	best := make([]weightedNode, 0, n)
	for _, node := range nodes {
		best = insert(best, weightedNode{node: node, weight: mix(key ^ xxhash.Sum64String(node))}, n)
	}
	result := make([]string, len(best))
	for i := range best {
		result[i] = best[i].node
	}
	return result
}

// weightedNode is a node with its weight for a key.
type weightedNode struct {
	node   string
	weight uint64
}

// before reports whether w ranks before other: by descending weight, then by name.
func (w weightedNode) before(other weightedNode) bool {
	if w.weight != other.weight {
		return w.weight > other.weight
	}
	return w.node < other.node
}

// insert inserts w into best, which is sorted by rank, and keeps at most n nodes.
func insert(best []weightedNode, w weightedNode, n int) []weightedNode {
	if len(best) < n {
		best = append(best, w)
	} else if w.before(best[n-1]) {
		best[n-1] = w
	} else {
		return best
	}
	for i := len(best) - 1; i > 0 && best[i].before(best[i-1]); i-- {
		best[i], best[i-1] = best[i-1], best[i]
	}
	return best
}

// mix is the finalizer of SplitMix64. Without it, the order of the nodes would depend only on the highest bits of the
// key.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
