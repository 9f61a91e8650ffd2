package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

var (
	testStart    = time.Unix(1_000_000, 0)
	modelService = &fleet.Service{Name: "model", Engine: &fleet.Engine{KVTokens: 40000, KVTokenBytes: 18432, LinkMbps: 180000}}
	plainService = &fleet.Service{Name: "shop"}
)

func newUpstream(id, service, dataCentre string, stage fleet.Stage) *fleet.Upstream {
	return &fleet.Upstream{ID: id, Incarnation: 1, Service: service, Address: id, DataCentre: dataCentre, Slots: 6, Stage: stage}
}

func newBoard(list ...*fleet.Upstream) *Board {
	b := NewBoard("here", rand.NewPCG(1, 1))
	b.Update(list)
	return b
}

func pickPlain(t *testing.T, b *Board, now time.Time) string {
	t.Helper()
	chosen, ok := b.PickPlain(Query{Service: plainService, Now: now})
	if !ok {
		return ""
	}
	return chosen.ID
}

// Guards against requests that leave their data centre while it has capacity, and against requests that queue there while
// another data centre is idle.
func TestPlainStaysInDataCentreUntilItQueues(t *testing.T) {
	b := newBoard(newUpstream("near", "shop", "here", fleet.StageNone), newUpstream("far", "shop", "there", fleet.StageNone))
	for i := range 6 {
		if got := pickPlain(t, b, testStart); got != "near" {
			t.Fatalf("request %d placed at %q, want near", i, got)
		}
		b.BeginRun("near", 0)
	}
	for range 6 {
		b.BeginRun("near", 0)
	}
	if got := pickPlain(t, b, testStart); got != "far" {
		t.Errorf("with six requests queued at near: placed at %q, want far", got)
	}
}

// Guards against requests for a leaving upstream, also when an older list arrives later, and against requests for an
// unconfirmed upstream while another is available.
func TestLeavingAndUnconfirmed(t *testing.T) {
	a, c := newUpstream("a", "shop", "here", fleet.StageNone), newUpstream("c", "shop", "there", fleet.StageNone)
	b := newBoard(a, c)
	leaving := *a
	leaving.Leaving = true
	b.Update([]*fleet.Upstream{&leaving, c})
	b.Update([]*fleet.Upstream{a, c})
	if got := pickPlain(t, b, testStart); got != "c" {
		t.Errorf("with a leaving: placed at %q, want c", got)
	}
	restarted := *a
	restarted.Incarnation = 2
	restarted.Unconfirmed = true
	b.Update([]*fleet.Upstream{&restarted, c})
	if got := pickPlain(t, b, testStart); got != "c" {
		t.Errorf("with an unconfirmed: placed at %q, want c", got)
	}
	b.Update([]*fleet.Upstream{&restarted})
	if got := pickPlain(t, b, testStart); got != "a" {
		t.Errorf("with only an unconfirmed upstream: placed at %q, want a", got)
	}
}

// Guards against requests for an upstream that does not answer, against one that is never tried again, and against a busy
// upstream that counts as unresponsive.
func TestUnresponsiveUpstreamIsSuspended(t *testing.T) {
	b := newBoard(newUpstream("near", "shop", "here", fleet.StageNone), newUpstream("far", "shop", "there", fleet.StageNone))
	b.MarkSuspect("near", testStart)
	if got := pickPlain(t, b, testStart.Add(suspectMin/2)); got != "far" {
		t.Errorf("while near is suspected: placed at %q, want far", got)
	}
	if got := pickPlain(t, b, testStart.Add(suspectMin)); got != "near" {
		t.Errorf("after the suspect time: placed at %q, want near", got)
	}
	b.RecordActivity("near", testStart.Add(2*suspectMin))
	b.RecordTimeout("near", testStart.Add(2*suspectMin))
	if got := pickPlain(t, b, testStart.Add(2*suspectMin)); got != "near" {
		t.Errorf("after a timeout of the busy upstream near: placed at %q, want near", got)
	}
}

func planModel(b *Board, prompt, output int) (Plan, bool) {
	return b.PlanModel(Query{Service: modelService, Now: testStart, PromptTokens: prompt, OutputTokens: output})
}

