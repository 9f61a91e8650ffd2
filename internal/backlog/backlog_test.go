package backlog

import (
	"maps"
	"math"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
)

// Guards against demand of others that is counted twice, kept after the source took it back, was lost or stopped reporting, or
// counted for another service or a less urgent priority.
func TestDemandOfOthers(t *testing.T) {
	start := time.Unix(1000, 0)
	demand := func(priority, requests int) map[string]Levels {
		return map[string]Levels{"model": {priority: {requests, 100 * requests}}}
	}
	set := func(source string, demand map[string]Levels, at time.Duration) func(*Backlog) bool {
		return func(b *Backlog) bool { return b.SetOthers(source, demand, start.Add(at)) }
	}
	drop := func(b *Backlog) bool { return b.Drop("a") }
	tests := []struct {
		name    string
		steps   []func(*Backlog) bool
		changed []bool
		at      time.Duration
		want    int // requests more urgent than priority 2
	}{
		{"none", nil, nil, 0, 0},
		{"two sources", []func(*Backlog) bool{set("a", demand(0, 1), 0), set("b", demand(1, 2), 0)}, []bool{true, true}, 0, 3},
		{"as urgent", []func(*Backlog) bool{set("a", demand(2, 1), 0)}, []bool{true}, 0, 0},
		{"repeated", []func(*Backlog) bool{set("a", demand(0, 1), 0), set("a", demand(0, 1), time.Second)}, []bool{true, false}, 2 * time.Second, 1},
		{"taken back", []func(*Backlog) bool{set("a", demand(0, 1), 0), set("a", nil, 0)}, []bool{true, true}, 0, 0},
		{"zero is none", []func(*Backlog) bool{set("a", demand(0, 0), 0)}, []bool{false}, 0, 0},
		{"dropped", []func(*Backlog) bool{set("a", demand(0, 1), 0), drop, drop}, []bool{true, true, false}, 0, 0},
		{"just used", []func(*Backlog) bool{set("a", demand(0, 1), 0)}, []bool{true}, ReportLifetime - 1, 1},
		{"expired", []func(*Backlog) bool{set("a", demand(0, 1), 0)}, []bool{true}, ReportLifetime, 0},
		{"of the least urgent priority", []func(*Backlog) bool{set("a", demand(9, 1), 0), set("a", demand(9, 2), 0), set("a", nil, 0)}, []bool{false, false, false}, 0, 0},
		{"the least urgent one so far", []func(*Backlog) bool{set("a", demand(10, 1), 0), set("a", demand(9, 1), 0)}, []bool{false, true}, 0, 0},
		{"again after expiry", []func(*Backlog) bool{set("a", demand(0, 1), 0), set("a", demand(0, 1), 2*time.Second)}, []bool{true, true}, 2 * time.Second, 1},
	}
	for _, test := range tests {
		b := New(nil)
		b.SetOthers("ordinary", demand(9, 1), start) // so that the other priorities are not the least urgent
		for i, step := range test.steps {
			if changed := step(b); changed != test.changed[i] {
				t.Errorf("%s: step %d reports a change: %v", test.name, i, changed)
			}
		}
		if got := b.MoreUrgent("model", 2, start.Add(test.at)); got != (Demand{test.want, 100 * test.want}) {
			t.Errorf("%s: %+v, want %d requests", test.name, got, test.want)
		}
		if got := b.MoreUrgent("other", 2, start.Add(test.at)); got != (Demand{}) {
			t.Errorf("%s: another service has %+v", test.name, got)
		}
	}
}

