package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

var (
	noon   = time.Unix(1_000_000, 0)
	engine = &fleet.Service{Name: "model", Engine: &fleet.Engine{KVTokens: 40000, KVTokenBytes: 18432, LinkMbps: 180000}}
	shop   = &fleet.Service{Name: "shop"}
)

func upstream(id, service, dataCentre string, stage fleet.Stage) *fleet.Upstream {
	return &fleet.Upstream{ID: id, Incarnation: 1, Service: service, Address: id, DataCentre: dataCentre, Slots: 6, Stage: stage}
}

func board(list ...*fleet.Upstream) *Board {
	b := NewBoard("here", rand.NewPCG(1, 1))
	b.Update(list)
	return b
}

func plain(t *testing.T, b *Board, now time.Time) string {
	t.Helper()
	chosen, ok := b.Plain(Query{Service: shop, Now: now})
	if !ok {
		return ""
	}
	return chosen.ID
}

// Guards against requests that leave their data centre while there is room, and against a queue in it while others idle.
func TestPlainStaysNearUntilItQueues(t *testing.T) {
	b := board(upstream("near", "shop", "here", fleet.StageNone), upstream("far", "shop", "there", fleet.StageNone))
	for i := range 6 {
		if got := plain(t, b, noon); got != "near" {
			t.Fatalf("request %d goes to %q", i, got)
		}
		b.BeginRun("near", 0)
	}
	for range 6 {
		b.BeginRun("near", 0)
	}
	if got := plain(t, b, noon); got != "far" {
		t.Errorf("with a queue of six, work goes to %q", got)
	}
}

// Guards against work for an upstream that leaves, also when an older list comes later, and for one that is missing after
// an outage while another is there.
func TestLeavingAndDoubtful(t *testing.T) {
	a, c := upstream("a", "shop", "here", fleet.StageNone), upstream("c", "shop", "there", fleet.StageNone)
	b := board(a, c)
	leaving := *a
	leaving.Leaving = true
	b.Update([]*fleet.Upstream{&leaving, c})
	b.Update([]*fleet.Upstream{a, c})
	if got := plain(t, b, noon); got != "c" {
		t.Errorf("a leaving upstream is followed by %q", got)
	}
	restarted := *a
	restarted.Incarnation = 2
	restarted.Doubtful = true
	b.Update([]*fleet.Upstream{&restarted, c})
	if got := plain(t, b, noon); got != "c" {
		t.Errorf("a doubtful upstream is preferred: %q", got)
	}
	b.Update([]*fleet.Upstream{&restarted})
	if got := plain(t, b, noon); got != "a" {
		t.Errorf("the only upstream is doubtful: %q", got)
	}
}

// Guards against work for an upstream that does not answer, and against one that is never tried again.
func TestSilentUpstreamRests(t *testing.T) {
	b := board(upstream("near", "shop", "here", fleet.StageNone), upstream("far", "shop", "there", fleet.StageNone))
	b.Silent("near", noon)
	if got := plain(t, b, noon.Add(suspectMin/2)); got != "far" {
		t.Errorf("a silent upstream gets work: %q", got)
	}
	if got := plain(t, b, noon.Add(suspectMin)); got != "near" {
		t.Errorf("after its rest: %q", got)
	}
	b.Alive("near", noon.Add(2*suspectMin))
	b.Slow("near", noon.Add(2*suspectMin))
	if got := plain(t, b, noon.Add(2*suspectMin)); got != "near" {
		t.Errorf("a busy upstream counts as silent: %q", got)
	}
}

func model(b *Board, prompt, output int) (Plan, bool) {
	return b.Model(Query{Service: engine, Now: noon, PromptTokens: prompt, OutputTokens: output})
}

