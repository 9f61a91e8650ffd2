package prefix

import "github.com/cespare/xxhash/v2"

// Rendezvous returns the n nodes with the highest random weight for a key, best first. Every caller with the same nodes,
// in whatever order, gets the same result, and a node that comes or goes changes only the results it is part of.
func Rendezvous(key uint64, nodes []string, n int) []string {
	n = min(n, len(nodes))
	if n <= 0 {
		return nil
	}
	best := make([]weighted, 0, n)
	for _, node := range nodes {
		best = insert(best, weighted{node: node, weight: mix(key ^ xxhash.Sum64String(node))}, n)
	}
	result := make([]string, len(best))
	for i := range best {
		result[i] = best[i].node
	}
	return result
}

type weighted struct {
	node   string
	weight uint64
}

// before orders by weight, and by name if two nodes have the same weight.
func (w weighted) before(other weighted) bool {
	if w.weight != other.weight {
		return w.weight > other.weight
	}
	return w.node < other.node
}

// insert puts w in its place in the ordered list, which keeps at most n nodes.
func insert(best []weighted, w weighted, n int) []weighted {
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

// mix is the finalizer of SplitMix64. Without it, the order of the nodes would depend on the highest bits of the key
// only.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
