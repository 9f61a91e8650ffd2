package placement

import (
	"fmt"
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Guards against memory that grows with each upstream that ever left.
func TestLeavingStartsAreBounded(t *testing.T) {
	b := newBoard()
	for i := range 2 * maxLeavingStarts {
		upstream := newUpstream(fmt.Sprint(i), "shop", "here", fleet.StageNone)
		upstream.Incarnation = 1
		b.RecordLeaving(upstream)
	}
	if len(b.leaving.known) != maxLeavingStarts || len(b.leaving.order) != maxLeavingStarts {
		t.Errorf("%d and %d starts are remembered, want %d", len(b.leaving.known), len(b.leaving.order), maxLeavingStarts)
	}
}

// Guards against an upstream without an incarnation that gets no requests after it started anew, because an earlier start left.
func TestLeavingStartWithoutIncarnation(t *testing.T) {
	a := newUpstream("a", "shop", "here", fleet.StageNone)
	a.Incarnation = 0
	b := newBoard(a)
	b.RecordLeaving(a)
	if got := pickPlain(t, b, testStart); got != "" {
		t.Errorf("placed at %q, which is leaving", got)
	}
	b.Update(nil)
	b.Sweep()
	b.Update([]*fleet.Upstream{a})
	if got := pickPlain(t, b, testStart); got != "a" {
		t.Errorf("after a was gone and came back: placed at %q, want a", got)
	}
}