// Guards against decode engines that are overfilled by several processes because each counts only its own work.
func TestWorkOfOtherProcessesCounts(t *testing.T) {
	b := newBoard(newUpstream("p", "model", "here", fleet.StagePrefill), newUpstream("d", "model", "here", fleet.StageDecode),
		newUpstream("e", "model", "there", fleet.StageDecode))
	plan, ok := planModel(b, 3000, 500)
	if !ok || plan.Decode.ID != "d" || plan.CapacityUncertain {
		t.Fatalf("plan %+v, %v", plan, ok)
	}
	b.SetOthers("other", map[string]Share{"d": {Running: 10, Memory: 35000}})
	if plan, ok = planModel(b, 3000, 500); !ok || plan.Decode.ID != "e" {
		t.Errorf("with d full: plan %+v, %v, want e", plan, ok)
	}
	b.SetOthers("other", map[string]Share{"d": {Running: 10, Memory: 35000}, "e": {Running: 10, Memory: 35000}})
	if plan, ok = planModel(b, 3000, 500); ok {
		t.Errorf("with all engines full: plan %+v, want none", plan)
	}
	b.SetOthers("other", nil)
	if plan, ok = planModel(b, 3000, 500); !ok || plan.Decode.ID != "d" {
		t.Errorf("after the other process ended: plan %+v, %v, want d", plan, ok)
	}
}

// Guards against prompts that are prefilled for a decode engine which then refuses the request. Memory must be reserved
// first when the engine recently refused or did not answer, when its memory is filled beyond uncertainMemoryShare, or when the
// work of another process is unknown.
func TestPlanMarksUncertainCapacity(t *testing.T) {
	fresh := func() *Board {
		return newBoard(newUpstream("p", "model", "here", fleet.StagePrefill), newUpstream("d", "model", "here", fleet.StageDecode))
	}
	for name, prepare := range map[string]func(b *Board){
		"refused":                func(b *Board) { b.RecordRefusal("d", testStart.Add(-refusalBackoff)) },
		"suspected":              func(b *Board) { b.MarkSuspect("d", testStart.Add(-suspectMin)) },
		"memory above threshold": func(b *Board) { b.BeginRun("d", 22000) },
		"peer unknown":           func(b *Board) { b.SetPeersIncomplete(true) },
	} {
		b := fresh()
		prepare(b)
		b.BeginRun("d", 1000) // with a running stream, a prefill engine is cheaper than a prefill at the decode engine
		plan, ok := planModel(b, 3000, 500)
		if !ok || plan.Prefill == nil || !plan.CapacityUncertain {
			t.Errorf("%s: plan %+v, %v", name, plan, ok)
		}
	}
}

// Guards against a second full prefill of a prompt whose answer was lost, and of one whose KV cache a decode engine could not
// take.
func TestPromptIsNotPrefilledAgain(t *testing.T) {
	d, e := newUpstream("d", "model", "here", fleet.StageDecode), newUpstream("e", "model", "there", fleet.StageDecode)
	b := newBoard(newUpstream("p", "model", "there", fleet.StagePrefill), d, e)
	b.MarkSuspect("e", testStart) // as after each answer that was cut off
	plan, ok := b.PlanModel(Query{Service: modelService, Now: testStart, PromptTokens: 3000, OutputTokens: 500, CachedAt: e})
	if !ok || plan.Decode.ID != "e" || plan.Prefill != nil {
		t.Errorf("with the prompt cached at e: %+v", plan)
	}
	plan, ok = b.PlanModel(Query{
		Service: modelService, Now: testStart, PromptTokens: 3000, OutputTokens: 500, PrefilledBy: newUpstream("p", "model", "here", fleet.StagePrefill),
		Excluded: map[string]bool{"e": true},
	})
	if !ok || plan.Decode.ID != "d" || plan.Prefill != nil {
		t.Errorf("with a prefilled prompt: %+v", plan)
	}
}

