package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/waitqueue"
)

// newOverloaded returns a request for a full engine, at a gateway that knows the release rate and demand that takes seconds to serve.
func newOverloaded(registry *prometheus.Registry, engine *fleet.Upstream) *request {
	g := New(Options{Board: placement.NewBoard("here", rand.NewPCG(1, 1)), Backlog: backlog.New(nil), RefuseAtOnce: true, Metrics: NewMetrics(registry)})
	g.Board.Update([]*fleet.Upstream{engine})
	g.Board.BeginRun(engine.ID, 8000)
	g.Backlog.SetOwn("llm", backlog.Levels{1: {Requests: 9, MemoryTokens: 90_000}})
	for range 20 {
		g.estimator("llm").Arrived(1, 1)
		g.estimator("llm").Finished(2*time.Second, 1600)
	}
	now := time.Now()
	return &request{g: g, ctx: context.Background(), began: now, deadline: now.Add(14 * time.Second), call: &Call{PromptTokens: 1000, OutputTokens: 2000},
		route: &fleet.Route{LatencyTarget: 2 * time.Second, Priority: 1}, service: &fleet.Service{Name: "llm", Engine: &fleet.Engine{KVTokens: 9000, TokensPerEvent: 1}}}
}

// Guards against a refusal of a request that the rule exempts: one that was sent before, continues a stream, is the next to be served or
// finds capacity; against one without a known release rate; and against one with the decision switched off.
func TestRefuseAtOnce(t *testing.T) {
	const priority = 1
	engine := &fleet.Upstream{ID: "e", Service: "llm", DataCentre: "here", Stage: fleet.StageDecode, Slots: 9}
	for _, c := range []struct {
		name   string
		change func(g *Gateway, r *request, out *eventWriter)
		want   bool
	}{
		{"long wait", func(*Gateway, *request, *eventWriter) {}, true},
		{"switched off", func(g *Gateway, _ *request, _ *eventWriter) { g.RefuseAtOnce = false }, false},
		{"no backlog", func(g *Gateway, _ *request, _ *eventWriter) { g.Backlog = nil }, false},
		{"sent before", func(_ *Gateway, r *request, _ *eventWriter) { r.sends = 1 }, false},
		{"prefilled before", func(_ *Gateway, r *request, _ *eventWriter) { r.prefills = 1 }, false},
		{"events sent", func(_ *Gateway, _ *request, out *eventWriter) { out.headerSent = true }, false},
		{"stream resumed by the caller", func(_ *Gateway, _ *request, out *eventWriter) { out.lastID = "7" }, false},
		{"nothing waits", func(g *Gateway, _ *request, _ *eventWriter) { g.Backlog.SetOwn("llm", nil) }, false},
		{"another service waits", func(g *Gateway, _ *request, _ *eventWriter) {
			g.Backlog.SetOwn("llm", nil)
			g.Backlog.SetOwn("other", backlog.Levels{priority: {Requests: 9, MemoryTokens: 90_000}})
		}, false},
		{"less urgent requests wait", func(g *Gateway, _ *request, _ *eventWriter) {
			g.Backlog.SetOwn("llm", backlog.Levels{priority + 1: {Requests: 9, MemoryTokens: 90_000}})
		}, false},
		{"more urgent requests wait elsewhere", func(g *Gateway, _ *request, _ *eventWriter) {
			g.Backlog.SetOwn("llm", nil)
			g.Backlog.SetOthers("peer", map[string]backlog.Levels{"llm": {priority - 1: {Requests: 9, MemoryTokens: 90_000}}}, time.Now())
		}, true},
		{"next to be served, but large", func(_ *Gateway, r *request, _ *eventWriter) { r.call.PromptTokens, r.call.OutputTokens = 20_000, 20 }, false},
		{"other service's rate", func(_ *Gateway, r *request, _ *eventWriter) {
			r.service = &fleet.Service{Name: "new", Engine: r.service.Engine}
		}, false},
		{"wait within a quarter of the time left", func(g *Gateway, _ *request, _ *eventWriter) {
			// 8,000 tokens in use, held for 2 s; the request needs 1,600. Its 1,880 ms and a quarter are enough for 9,400 tokens.
			g.Backlog.SetOwn("llm", backlog.Levels{priority: {Requests: 5, MemoryTokens: 7700}})
		}, false},
		{"wait just over it", func(g *Gateway, _ *request, _ *eventWriter) {
			g.Backlog.SetOwn("llm", backlog.Levels{priority: {Requests: 5, MemoryTokens: 7900}})
		}, true},
		{"deadline of the caller sooner", func(g *Gateway, r *request, _ *eventWriter) {
			g.Backlog.SetOwn("llm", backlog.Levels{priority: {Requests: 5, MemoryTokens: 7700}})
			r.deadline = time.Now().Add(time.Second)
		}, true},
		{"later requests overtake it", func(g *Gateway, r *request, _ *eventWriter) {
			g.Backlog.SetOwn("llm", backlog.Levels{priority: {Requests: 5, MemoryTokens: 5000}})
			r.call.OutputTokens = 4000
		}, true},
		{"later requests may overtake it, but the demand may be there by chance", func(g *Gateway, r *request, _ *eventWriter) {
			g.Backlog.SetOwn("llm", backlog.Levels{priority: {Requests: 5, MemoryTokens: 3700}})
			r.call.OutputTokens = 4000
		}, false},
		{"an engine has room", func(g *Gateway, _ *request, _ *eventWriter) {
			g.Board.Update([]*fleet.Upstream{engine, {ID: "idle", Service: "llm", DataCentre: "here", Stage: fleet.StageDecode, Slots: 9}})
		}, false},
	} {
		registry := prometheus.NewRegistry()
		r := newOverloaded(registry, engine)
		out := &eventWriter{r: r}
		c.change(r.g, r, out)
		sizes := r.query(true)
		item := &waitqueue.Item{Priority: priority, Level: priority, Memory: sizes.PromptTokens + sizes.OutputTokens, Value: 1, Cost: float64(r.call.OutputTokens) / 2000, Deadline: r.began.Add(1880 * time.Millisecond)}
		refusal := r.refuseAtOnce(item, out)
		if (refusal != nil) != c.want {
			t.Errorf("%s: refused %v, want %v", c.name, refusal != nil, c.want)
		}
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		counted := 0.0
		for _, family := range families {
			if family.GetName() == "fulmardoor_gateway_requests_refused_at_once_total" {
				counted = family.GetMetric()[0].GetCounter().GetValue()
			}
		}
		if counted != float64(count(c.want)) || len(r.steps) != count(c.want) {
			t.Errorf("%s: counted %g, steps %q", c.name, counted, r.steps)
		}
		if refusal != nil && (refusal.Verdict != verdict.NotRun || refusal.HTTPStatus() != 503 || verdict.ReasonName(refusal.Reason) != "no_upstream" ||
			!strings.HasPrefix(r.steps[0], "refused_at_once wait_ms ") || !strings.Contains(r.steps[0], " per_second 4000 ") || refusal.RetryAfter < 6*time.Second) {
			t.Errorf("%s: %v, retry after %v, steps %q", c.name, refusal, refusal.RetryAfter, r.steps)
		}
	}
}

