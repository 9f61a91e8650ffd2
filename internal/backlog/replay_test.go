package backlog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/waitqueue"
)

// The load is that of the first deployment of docs/overload-and-limits.md on 24 of its 58 engines, a quarter of them slow. After calm,
// twice as many requests arrive for 6 s as the engines take. Outputs have 0.4 to 1.6 of the mean length. Clients spread unevenly: the last
// router gets no ordinary requests.
const (
	engineCount              = 24
	fastHold, slowHold       = 2750 * time.Millisecond, 6000 * time.Millisecond // 71 events of 11 tokens at 1.2 and 0.55 of the speed
	calm, burst              = 4 * time.Second, 6 * time.Second
	calmRate, burstRate      = 45.0, 106.0 // requests per second
	urgentShare              = 3.72 / (3.72 + 64.6)
	urgentWait, ordinaryWait = 680 * time.Millisecond, 1880 * time.Millisecond
	callLatency              = 4 * time.Millisecond
	requestMemory            = 3669 // 3,200 tokens of prompt and 0.6 of the output
	reserved                 = 16   // requests, in way (b): a tenth of the room; never released, as urgent requests arrive all the time
)

var model = &fleet.Service{Name: "model", Engine: &fleet.Engine{KVTokens: 29848, TokensPerEvent: 11}}

// simRequest is one request and what became of it. Its wait ended when an engine took it, or it was refused.
type simRequest struct {
	router                   *simRouter
	priority                 int
	length                   float64       // of the output, relative to the mean
	patience, arrived, ended time.Duration // the latter two since the start
	granted                  bool
}

// simEngine is an engine that admits as many requests as places holds. queue is that of way (c).
type simEngine struct {
	id     string
	hold   time.Duration
	places chan struct{}
	queue  waitqueue.Queue
}

func (e *simEngine) admit() bool {
	select {
	case e.places <- struct{}{}:
		return true
	default:
		return false
	}
}

type simRouter struct {
	sim       *simulation
	name      string
	board     *placement.Board
	backlog   *backlog.Backlog
	queue     waitqueue.Queue
	reportDue atomic.Bool
}

type simulation struct {
	way      string
	start    time.Time
	routers  []*simRouter
	engines  []*simEngine
	requests []*simRequest
	// batch and onward are the delays of reports: at the sender, and from there.
	batch, onward time.Duration
	reports       atomic.Int64 // sent because of a change
}

func newSimulation(way string, routers int) *simulation {
	batch := func(links int) time.Duration { return 10*time.Millisecond + time.Duration(links)*500*time.Microsecond }
	s := &simulation{way: way, start: time.Now(), batch: batch(routers - 1), onward: callLatency}
	if routers > 12 { // through relays, six in three data centres
		s.batch, s.onward = batch(2), 2*batch(routers/6+5)+callLatency
	}
	var list []*fleet.Upstream
	for i := range engineCount {
		e := &simEngine{id: fmt.Sprintf("e-%02d", i), places: make(chan struct{}, model.Engine.KVTokens/requestMemory)}
		e.hold = []time.Duration{slowHold, fastHold, fastHold, fastHold}[i%4]
		s.engines = append(s.engines, e)
		list = append(list, &fleet.Upstream{ID: e.id, Incarnation: 1, Service: model.Name, DataCentre: "here", Slots: 12, Stage: fleet.StageDecode})
	}
	for i := range routers {
		r := &simRouter{sim: s, name: fmt.Sprint(i), board: placement.NewBoard("here", rand.NewPCG(uint64(i), 1))}
		r.backlog = backlog.New(r.changed)
		r.board.Update(list)
		r.board.OnChange(r.changed, r.queue.CapacityChanged)
		if way == "a" {
			r.queue.Changed = func(demand backlog.Levels) { r.backlog.SetOwn(model.Name, demand) }
		}
		s.routers = append(s.routers, r)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for at, rate := time.Duration(0), calmRate; at < calm+burst; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		if at > calm {
			rate = burstRate
		}
		request := &simRequest{priority: 2, length: 0.4 + 1.2*random.Float64(), arrived: at, patience: ordinaryWait}
		draw, spread := random.Float64(), routers-1
		if random.Float64() < urgentShare {
			request.priority, request.patience, spread = 0, urgentWait, routers
		}
		request.router = s.routers[int(draw*float64(spread))]
		s.requests = append(s.requests, request)
	}
	return s
}

// changed schedules a report.
func (r *simRouter) changed() {
	if !r.reportDue.Swap(true) {
		time.AfterFunc(r.sim.batch, func() { r.sim.reports.Add(1); r.report() })
	}
}

// report delivers the work and the demand of a router to all others.
func (r *simRouter) report() {
	r.reportDue.Store(false)
	shares := r.board.Work(r.board.TakeOwnChanges(), func(string) bool { return false })
	demand, _ := r.backlog.Waiting(time.Now())
	time.Sleep(r.sim.onward)
	for _, other := range slices.DeleteFunc(slices.Clone(r.sim.routers), func(other *simRouter) bool { return other == r }) {
		other.board.UpdateOthers(r.name, shares)
		if other.backlog.SetOthers(r.name, demand, time.Now()) {
			other.queue.CapacityChanged()
		}
	}
}

