package scheduler

import (
	"math/bits"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// rendezvousPicker picks the candidates with the highest hash of the request's first block hash and the upstream. Every
// process with the same candidates picks the same ones, and a candidate that joins or leaves moves only its own share
// of the prompts.
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

// HighestRanked returns the positions of the n names with the highest rendezvous hash for key, best first. The ranking
// is the one that prefill affinity uses, so a process can connect in advance to the upstreams that a prompt is likely
// to be sent to.
func HighestRanked(key uint64, names []string, n int) []int {
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

// ranked is the index of a candidate or name with its rendezvous weight.
type ranked struct {
	weight uint64
	index  int
}

// insertRanked inserts r into best, which is sorted by descending weight, and keeps the first n entries.
func insertRanked(best []ranked, r ranked, n int) []ranked {
	best = append(best, r)
	for i := len(best) - 1; i > 0 && best[i].weight > best[i-1].weight; i-- {
		best[i], best[i-1] = best[i-1], best[i]
	}
	return best[:min(n, len(best))]
}

// mix combines two hashes into one.
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

// scratch holds the buffers of one call of Pick, which are pooled so that Pick allocates only its result.
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
	buffers := scratches.Get().(*scratch)
	defer scratches.Put(buffers)
	size := max(p.sample, n)
	p.fillSample(buffers, req, candidates, filter, size)
	buffers.scores = buffers.scores[:0]
	for _, c := range buffers.sample {
		buffers.scores = append(buffers.scores, p.scorer.Score(req, c))
	}
	sort.Stable((*byScore)(buffers))
	chosen := make([]Candidate, 0, min(n, len(buffers.sample)))
	for _, c := range buffers.sample[:min(n, len(buffers.sample))] {
		chosen = append(chosen, *c)
	}
	return chosen
}

// fillSample fills buffers.sample with up to size random candidates that pass the filter.
func (p *samplePicker) fillSample(buffers *scratch, req *Request, candidates []Candidate, filter Filter, size int) {
	probes := size * probesPerSample
	if len(candidates) > probes && p.probeAtRandom(buffers, req, candidates, filter, size, probes) {
		return
	}
	buffers.sample = buffers.sample[:0]
	for i := range candidates {
		if filter.Keep(req, &candidates[i]) {
			buffers.sample = append(buffers.sample, &candidates[i])
		}
	}
	p.random.shuffle(buffers.sample)
	buffers.sample = buffers.sample[:min(size, len(buffers.sample))]
}

// probeAtRandom fills the sample by testing random candidates instead of filtering all of them. It returns false if it
// found less than a quarter of size.
func (p *samplePicker) probeAtRandom(buffers *scratch, req *Request, candidates []Candidate, filter Filter, size, probes int) bool {
	if cap(buffers.indexes) < probes {
		buffers.indexes = make([]int32, probes)
	}
	buffers.indexes = buffers.indexes[:probes]
	p.random.indexes(buffers.indexes, len(candidates))
	buffers.sample = buffers.sample[:0]
	for _, i := range buffers.indexes {
		c := &candidates[i]
		if contains(buffers.sample, c) || !filter.Keep(req, c) {
			continue
		}
		buffers.sample = append(buffers.sample, c)
		if len(buffers.sample) == size {
			return true
		}
	}
	return len(buffers.sample) >= (size+3)/4
}

func contains(sample []*Candidate, c *Candidate) bool {
	for _, s := range sample {
		if s == c {
			return true
		}
	}
	return false
}

// byScore sorts a sample by ascending score.
type byScore scratch

func (s *byScore) Len() int           { return len(s.sample) }
func (s *byScore) Less(i, j int) bool { return s.scores[i] < s.scores[j] }
func (s *byScore) Swap(i, j int) {
	s.scores[i], s.scores[j] = s.scores[j], s.scores[i]
	s.sample[i], s.sample[j] = s.sample[j], s.sample[i]
}
