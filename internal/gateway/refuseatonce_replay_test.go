package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/waitestimate"
	"github.com/fulmardoor/fulmardoor/internal/waitqueue"
)

const (
	replayStreams  = 120 // streams of the usual size that the engines hold
	replayWarmUp   = 10 * time.Second
	replayEnd      = replayWarmUp + 8*time.Second
	replayReports  = 20 * time.Millisecond // a report takes up to this time
	replayPrompt   = 3200
	replayOutput   = 781
	replayMemory   = replayStreams * (replayPrompt + replayOutput*3/5)
	replayMeanHold = 3.7 // seconds
)

// replay plays arrivals against the queues, backlogs and estimators of four routers and the decision, in virtual time. The engines are an
// amount of memory: a request that gets its part holds it for the time of its stream.
type replay struct {
	load   float64 // arrivals relative to the rate at which the full engines release memory
	varied bool    // outputs of 200 to 1,400 tokens instead of 781
	decide bool
	silent bool // the routers stop to report their demand at the end of the warm-up
	// holdError scales the hold times that the estimators get.
	holdError float64

	mu   sync.Mutex // guards the fields below and the routers' waiting
	free int
	// Results for the requests after the warm-up. early counts those that got memory before the arrivals end.
	// urgentAtOnce counts the urgent ones among those refused at once.
	served, early, refused, atOnce, urgentAtOnce, outOfOrder int
	waited                                                   time.Duration // of the refused requests
}

// replayRouter is the part of a router that decides.
type replayRouter struct {
	queue     waitqueue.Queue
	backlog   *backlog.Backlog
	estimator waitestimate.Estimator
	waiting   map[*replayRequest]bool
}

type replayRequest struct {
	waitqueue.Item
	arrived time.Time
	output  int
	speed   float64
}

// acquire takes the memory of a request if it is free, and counts whether another one should have got it.
func (p *replay) acquire(router *replayRouter, request *replayRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free < request.Memory {
		return false
	}
	p.free -= request.Memory
	delete(router.waiting, request)
	for other := range router.waiting {
		// A request that arrived, or whose deadline passed, at this very moment may not be in the queue.
		now, first := time.Now(), other.Priority < request.Priority || other.Priority == request.Priority && other.Cost < request.Cost
		if first && other.arrived.Before(now) && other.Deadline.After(now) {
			p.outOfOrder++
		}
	}
	return true
}