// Guards against an engine that has ended but looks idle. While the others were full it attracted each waiting request (134
// failed connection attempts in one day), and after each suspect time all of them at once.
func TestEndedEngineIsProbedByOneRequest(t *testing.T) {
	b := newBoard(newUpstream("d", "model", "here", fleet.StageDecode), newUpstream("e", "model", "here", fleet.StageDecode))
	choose := func(after time.Duration) string {
		plan, ok := b.PlanModel(Query{Service: modelService, Now: testStart.Add(after), PromptTokens: 3000, OutputTokens: 500})
		if !ok {
			return "none"
		}
		return plan.Decode.ID
	}
	b.BeginRun("e", 20000)
	b.MarkSuspect("d", testStart)
	if got := choose(suspectMin / 2); got != "e" {
		t.Errorf("while d is suspected: %s", got)
	}
	full := b.BeginRun("e", 15000)
	if got := choose(suspectMin / 2); got != "none" {
		t.Errorf("while d is suspected and e full: %s", got)
	}
	if got := choose(suspectMin + 1); got != "d" {
		t.Fatalf("after the suspect time: %s", got)
	}
	probe := b.BeginRun("d", 3000)
	if got := choose(suspectMin + 2); got != "none" {
		t.Errorf("while one request probes d: %s", got)
	}
	full.End()
	if got := choose(suspectMin + 2); got != "e" {
		t.Errorf("while one request probes d and e has capacity: %s", got)
	}
	b.MarkSuspect("d", testStart.Add(suspectMin+3))
	probe.End()
	if got := choose(2*suspectMin + 4); got != "e" {
		t.Errorf("during the second, longer suspect time: %s", got)
	}
	again := testStart.Add(suspectMin + 3 + 2*suspectMin)
	b.BeginRun("d", 3000)
	b.RecordActivity("d", again)
	chosen := make(map[string]int) // both engines cost the same now
	for range 400 {
		chosen[choose(again.Sub(testStart)+1)]++
	}
	if chosen["d"] < 120 || chosen["e"] < 120 {
		t.Errorf("after d has sent data, of 400 requests: %v", chosen)
	}
}

// Guards against processes that all choose the same of several idle engines, because they learnt of it first.
func TestIdleEnginesAreDrawn(t *testing.T) {
	var upstreams []*fleet.Upstream
	for i := range 10 {
		upstreams = append(upstreams, newUpstream(string(rune('a'+i)), "model", "here", fleet.StageDecode))
	}
	b := newBoard(upstreams...)
	chosen := make(map[string]int)
	for range 2000 {
		plan, ok := planModel(b, 3000, 500)
		if !ok {
			t.Fatal("no engine")
		}
		chosen[plan.Decode.ID]++
	}
	for _, upstream := range upstreams {
		if n := chosen[upstream.ID]; n < 130 || n > 270 {
			t.Errorf("%s was chosen %d times of 2000, want about 200", upstream.ID, n)
		}
	}
}

// Guards against streams that are placed at an engine of 0.6 times the usual speed while a fast one has capacity: they use
// memory for longer, and more of them are lost when an engine or a process ends.
func TestStreamsPreferFastEngines(t *testing.T) {
	b := newBoard(newUpstream("p", "model", "here", fleet.StagePrefill), newUpstream("d", "model", "here", fleet.StageDecode),
		newUpstream("e", "model", "there", fleet.StageDecode))
	b.RecordDecodeTime("d", 900, 4*time.Second)
	b.RecordDecodeTime("e", 900, 1500*time.Millisecond)
	if plan, ok := planModel(b, 3000, 540); !ok || plan.Decode.ID != "e" {
		t.Errorf("plan %+v, %v", plan, ok)
	}
	b.RecordDecodeTime("e", 20, time.Minute) // too short to be measured, so it has no effect
	if plan, ok := planModel(b, 3000, 540); !ok || plan.Decode.ID != "e" {
		t.Errorf("after a short stream: plan %+v, %v", plan, ok)
	}
}

// Guards against prefills at a decode engine that would delay its streams beyond their target although a prefill engine is
// available, and against transfers where the decode engine is fast enough.
func TestPrefillsDoNotDelayStreams(t *testing.T) {
	for _, c := range []struct {
		name     string
		perMs    float64 // prefill speed of the decode engine
		waiting  int     // prompt tokens that it is already prefilling
		prefills bool
	}{
		{"slow engine", 9, 0, true},
		{"fast engine", 27, 0, false},
		{"fast engine behind a prompt", 27, 3000, false},
		{"fast engine behind two prompts", 27, 6000, true},
	} {
		b := newBoard(newUpstream("p", "model", "here", fleet.StagePrefill), newUpstream("d", "model", "here", fleet.StageDecode))
		b.RecordPrefillTime("d", 3000, testStart, time.Duration(3000/c.perMs*float64(time.Millisecond)))
		b.BeginRun("p", 0).BeginPrefill(9000) // the prefill engine has three prompts queued
		work := b.BeginRun("d", 3000)
		if c.waiting > 0 {
			work.BeginPrefill(c.waiting)
		}
		plan, ok := b.PlanModel(Query{Service: modelService, Now: testStart, PromptTokens: 3000, OutputTokens: 540, PauseTarget: 300 * time.Millisecond})
		if !ok || (plan.Prefill != nil) != c.prefills {
			t.Errorf("%s: plan %+v, %v", c.name, plan, ok)
		}
	}
}

