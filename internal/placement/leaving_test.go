package placement

import (
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

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
