package fleet

import "slices"

// MaxStarts is the number of starts of upstreams that a StartMap remembers. It is far more than those that leave while an old list of the store is still
// in use.
const MaxStarts = 4096

// Start identifies one start of an upstream.
type Start struct {
	ID          string
	Incarnation int64
	Address     string
}

// Start returns the start that the upstream is.
func (u *Upstream) Start() Start { return Start{u.ID, u.Incarnation, u.Address} }

// StartMap has values of starts of upstreams. The oldest starts make room for new ones. The zero value is empty. It is not safe for concurrent use.
type StartMap[V any] struct {
	values map[Start]V
	order  []Start // of values, the oldest first
}

// Set sets the value of a start, unless it has no incarnation: a later start would be taken for it.
func (m *StartMap[V]) Set(start Start, value V) {
	if start.Incarnation == 0 {
		return
	}
	if m.values == nil {
		m.values = make(map[Start]V)
	}
	if _, known := m.values[start]; !known {
		if len(m.order) == MaxStarts {
			delete(m.values, m.order[0])
			m.order = m.order[1:]
		}
		m.order = append(m.order, start)
	}
	m.values[start] = value
}

// Get returns the value of a start.
func (m *StartMap[V]) Get(start Start) (value V, ok bool) {
	value, ok = m.values[start]
	return value, ok
}

// Delete removes a start.
func (m *StartMap[V]) Delete(start Start) {
	if _, known := m.values[start]; !known {
		return
	}
	delete(m.values, start)
	i := slices.Index(m.order, start)
	m.order = slices.Delete(m.order, i, i+1)
}