// Guards against memory that stays counted after its request has ended.
func TestWorkEndsOnce(t *testing.T) {
	b := newBoard(newUpstream("d", "model", "here", fleet.StageDecode))
	work := b.BeginRun("d", 1000)
	work.BeginPrefill(800)
	work.GrowMemory(1500)
	work.GrowMemory(1200)
	if got := b.Own()["d"]; got != (Share{Running: 1, Prefills: 1, PrefillTokens: 800, Memory: 1500}) {
		t.Errorf("own work %+v", got)
	}
	work.EndPrefill()
	work.End()
	work.End()
	if own := b.Own(); len(own) != 0 {
		t.Errorf("after its end: %+v", own)
	}
}

// Guards against room that counts engines which get no request, memory or slots in use by any process, or the parts of free memory at
// several engines of which none fits a request.
func TestRoom(t *testing.T) {
	leaving, prefill := newUpstream("leaving", "model", "here", fleet.StageDecode), newUpstream("p", "model", "here", fleet.StagePrefill)
	leaving.Leaving = true
	unlimited := newUpstream("unlimited", "model", "here", fleet.StageDecode)
	unlimited.Slots = 0
	engines := []*fleet.Upstream{newUpstream("d", "model", "here", fleet.StageDecode), newUpstream("e", "model", "there", fleet.StageDecode), leaving, prefill,
		newUpstream("x", "shop", "here", fleet.StageNone)}
	one := map[string]Share{"d": {Running: 1, Memory: 30000}, "e": {Running: 4}}
	for _, c := range []struct {
		name    string
		prepare func(b *Board)
		query   Query
		want    int
	}{
		{"slots", func(*Board) {}, Query{PromptTokens: 1000}, 12},
		{"memory", func(*Board) {}, Query{PromptTokens: 8000, OutputTokens: 2000}, 6},
		{"too large for all but idle engines", func(b *Board) { b.BeginRun("d", 1) }, Query{PromptTokens: 50000}, 1},
		{"work of others", func(b *Board) { b.SetOthers("other", one) }, Query{PromptTokens: 3000}, 2 + 2},
		{"parts that fit none", func(b *Board) { b.SetOthers("other", map[string]Share{"d": {1, 0, 0, 33000}, "e": {1, 0, 0, 33000}}) }, Query{PromptTokens: 4000}, 0},
		{"full", func(b *Board) { b.SetOthers("other", map[string]Share{"d": {Running: 7}, "e": {Running: 6}}) }, Query{PromptTokens: 1}, 0},
		{"excluded", func(*Board) {}, Query{Excluded: map[string]bool{"d": true}}, 6},
		{"refused a request", func(b *Board) { b.RecordRefusal("d", testStart) }, Query{}, 6},
		{"suspect", func(b *Board) { b.MarkSuspect("d", testStart) }, Query{}, 6},
		{"suspect with the cache of the prompt", func(b *Board) { b.MarkSuspect("d", testStart) }, Query{CachedAt: engines[0]}, 12},
		{"no limit", func(b *Board) { b.Update(append(engines, unlimited)) }, Query{}, 12 + maxRoom},
		{"no engine", func(b *Board) { b.Update(nil) }, Query{}, 0},
	} {
		b := newBoard(engines...)
		c.prepare(b)
		c.query.Service, c.query.Now = modelService, testStart
		room := b.Room(c.query)
		if _, ok := b.PlanModel(c.query); room != c.want || ok != (room > 0) {
			t.Errorf("%s: room %d, want %d; a plan: %v", c.name, room, c.want, ok)
		}
	}
}
