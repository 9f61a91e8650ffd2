package scheduler

import (
	"math/bits"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// rendezvousPicker picks the candidates with the highest hash of prompt block and upstream. Every process with the same
// candidates picks the same ones, and a candidate that joins or leaves moves only its own share of the prompts.
type rendezvousPicker struct{}

func (rendezvousPicker) Pick(req *Request, candidates []Candidate, filter Filter, n int) []Candidate {
	key := req.BlockHashes[0]
	best := make([]ranked, 0, n+1)
	for i := range candidates {
		if !filter.Keep(req, &candidates[i]) {
			continue
		}
		weight := mix(key, xxhash.Sum64String(candidates[i].Upstream))
		if len(best) == n && weight <= best[n-1].weight {
			continue
		}
		best = insertRanked(best, ranked{weight, i}, n)
	}
	chosen := make([]Candidate, 0, max(len(best), PrefillQuotes))
	for _, r := range best {
		chosen = append(chosen, candidates[r.index])
	}
	return chosen
}

// Preferred returns the positions of the n names with the highest hash of key and name, best first. It ranks as the prefill
// affinity does, so that a process can connect to the upstreams that a prompt prefers before it chooses among them.
func Preferred(key uint64, names []string, n int) []int {
	best := make([]ranked, 0, n+1)
	for i, name := range names {
		weight := mix(key, xxhash.Sum64String(name))
		if len(best) == n && weight <= best[n-1].weight {
			continue
		}
		best = insertRanked(best, ranked{weight, i}, n)
	}
	positions := make([]int, len(best))
	for i, r := range best {
		positions[i] = r.index
	}
	return positions
}

type ranked struct {
	weight uint64
	index  int
}

// insertRanked keeps the n highest weights in falling order.
func insertRanked(best []ranked, r ranked, n int) []ranked {
	best = append(best, r)
	for i := len(best) - 1; i > 0 && best[i].weight > best[i-1].weight; i-- {
		best[i], best[i-1] = best[i-1], best[i]
	}
	return best[:min(n, len(best))]
}

// mix hashes a pair of hashes.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b|1)
	return (high ^ low) * 0xff51afd7ed558ccd
}

// samplePicker scores a random sample of the candidates and picks the best.
type samplePicker struct {
	random *lockedRandom
	scorer Scorer
	sample int
}

// scratch holds the buffers of one choice, so that a choice allocates only its result.
type scratch struct {
	indexes []int32
	sample  []*Candidate
	scores  []float64
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

func (p *samplePicker) Pick(req *Request, candidates []Candidate, filter Filter, n int) []Candidate {
	if n <= 0 || len(candidates) == 0 {
		return nil
	}
	work := scratches.Get().(*scratch)
	defer scratches.Put(work)
	size := max(p.sample, n)
	p.draw(work, req, candidates, filter, size)
	work.scores = work.scores[:0]
	for _, c := range work.sample {
		work.scores = append(work.scores, p.scorer.Score(req, c))
	}
	sort.Stable((*byScore)(work))
	chosen := make([]Candidate, 0, min(n, len(work.sample)))
	for _, c := range work.sample[:min(n, len(work.sample))] {
		chosen = append(chosen, *c)
	}
	return chosen
}

// draw fills work.sample with up to size random candidates that pass the filter.
func (p *samplePicker) draw(work *scratch, req *Request, candidates []Candidate, filter Filter, size int) {
	probes := size * probesPerSample
	if len(candidates) > probes && p.probe(work, req, candidates, filter, size, probes) {
		return
	}
	work.sample = work.sample[:0]
	for i := range candidates {
		if filter.Keep(req, &candidates[i]) {
			work.sample = append(work.sample, &candidates[i])
		}
	}
	p.random.shuffle(work.sample)
	work.sample = work.sample[:min(size, len(work.sample))]
}

// probe draws without a look at all candidates. It reports false if too few passed the filter.
func (p *samplePicker) probe(work *scratch, req *Request, candidates []Candidate, filter Filter, size, probes int) bool {
	if cap(work.indexes) < probes {
		work.indexes = make([]int32, probes)
	}
	work.indexes = work.indexes[:probes]
	p.random.indexes(work.indexes, len(candidates))
	work.sample = work.sample[:0]
	for _, i := range work.indexes {
		c := &candidates[i]
		if contains(work.sample, c) || !filter.Keep(req, c) {
			continue
		}
		work.sample = append(work.sample, c)
		if len(work.sample) == size {
			return true
		}
	}
	return len(work.sample) >= (size+3)/4
}

func contains(sample []*Candidate, c *Candidate) bool {
	for _, s := range sample {
		if s == c {
			return true
		}
	}
	return false
}

// byScore sorts a sample by rising score.
type byScore scratch

func (s *byScore) Len() int           { return len(s.sample) }
func (s *byScore) Less(i, j int) bool { return s.scores[i] < s.scores[j] }
func (s *byScore) Swap(i, j int) {
	s.scores[i], s.scores[j] = s.scores[j], s.scores[i]
	s.sample[i], s.sample[j] = s.sample[j], s.sample[i]
}