// acquire waits for a place at an engine; nil if there was none in time.
func (r *simRouter) acquire(ctx context.Context, request *simRequest, deadline time.Time) (engine *simEngine, work *placement.Work) {
	item := &waitqueue.Item{Priority: request.priority, Value: 1, Cost: request.length, Level: request.priority, Memory: requestMemory, Deadline: deadline}
	if r.sim.way == "c" { // waits at the engine where the known work ends first
		known := r.board.Work(r.board.Busy(), func(string) bool { return true })
		engine = slices.MinFunc(r.sim.engines, func(a, b *simEngine) int {
			return int(time.Duration(known[a.id].Running+1)*a.hold - time.Duration(known[b.id].Running+1)*b.hold)
		})
		work, item.TryAcquire = r.board.BeginRun(engine.id, requestMemory), engine.admit
		if time.Sleep(callLatency); !engine.queue.Wait(ctx, item) {
			work.End()
			return nil, nil
		}
		return engine, work
	}
	item.TryAcquire = func() bool {
		query := placement.Query{Service: model, Now: time.Now(), PromptTokens: requestMemory, LocalPrefillOnly: true}
		if _, held := r.backlog.HeldBack(r.board, query, request.priority); held || r.sim.way == "b" && request.priority > 0 && r.board.Room(query) <= reserved {
			return false
		}
		plan, ok := r.board.PlanModel(query)
		if ok {
			engine = r.sim.engines[slices.IndexFunc(r.sim.engines, func(e *simEngine) bool { return e.id == plan.Decode.ID })]
			work = r.board.BeginRun(engine.id, requestMemory)
		}
		return ok
	}
	r.queue.Wait(ctx, item)
	if time.Sleep(callLatency); engine != nil && !engine.admit() {
		r.board.RecordRefusal(engine.id, time.Now())
		work.End()
		return r.acquire(ctx, request, deadline)
	}
	return engine, work
}

// serve runs one request.
func (s *simulation) serve(ctx context.Context, request *simRequest) {
	time.Sleep(request.arrived)
	engine, work := request.router.acquire(ctx, request, time.Now().Add(request.patience))
	if request.ended, request.granted = time.Since(s.start), engine != nil; request.granted {
		time.Sleep(time.Duration(request.length * float64(engine.hold)))
		<-engine.places
		engine.queue.CapacityChanged()
		work.End()
	}
}

// result returns the number of urgent requests that were refused while a less urgent one that came later got capacity. For urgent and for
// ordinary requests, it returns the refusals, and the median and the 99th percentile of the others' time until an engine took them.
func (s *simulation) result() (wronged int, columns string) {
	for _, priority := range []int{0, 2} {
		waits, refused := []time.Duration(nil), 0
		for _, request := range s.requests {
			switch {
			case request.priority != priority:
				continue
			case request.granted:
				waits = append(waits, request.ended-request.arrived)
				continue
			case slices.ContainsFunc(s.requests, func(other *simRequest) bool {
				return other.priority > priority && other.granted && other.arrived > request.arrived && other.ended < request.ended
			}):
				wronged++
			}
			refused++
		}
		slices.Sort(waits)
		columns += fmt.Sprintf(" | %d of %d | %d | %d", refused, refused+len(waits), waits[len(waits)/2].Milliseconds(), waits[len(waits)*99/100].Milliseconds())
	}
	return wronged, columns
}

// Guards against an urgent request that is refused while a less urgent one that came later, at any router, gets capacity. Without the
// rule that must happen under this load; otherwise the test shows nothing. The ways are those of docs/overload-and-limits.md.
func TestReplayOfPriorityAcrossRouters(t *testing.T) {
	table := "\nway | routers | wronged | urgent: refused | median ms | 99% ms | ordinary: refused | median ms | 99% ms | reports per second\n"
	for _, way := range []string{"none", "a", "b", "c"} {
		for _, routers := range []int{4, 32, 103} {
			var s *simulation
			synctest.Test(t, func(t *testing.T) {
				s = newSimulation(way, routers)
				var running sync.WaitGroup
				for _, request := range s.requests {
					running.Go(func() { s.serve(t.Context(), request) })
				}
				for _, r := range s.routers {
					running.Go(func() {
						for time.Since(s.start) < calm+burst+ordinaryWait {
							time.Sleep(500 * time.Millisecond)
							r.report() // a heartbeat
						}
					})
				}
				running.Wait()
				time.Sleep(time.Second) // the last reports
			})
			wronged, columns := s.result()
			table += fmt.Sprintf("%s | %d | %d%s | %.0f\n", way, routers, wronged, columns, float64(s.reports.Load())/(calm+burst+slowHold).Seconds())
			if way == "a" && wronged > 0 || way == "none" && wronged == 0 {
				t.Errorf("way %s, %d routers: %d urgent requests were refused while a less urgent one that came later got capacity", way, routers, wronged)
			}
		}
	}
	t.Log(table)
}