// Guards against decode engines that are filled by several processes which do not know each other's work.
func TestOthersFillAnEngine(t *testing.T) {
	b := board(upstream("p", "model", "here", fleet.StagePrefill), upstream("d", "model", "here", fleet.StageDecode),
		upstream("e", "model", "there", fleet.StageDecode))
	plan, ok := model(b, 3000, 500)
	if !ok || plan.Decode.ID != "d" || plan.Tight {
		t.Fatalf("plan %+v, %v", plan, ok)
	}
	b.SetOthers("other", map[string]Share{"d": {Running: 10, Memory: 35000}})
	if plan, ok = model(b, 3000, 500); !ok || plan.Decode.ID != "e" {
		t.Errorf("a full engine is chosen: %+v, %v", plan, ok)
	}
	b.SetOthers("other", map[string]Share{"d": {Running: 10, Memory: 35000}, "e": {Running: 10, Memory: 35000}})
	if plan, ok = model(b, 3000, 500); ok {
		t.Errorf("no engine has room, chosen: %+v", plan)
	}
	b.SetOthers("other", nil)
	if plan, ok = model(b, 3000, 500); !ok || plan.Decode.ID != "d" {
		t.Errorf("after the other ended: %+v, %v", plan, ok)
	}
}

// Guards against prompts that are processed for an engine which then refuses: it is asked first when it refused or was
// silent lately, is nearly full, or when the work of some process is not known.
func TestTight(t *testing.T) {
	fresh := func() *Board {
		return board(upstream("p", "model", "here", fleet.StagePrefill), upstream("d", "model", "here", fleet.StageDecode))
	}
	for name, prepare := range map[string]func(b *Board){
		"refused":     func(b *Board) { b.Refused("d", noon.Add(-refusalPause)) },
		"silent":      func(b *Board) { b.Silent("d", noon.Add(-suspectMin)) },
		"nearly full": func(b *Board) { b.BeginRun("d", 22000) },
		"partial":     func(b *Board) { b.SetPartial(true) },
	} {
		b := fresh()
		prepare(b)
		b.BeginRun("d", 1000) // a stream runs, so that a prefill engine is cheaper than the decode engine's own reading
		plan, ok := model(b, 3000, 500)
		if !ok || plan.Prefill == nil || !plan.Tight {
			t.Errorf("%s: plan %+v, %v", name, plan, ok)
		}
	}
}

// Guards against a second full reading of a prompt whose answer was lost, and of one that an engine could not take.
func TestPromptIsNotReadAgain(t *testing.T) {
	d, e := upstream("d", "model", "here", fleet.StageDecode), upstream("e", "model", "there", fleet.StageDecode)
	b := board(upstream("p", "model", "there", fleet.StagePrefill), d, e)
	b.Silent("e", noon) // as after each answer that broke off
	plan, ok := b.Model(Query{Service: engine, Now: noon, PromptTokens: 3000, OutputTokens: 500, Kept: e})
	if !ok || plan.Decode.ID != "e" || plan.Prefill != nil {
		t.Errorf("with the prompt kept at e: %+v", plan)
	}
	plan, ok = b.Model(Query{
		Service: engine, Now: noon, PromptTokens: 3000, OutputTokens: 500, Prefilled: upstream("p", "model", "here", fleet.StagePrefill),
		Excluded: map[string]bool{"e": true},
	})
	if !ok || plan.Decode.ID != "d" || plan.Prefill != nil {
		t.Errorf("with a prefilled prompt: %+v", plan)
	}
}