// Guards against a request that waits before it is refused at once, and against a second decision about one that has waited: its engine
// refused a reservation, and it has only a part of its time left.
func TestDecisionIsMadeOnceBeforeTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newOverloaded(prometheus.NewRegistry(), &fleet.Upstream{ID: "e", Service: "llm", DataCentre: "here", Stage: fleet.StageDecode, Slots: 9})
		out := &eventWriter{r: r}
		for _, want := range []time.Duration{0, 1880 * time.Millisecond} {
			if alloc, err := r.waitForAllocation(false, out); alloc != nil || err == nil || time.Since(r.began) != want {
				t.Errorf("%v, %v after %v, want a refusal after %v", alloc, err, time.Since(r.began), want)
			}
		}
		if len(r.steps) != 1 {
			t.Errorf("steps %q", r.steps)
		}
	})
}

// Guards against callers that were refused together and come back together, before there is capacity, or so late that no response can be
// complete before the caller's timeout.
func TestRetryAfterWait(t *testing.T) {
	for _, c := range []struct {
		name          string
		wait, timeout time.Duration
		from, to      time.Duration
	}{
		{"short wait", time.Second, 0, 6 * time.Second, 10 * time.Second},
		{"long wait", 12 * time.Second, 0, 12 * time.Second, 20 * time.Second},
		{"odd demand", time.Hour, 0, 30 * time.Second, 50 * time.Second},
		{"long wait, caller's timeout", 12 * time.Second, 20 * time.Second, 9600 * time.Millisecond, 16 * time.Second},
		{"caller's timeout too soon", 12 * time.Second, 5 * time.Second, 6 * time.Second, 10 * time.Second},
	} {
		now := time.Now()
		g := New(Options{Board: placement.NewBoard("here", rand.NewPCG(1, 1))})
		r := &request{g: g, began: now, deadline: now.Add(c.timeout), call: &Call{OutputHint: 2000, OutputTokens: 2000, HasTokens: true, Timeout: c.timeout},
			route:   &fleet.Route{Kind: fleet.Stream, LatencyTarget: 2 * time.Second, PauseTarget: 2 * time.Millisecond / 3},
			service: &fleet.Service{Name: "llm", Engine: &fleet.Engine{TokensPerEvent: 1}}} // 2 s to the first event and 2 s for the others
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			delay := r.retryAfterWait(c.wait, now)
			least, most = min(least, delay), max(most, delay)
		}
		if slack := (c.to - c.from) / 50; least < c.from-slack/10 || most > c.to+slack/10 || least > c.from+slack || most < c.to-slack {
			t.Errorf("%s: %v to %v, want %v to %v", c.name, least, most, c.from, c.to)
		}
	}
}

// Guards against a release rate that is learned from responses without events, such as errors, which hold memory for a short time.
func TestFinishedStreamsAreRecorded(t *testing.T) {
	g := New(Options{})
	r := &request{g: g, service: &fleet.Service{Name: "llm"}}
	for i := range 16 {
		if i == 8 {
			if _, known := g.estimator("llm").Wait(0, 1, 1); known {
				t.Error("the release rate is known from responses without events")
			}
			r.events.Store(1)
		}
		r.recordFinished(&allocation{began: time.Now().Add(-time.Second), memory: 1000})
	}
	if wait, known := g.estimator("llm").Wait(1000, 1000, 1000); !known || wait < 2*time.Second {
		t.Errorf("wait %v, %v", wait, known)
	}
}