// wait decides about a request and lets it wait; it reports whether the request got memory.
func (p *replay) wait(t *testing.T, router *replayRouter, r *replayRequest) (served, atOnce bool) {
	p.mu.Lock()
	room, inUse := p.free >= r.Memory, replayMemory-p.free
	overtaking := router.estimator.Overtaking(r.Priority, r.Value/r.Cost)
	share := router.estimator.Arrived(r.Priority, r.Value/r.Cost)
	moreUrgent, asUrgent := router.backlog.AsUrgent("llm", r.Priority-1, r.arrived), router.backlog.AsUrgent("llm", r.Priority, r.arrived)
	d := decideWait(&router.estimator, moreUrgent, asUrgent, share, overtaking, r.Memory, inUse, r.Deadline.Sub(r.arrived))
	if p.decide && d.refuse && !room {
		p.mu.Unlock()
		return false, true
	}
	router.waiting[r] = true
	p.mu.Unlock()
	if router.queue.Wait(t.Context(), &r.Item) {
		return true, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(router.waiting, r)
	return false, false
}

// play plays the arrivals that a seed gives. They come at nine tenths of the capacity until the estimators know the release rate.
func (p *replay) play(t *testing.T, seed uint64) {
	p.free = replayMemory
	routers := make([]replayRouter, 4)
	for i := range routers {
		routers[i].backlog, routers[i].waiting = backlog.New(nil), make(map[*replayRequest]bool)
		routers[i].queue.Changed = func(demand backlog.Levels) { routers[i].backlog.SetOwn("llm", demand) }
	}
	random, start := rand.New(rand.NewPCG(seed, 1)), time.Now()
	var running sync.WaitGroup
	running.Go(func() {
		for elapsed := time.Duration(0); elapsed < replayEnd && !(p.silent && elapsed >= replayWarmUp); elapsed = time.Since(start) {
			time.Sleep(replayReports)
			for i := range routers {
				for j := range routers {
					if i != j {
						routers[j].backlog.SetOthers(fmt.Sprint(i), routers[i].backlog.Report(func(string) bool { return false }, time.Now()), time.Now())
					}
				}
			}
		}
	})
	for time.Since(start) < replayEnd {
		load, counted := 0.9, time.Since(start) >= replayWarmUp
		if counted {
			load = p.load
		}
		time.Sleep(time.Duration(random.ExpFloat64() * replayMeanHold / (load * replayStreams) * float64(time.Second)))
		priority, target := 2, 2*time.Second
		router, r := &routers[random.IntN(len(routers))], &replayRequest{output: replayOutput, speed: 0.77, arrived: time.Now()}
		if random.IntN(20) == 0 {
			priority, target = 0, 800*time.Millisecond
		}
		if p.varied {
			r.output = 200 + random.IntN(1200)
		}
		if random.IntN(4) == 0 { // a quarter of the engines is slower
			r.speed = 1.69
		}
		r.Item = waitqueue.Item{Priority: priority, Level: priority, Value: 1, Cost: (replayPrompt + float64(r.output)/2) * float64(r.output), Memory: replayPrompt + r.output*3/5,
			Deadline: r.arrived.Add(target - firstEventMargin), TryAcquire: func() bool { return p.acquire(router, r) }}
		running.Go(func() {
			served, atOnce := p.wait(t, router, r)
			if p.mu.Lock(); counted {
				p.served, p.refused, p.atOnce = p.served+count(served), p.refused+count(!served), p.atOnce+count(atOnce)
				p.urgentAtOnce += count(atOnce && r.Priority == 0)
				if p.early += count(served && time.Since(start) < replayEnd); !served {
					p.waited += time.Since(r.arrived)
				}
			}
			if p.mu.Unlock(); !served {
				return
			}
			hold := time.Duration(replayMeanHold * r.speed * float64(r.output) / replayOutput * float64(time.Second))
			time.Sleep(hold)
			router.estimator.Finished(time.Duration(float64(hold)*p.holdError), r.Memory)
			p.mu.Lock()
			p.free += r.Memory
			p.mu.Unlock()
			for i := range routers {
				routers[(int(r.arrived.UnixNano())+i)%len(routers)].queue.CapacityChanged()
			}
		})
	}
	running.Wait()
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// TestReplayOfOverload guards against callers of an overload that wait for nothing, against capacity that immediate refusals leave unused,
// against such refusals within capacity, and against another order of service. Except for the share that is refused at once, these hold also
// when the reports of other routers stop, or the release rate is wrong by a factor of two. With half the rate, less waits when the
// arrivals end, so that fewer requests are served after that.
func TestReplayOfOverload(t *testing.T) {
	for _, c := range []struct {
		name           string
		varied, silent bool
		holdError      float64
		mostLost       float64    // share of all requests that are served without the decision only
		least, most    [2]float64 // bounds of the share of the refused requests that are refused at once, at loads 2 and 4
	}{
		{"equal sizes", false, false, 1, 0.02, [2]float64{0.5, 0.7}, [2]float64{1, 1}},
		{"varied sizes", true, false, 1, 0.03, [2]float64{0.5, 0.7}, [2]float64{1, 1}},
		{"reports stop", false, true, 1, 0.005, [2]float64{0, 0}, [2]float64{0.1, 0.1}},
		{"half the rate", false, false, 2, 0.06, [2]float64{0.8, 0.9}, [2]float64{1, 1}},
		{"double the rate", false, false, 0.5, 0.01, [2]float64{0, 0.2}, [2]float64{0.1, 0.7}},
		{"varied sizes, half the rate", true, false, 2, 0.05, [2]float64{0.7, 0.8}, [2]float64{1, 1}},
		{"varied sizes, double the rate", true, false, 0.5, 0.01, [2]float64{0, 0.2}, [2]float64{0.2, 0.8}},
	} {
		for i, load := range []float64{2, 4, 0.9} {
			var results [2]*replay
			for j, decide := range []bool{false, true} {
				p := &replay{load: load, varied: c.varied, decide: decide, silent: c.silent, holdError: c.holdError}
				for seed := range uint64(3) {
					synctest.Test(t, func(t *testing.T) { p.play(t, seed) })
				}
				results[j] = p
				t.Logf("%s, load %g, decision %v: served %d (%d before the arrivals end), refused %d, %d at once, mean wait of the refused %d ms", c.name, load, decide, p.served, p.early, p.refused,
					p.atOnce, p.waited.Milliseconds()/int64(max(1, p.refused)))
			}
			without, with := results[0], results[1]
			if without.outOfOrder+with.outOfOrder > 0 {
				t.Errorf("%s, load %g: %d and %d requests were served out of order", c.name, load, without.outOfOrder, with.outOfOrder)
			}
			if with.early*100 < without.early*98 || float64(without.served-with.served) > c.mostLost*float64(with.served+with.refused) {
				t.Errorf("%s, load %g: served %d, %d before the arrivals end; without the decision %d and %d", c.name, load, with.served, with.early, without.served, without.early)
			}
			if with.urgentAtOnce > 0 { // urgent requests are a fifth of the capacity at most
				t.Errorf("%s, load %g: %d urgent requests were refused at once", c.name, load, with.urgentAtOnce)
			}
			if load < 1 {
				if with.atOnce > 0 {
					t.Errorf("%s, load %g: %d requests were refused at once", c.name, load, with.atOnce)
				}
			} else if share := float64(with.atOnce) / float64(with.refused); share < c.least[i] || share > c.most[i] {
				t.Errorf("%s, load %g: %.2f of the refused requests were refused at once, want %g to %g", c.name, load, share, c.least[i], c.most[i])
			}
		}
	}
}
