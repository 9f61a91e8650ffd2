package placement

import (
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Guards against a release rate that counts memory which no new request gets: that of prefill engines, other services, and engines
// that are leaving or gone; and against one that counts the work of this process only.
func TestMemoryInUse(t *testing.T) {
	leaving := newUpstream("leaving", "llm", "here", fleet.StageDecode)
	leaving.Leaving = true
	list := []*fleet.Upstream{
		newUpstream("a", "llm", "here", fleet.StageDecode), newUpstream("b", "llm", "there", fleet.StageDecode),
		newUpstream("gone", "llm", "here", fleet.StageDecode), newUpstream("prefill", "llm", "here", fleet.StagePrefill),
		newUpstream("other", "other", "here", fleet.StageDecode), leaving,
	}
	b := newBoard(list...)
	for _, upstream := range list {
		b.BeginRun(upstream.ID, 1000)
	}
	work := b.BeginRun("a", 100)
	b.Update([]*fleet.Upstream{list[0], list[1], list[3], list[4], list[5]})
	b.SetOthers("peer", map[string]Share{"a": {Memory: 10}, "b": {Memory: 5}, "prefill": {Memory: 7}})
	if got := b.MemoryInUse("llm"); got != 2115 {
		t.Errorf("%d tokens in use, want 2115", got)
	}
	work.End()
	if got := b.MemoryInUse("llm"); got != 2015 {
		t.Errorf("%d tokens in use after a request ended, want 2015", got)
	}
}