// Guards against reports without the demand of this process, or with that of sources to which they go or that expired, and
// against changes that nobody hears of.
func TestOwnDemandAndReport(t *testing.T) {
	now, changes := time.Unix(1000, 0), 0
	var b *Backlog
	b = New(func() { changes++; b.AsUrgent("model", 0, now) }) // a lock held here would block
	levels := Levels{0: {1, 100}, 2: {5, 500}, 3: {0, 0}}
	b.SetOwn("model", levels)
	b.SetOwn("model", levels)
	b.SetOthers("a", map[string]Levels{"model": {2: {1, 100}}, "second": {1: {1, 10}}}, now)
	b.SetOthers("b", map[string]Levels{"model": {0: {7, 700}}}, now)
	b.SetOthers("late", map[string]Levels{"model": {0: {9, 900}}}, now.Add(-ReportLifetime))
	report := b.Report(func(source string) bool { return source != "b" }, now)
	if want := map[string]Levels{"model": {0: {1, 100}, 2: {6, 600}}, "second": {1: {1, 10}}}; !maps.EqualFunc(report, want, func(x, y Levels) bool { return maps.Equal(x, y) }) {
		t.Errorf("report %v, want %v", report, want)
	}
	if got := b.MoreUrgent("model", 2, now); got != (Demand{7, 700}) {
		t.Errorf("more urgent elsewhere: %+v", got)
	}
	if got := b.AsUrgent("model", 2, now); got != (Demand{14, 1400}) {
		t.Errorf("as urgent anywhere: %+v", got)
	}
	if changed, next := b.Expire(now); !changed || !next.Equal(now.Add(ReportLifetime)) {
		t.Errorf("expired: %v, next %v", changed, next)
	}
	if changed, next := b.Expire(now.Add(ReportLifetime)); !changed || !next.IsZero() {
		t.Errorf("expired at the end: %v, next %v", changed, next)
	}
	b.SetOwn("model", nil)
	if got := b.MoreUrgent("model", math.MinInt, now); got != (Demand{}) {
		t.Errorf("more urgent than the most urgent: %+v", got)
	}
	if got := b.Report(func(string) bool { return true }, now); len(got) != 0 || changes != 2 {
		t.Errorf("at the end %v is reported, %d changes, want 2", got, changes)
	}
}

// Guards against amounts of a faulty report that overflow in a sum, so that urgent demand looks like none, and against the lowest
// priority number for which all demand counts as more urgent.
func TestOddAmounts(t *testing.T) {
	b, now := New(nil), time.Unix(1000, 0)
	for _, source := range []string{"a", "b", "c"} {
		b.SetOthers(source, map[string]Levels{"model": {0: {math.MaxInt, math.MaxInt}, math.MinInt: {1, -5}, 1: {-1, 7}}}, now)
	}
	for _, got := range []Demand{b.MoreUrgent("model", 1, now), b.Report(func(string) bool { return true }, now)["model"].upTo(1)} {
		if got != (Demand{maxAmount, maxAmount}) {
			t.Errorf("sum %+v", got)
		}
	}
	if got := b.Report(func(string) bool { return true }, now)["model"]; got[1] != (Demand{}) {
		t.Errorf("a negative number of requests counts as %+v", got[1])
	}
}

// Guards against small requests that take each part of the memory for which a large urgent request waits, and against a request that
// is held back although no more urgent one waits elsewhere or there is room for all. Each of two engines has room for 9,000 tokens.
func TestHeldBackBySize(t *testing.T) {
	now, board := time.Unix(1000, 0), placement.NewBoard("here", nil)
	service := &fleet.Service{Name: "model", Engine: &fleet.Engine{KVTokens: 10000}}
	board.Update([]*fleet.Upstream{{ID: "d", Service: "model", Stage: fleet.StageDecode}, {ID: "e", Service: "model", Stage: fleet.StageDecode}})
	for _, c := range []struct {
		name         string
		demand       Demand
		size, inUse  int
		priority     int
		held, nilOne bool
	}{
		{"room for all", Demand{1, 3000}, 3000, 0, 2, false, false},
		{"room for one at each engine", Demand{1, 3000}, 3000, 6000, 2, false, false},
		{"room for the urgent ones only", Demand{2, 6000}, 3000, 6000, 2, true, false},
		{"no room for the large urgent one", Demand{1, 8000}, 1000, 6000, 2, true, false},
		{"room for two large ones", Demand{1, 8000}, 1000, 500, 2, false, false},
		{"small urgent ones", Demand{3, 300}, 4500, 0, 2, false, false},
		{"as urgent", Demand{9, 90000}, 3000, 6000, 0, false, false},
		{"no backlog", Demand{9, 90000}, 3000, 6000, 2, false, true},
	} {
		b := New(nil)
		b.SetOthers("other", map[string]Levels{"model": {0: c.demand}}, now)
		if c.nilOne {
			b = nil
		}
		board.SetOthers("other", map[string]placement.Share{"d": {Running: 1, Memory: c.inUse}, "e": {Running: 1, Memory: c.inUse}})
		if _, held := b.HeldBack(board, placement.Query{Service: service, Now: now, PromptTokens: c.size}, c.priority); held != c.held {
			t.Errorf("%s: held back: %v", c.name, held)
		}
	}
}