// Guards against an engine that ended and looks empty: while the others were full it drew each waiting request (134 tries
// without a connection on one day), and after each pause all of them at once.
func TestEndedEngineIsProbedByOneRequest(t *testing.T) {
	b := board(upstream("d", "model", "here", fleet.StageDecode), upstream("e", "model", "here", fleet.StageDecode))
	choose := func(after time.Duration) string {
		plan, ok := b.Model(Query{Service: engine, Now: noon.Add(after), PromptTokens: 3000, OutputTokens: 500})
		if !ok {
			return "none"
		}
		return plan.Decode.ID
	}
	b.BeginRun("e", 20000)
	b.Silent("d", noon)
	if got := choose(suspectMin / 2); got != "e" {
		t.Errorf("while d is suspected: %s", got)
	}
	full := b.BeginRun("e", 15000)
	if got := choose(suspectMin / 2); got != "none" {
		t.Errorf("while d is suspected and e full: %s", got)
	}
	if got := choose(suspectMin + 1); got != "d" {
		t.Fatalf("after the pause: %s", got)
	}
	probe := b.BeginRun("d", 3000)
	if got := choose(suspectMin + 2); got != "none" {
		t.Errorf("while one request finds out: %s", got)
	}
	full.End()
	if got := choose(suspectMin + 2); got != "e" {
		t.Errorf("while one request finds out, e has room: %s", got)
	}
	b.Silent("d", noon.Add(suspectMin+3))
	probe.End()
	if got := choose(2*suspectMin + 4); got != "e" {
		t.Errorf("the second pause is longer: %s", got)
	}
	again := noon.Add(suspectMin + 3 + 2*suspectMin)
	b.BeginRun("d", 3000)
	b.Alive("d", again)
	if got := choose(again.Sub(noon) + 1); got != "d" {
		t.Errorf("after d has sent something: %s", got)
	}
}

// Guards against streams at an engine of 0.6 times the usual speed while a fast one has room: they hold memory longer, and
// more of them are lost when an engine or a process ends.
func TestStreamsPreferFastEngines(t *testing.T) {
	b := board(upstream("p", "model", "here", fleet.StagePrefill), upstream("d", "model", "here", fleet.StageDecode),
		upstream("e", "model", "there", fleet.StageDecode))
	b.Streamed("d", 900, 4*time.Second)
	b.Streamed("e", 900, 1500*time.Millisecond)
	if plan, ok := model(b, 3000, 540); !ok || plan.Decode.ID != "e" {
		t.Errorf("plan %+v, %v", plan, ok)
	}
	b.Streamed("e", 20, time.Minute) // too short to tell
	if plan, ok := model(b, 3000, 540); !ok || plan.Decode.ID != "e" {
		t.Errorf("after a short stream: plan %+v, %v", plan, ok)
	}
}

// Guards against a prompt at a decode engine whose streams would pause for longer than their target, while a prefill engine
// costs a transfer only; and against transfers where the decode engine is fast enough.
func TestPromptsDoNotPauseStreams(t *testing.T) {
	for _, c := range []struct {
		name     string
		perMs    float64 // speed of the decode engine on prompts
		waiting  int     // prompt tokens that it already processes
		prefills bool
	}{
		{"slow engine", 9, 0, true},
		{"fast engine", 27, 0, false},
		{"fast engine behind a prompt", 27, 3000, false},
		{"fast engine behind two prompts", 27, 6000, true},
	} {
		b := board(upstream("p", "model", "here", fleet.StagePrefill), upstream("d", "model", "here", fleet.StageDecode))
		b.Read("d", 3000, time.Duration(3000/c.perMs*float64(time.Millisecond)))
		b.BeginRun("p", 0).BeginRead(9000) // the prefill engine has three prompts to finish first
		work := b.BeginRun("d", 3000)
		if c.waiting > 0 {
			work.BeginRead(c.waiting)
		}
		plan, ok := b.Model(Query{Service: engine, Now: noon, PromptTokens: 3000, OutputTokens: 540, PauseTarget: 300 * time.Millisecond})
		if !ok || (plan.Prefill != nil) != c.prefills {
			t.Errorf("%s: plan %+v, %v", c.name, plan, ok)
		}
	}
}

// Guards against memory that stays counted for requests that are gone.
func TestWorkEndsOnce(t *testing.T) {
	b := board(upstream("d", "model", "here", fleet.StageDecode))
	work := b.BeginRun("d", 1000)
	work.BeginRead(800)
	work.Grow(1500)
	work.Grow(1200)
	if got := b.Own()["d"]; got != (Share{Running: 1, Reading: 1, ReadTokens: 800, Memory: 1500}) {
		t.Errorf("own work %+v", got)
	}
	work.EndRead()
	work.End()
	work.End()
	if own := b.Own(); len(own) != 0 {
		t.Errorf("after its end: %+v", own)
	}
}
