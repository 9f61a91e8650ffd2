package fleet

import (
	"fmt"
	"testing"
)

// Guards against memory that grows with each upstream that ever left, and against starts that are forgotten before older ones.
func TestStartMapIsBounded(t *testing.T) {
	start := func(i int) Start { return Start{ID: fmt.Sprint(i), Incarnation: 1} }
	for _, deletes := range []bool{false, true} {
		var m StartMap[int]
		for i := range 2 * MaxStarts {
			m.Set(start(i), i)
			if deletes && i%3 == 0 {
				m.Delete(start(i))
			}
		}
		if len(m.values) != MaxStarts || len(m.order) != MaxStarts {
			t.Errorf("deletes %v: %d values and %d starts are remembered, want %d", deletes, len(m.values), len(m.order), MaxStarts)
		}
		last := 2*MaxStarts - 1
		if value, ok := m.Get(start(last)); !ok || value != last {
			t.Errorf("deletes %v: the last start has %d, %v", deletes, value, ok)
		}
		if _, ok := m.Get(start(1)); ok {
			t.Errorf("deletes %v: one of the oldest starts is remembered", deletes)
		}
	}
}
