package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Guards against a reported slowdown that is not used, that is used when it is old, and against figures that no host has.
func TestSlowdownDecaysWithAge(t *testing.T) {
	for _, c := range []struct {
		name     string
		reported []float64 // 100 ms apart; the last one is old by age
		age      time.Duration
		min, max float64
	}{
		{"no figure", nil, 0, 1, 1},
		{"no figure in the load", []float64{0}, 0, 1, 1},
		{"new figure", []float64{1, 2.5}, 0, 2.5, 2.5},
		{"old figure", []float64{1, 2.5}, 10 * time.Second, 1, 1.1},
		{"figures that hold are used longer", []float64{2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2.5}, 300 * time.Millisecond, 1.7, 2.5},
		{"figures that do not hold are hardly used", []float64{1, 2.5, 1, 2.5, 1, 2.5, 1, 2.5, 1, 2.5, 1, 2.5, 1, 2.5, 1, 2.5, 1, 2.5, 1, 2.5}, 300 * time.Millisecond, 1, 1.5},
		{"not a number", []float64{math.NaN()}, 0, 1, 1},
		{"beyond the limits", []float64{1e9}, 0, maxSlowdown, maxSlowdown},
	} {
		b := newBoard(newUpstream("a", "shop", "here", fleet.StageNone))
		now := testStart
		for _, value := range c.reported {
			now = now.Add(100 * time.Millisecond)
			b.RecordLoad("a", now, Load{Slots: 6, Slowdown: value})
		}
		if got := b.slowdownLocked(b.states["a"], now.Add(c.age)); !(got >= c.min && got <= c.max) {
			t.Errorf("%s: slowdown %v, want %v to %v", c.name, got, c.min, c.max)
		}
	}
}

// Guards against routers that send as much to an upstream on a slowed host as to the others: 361 requests per second, a burst, for three upstreams of
// 6 slots, 30 ms each, on hosts of which 15% work 2.5 times as long for 600 ms at a time. Without the figure more answers are late.
func TestPlainRequestsAvoidSlowedHosts(t *testing.T) {
	const seconds = 60
	late := make(map[bool]int)
	total := 0
	for seed := range uint64(3) {
		for _, reported := range []bool{false, true} {
			answers := replaySlowedHosts(seed, seconds, reported)
			total += len(answers)
			for _, elapsed := range answers {
				if elapsed > 200*time.Millisecond {
					late[reported]++
				}
			}
		}
	}
	t.Logf("of %d answers each, %d later than 200 ms without the figure, %d with it", total/2, late[false], late[true])
	if late[true]*4 > late[false]*3 {
		t.Errorf("%d late answers with the figure, %d without: want at most three quarters", late[true], late[false])
	}
}

// replaySlowedHosts replays the requests of nine routers in three data centres and returns how long each answer took. Steps are of a millisecond.
func replaySlowedHosts(seed uint64, seconds int, reported bool) []time.Duration {
	const (
		routers, upstreams, slots = 9, 3, 6
		perSecond                 = 361.0
		work                      = 30 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 7))
	type request struct {
		router    int
		began     time.Time
		remaining float64 // milliseconds of work on a host that is not slowed
		work      *Work
	}
	var boards []*Board
	var list []*fleet.Upstream
	for i := range upstreams {
		list = append(list, newUpstream(fmt.Sprint(i), "shop", fmt.Sprint("dc", i), fleet.StageNone))
	}
	for i := range routers {
		b := NewBoard(fmt.Sprint("dc", i%upstreams), rand.NewPCG(seed, uint64(i)))
		b.Update(list)
		boards = append(boards, b)
	}
	queues := make([][]*request, upstreams)
	slow := make([]float64, upstreams)
	var answers []time.Duration
	for ms := range seconds * 1000 {
		now := testStart.Add(time.Duration(ms) * time.Millisecond)
		for i := range slow {
			if (ms+200*i)%600 == 0 {
				slow[i] = 1
				if random.Float64() < 0.15 {
					slow[i] = 2.5
				}
			}
		}
		if ms%20 == 0 { // reports of the other routers' work
			for i, b := range boards {
				for j, other := range boards {
					if i != j {
						b.SetOthers(fmt.Sprint(j), other.Own())
					}
				}
			}
		}
		if random.Float64() < perSecond/1000 {
			r := &request{router: random.IntN(routers), began: now, remaining: float64(work.Milliseconds()) * (0.5 + random.Float64())}
			chosen, _ := boards[r.router].PickPlain(Query{Service: plainService, Now: now})
			r.work = boards[r.router].BeginRun(chosen.ID, 0)
			var at int
			_, _ = fmt.Sscan(chosen.ID, &at)
			queues[at] = append(queues[at], r)
		}
		for i, queue := range queues {
			kept := queue[:0]
			for position, r := range queue {
				if position < slots {
					r.remaining -= 1 / slow[i]
				}
				if r.remaining > 0 {
					kept = append(kept, r)
					continue
				}
				load := Load{Running: min(len(queue), slots), Waiting: max(0, len(queue)-slots), Slots: slots}
				if reported {
					load.Slowdown = slow[i]
				}
				boards[r.router].RecordLoad(list[i].ID, now, load)
				boards[r.router].RecordAnswerTime(list[i].ID, now, now.Sub(r.began))
				r.work.End()
				answers = append(answers, now.Sub(r.began))
			}
			queues[i] = kept
		}
	}
	return answers
}
