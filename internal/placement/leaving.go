package placement

import "github.com/fulmardoor/fulmardoor/internal/fleet"

// maxLeavingStarts is the number of starts of upstreams that are remembered as leaving. It is far more than those that leave while an
// old list of the store is still in use.
const maxLeavingStarts = 4096

// startKey identifies one start of an upstream.
type startKey struct {
	id          string
	incarnation int64
	address     string
}

func startKeyOf(upstream *fleet.Upstream) startKey {
	return startKey{upstream.ID, upstream.Incarnation, upstream.Address}
}

// leavingStarts has the starts of upstreams that said in an answer that they leave. It outlasts the state of an upstream, because
// a store that goes back to a copy may list one again that was gone.
type leavingStarts struct {
	known map[startKey]bool
	order []startKey // of known, the oldest first
}

func (l *leavingStarts) add(key startKey) {
	if l.known[key] || key.incarnation == 0 { // without an incarnation, a later start would be taken for this one
		return
	}
	if l.known == nil {
		l.known = make(map[startKey]bool)
	}
	if len(l.order) == maxLeavingStarts {
		delete(l.known, l.order[0])
		l.order = l.order[1:]
	}
	l.known[key] = true
	l.order = append(l.order, key)
}

// RecordLeaving records that a start of an upstream said in an answer that it leaves. It reports whether that was not known.
func (b *Board) RecordLeaving(upstream *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := startKeyOf(upstream)
	b.leaving.add(key)
	s := b.states[upstream.ID]
	if s == nil || startKeyOf(s.info) != key {
		return false
	}
	known := s.info.Leaving || s.saysLeaving
	s.saysLeaving = true
	return !known
}
