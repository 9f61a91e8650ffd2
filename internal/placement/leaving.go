package placement

import "github.com/fulmardoor/fulmardoor/internal/fleet"

// RecordLeaving records that a start of an upstream said in an answer that it leaves. It reports whether that was not known.
func (b *Board) RecordLeaving(upstream *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	start := upstream.Start()
	b.leaving.Set(start, struct{}{})
	s := b.states[upstream.ID]
	if s == nil || s.info.Start() != start {
		return false
	}
	known := s.info.Leaving || s.saysLeaving
	s.saysLeaving = true
	return !known
}
