package quota

import (
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

var tolerance = Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 190000}

// admitRepeatedly charges cost every 10 ms for a time and returns the sum of the admitted charges.
func admitRepeatedly(l *Limiter, account *fleet.Account, cost float64, from time.Time, length time.Duration) float64 {
	sum := 0.0
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		if l.Admit(account, cost, from.Add(at)).OK {
			sum += cost
		}
	}
	return sum
}

// Guards against an account that gets more than rate, burst and tolerance in a window when it sends through all processes at
// once, and against processes that together admit less than its rate.
func TestAllProcessesTogether(t *testing.T) {
	account := &fleet.Account{Name: "a", Rate: 47000, Burst: 47000, CountsTokens: true}
	limit := (account.Rate*8+account.Burst)*1.1 + 190000
	for _, processes := range []int{1, 4, 32} {
		total := 0.0
		for range processes {
			l := NewLimiter(tolerance, time.Unix(0, 0))
			l.SetProcesses(processes)
			total += admitRepeatedly(l, account, 4000, time.Unix(0, 0), 8*time.Second)
		}
		if total > limit {
			t.Errorf("%d processes admit %.0f in a window, the limit is %.0f", processes, total, limit)
		}
		if total < account.Rate*8 {
			t.Errorf("%d processes admit only %.0f in a window", processes, total)
		}
	}
}

// Guards against a lowered limit that takes effect only after the old burst was spent.
func TestLowerLimitTakesEffectAtOnce(t *testing.T) {
	l := NewLimiter(Tolerance{Window: 8 * time.Second}, time.Unix(0, 0))
	high, low := &fleet.Account{Name: "a", Rate: 1000, Burst: 10000}, &fleet.Account{Name: "a", Rate: 10, Burst: 10}
	start := time.Unix(0, 0)
	if !l.Admit(high, 1, start).OK {
		t.Fatal("refused within the rate")
	}
	if got := admitRepeatedly(l, low, 1, start.Add(time.Millisecond), time.Second); got > 21 {
		t.Errorf("%.0f admitted in a second after the limit fell to 10", got)
	}
}

// Guards against a wait after which the request is refused again, and against a charge that is not refunded.
func TestWaitAndRefund(t *testing.T) {
	l := NewLimiter(Tolerance{Window: 8 * time.Second}, time.Unix(0, 0))
	account := &fleet.Account{Name: "a", Rate: 100, Burst: 100}
	now := time.Unix(0, 0)
	l.Admit(account, 100, now)
	refused := l.Admit(account, 50, now)
	if refused.OK {
		t.Fatal("admitted over the burst")
	}
	if !l.Admit(account, 50, now.Add(refused.Wait+time.Millisecond)).OK {
		t.Errorf("refused again after %v", refused.Wait)
	}
	l.Refund(account, 50)
	if !l.Admit(account, 50, now.Add(refused.Wait+2*time.Millisecond)).OK {
		t.Error("the charge was not refunded")
	}
}

// Guards against refusals within the rate at the one process that all clients of an account use, and against an account that
// gets more than its rate while processes are partitioned from each other.
func TestWholeRateAtOneProcess(t *testing.T) {
	account := &fleet.Account{Name: "a", Rate: 1000, Burst: 1000}
	const processes = 10
	for _, c := range []struct {
		name       string
		partitions int // processes exchange charges only within their partition
		busy       func(i int) bool
		min, max   float64
	}{
		{"one busy process", 1, func(i int) bool { return i == 3 }, 8000, 9000},
		// Each of ten processes admits requests for half a second before it knows of the others: at most the burst each.
		{"all busy", 1, func(int) bool { return true }, 8000, 9000 + processes*1000},
		{"two partitions", 2, func(int) bool { return true }, 8000, 9000 + processes*1000},
		{"all isolated", processes, func(int) bool { return true }, 8000, 9000},
	} {
		limiters := make([]*Limiter, processes)
		for i := range limiters {
			limiters[i] = NewLimiter(Tolerance{Window: 8 * time.Second}, time.Unix(0, 0))
			limiters[i].SetProcesses(processes)
		}
		total := 0.0
		start := time.Unix(0, 0)
		for at := time.Duration(0); at < 8*time.Second; at += 500 * time.Millisecond {
			for i, l := range limiters {
				for j, other := range limiters {
					if i != j && i%c.partitions == j%c.partitions {
						l.SetOthers(string(rune('a'+j)), other.Spent())
					}
				}
			}
			for i, l := range limiters {
				if c.busy(i) {
					total += admitRepeatedly(l, account, 10, start.Add(at), 500*time.Millisecond)
				}
			}
		}
		if total < c.min || total > c.max {
			t.Errorf("%s: %.0f admitted in 8 s, want %.0f to %.0f", c.name, total, c.min, c.max)
		}
	}
}

// Guards against a negative level that is forgotten. It comes from charges that several processes admitted before they knew of
// each other.
func TestDebtIsPaid(t *testing.T) {
	account := &fleet.Account{Name: "a", Rate: 1000, Burst: 1000}
	began := time.Unix(-60, 0) // the buckets are full by now
	a, b := NewLimiter(Tolerance{Window: 8 * time.Second}, began), NewLimiter(Tolerance{Window: 8 * time.Second}, began)
	for _, l := range []*Limiter{a, b} {
		l.SetProcesses(2)
		l.SetOthers("other", map[string]float64{})
	}
	now := time.Unix(0, 0)
	a.Admit(account, 1000, now)
	b.Admit(account, 1000, now)
	a.SetOthers("other", b.Spent())
	if d := a.Admit(account, 500, now); d.OK || d.Wait != 1500*time.Millisecond {
		t.Errorf("admitted %v, wait %v; the level is -1000 and the charge needs 500", d.OK, d.Wait)
	}
}

// Guards against an account that gets its burst again with each process that restarts: with two restarts in a window, 28,000
// tokens were admitted where 27,800 are allowed.
func TestRestartDoesNotRefillTheBurst(t *testing.T) {
	account := &fleet.Account{Name: "a", Rate: 2000, Burst: 2000, CountsTokens: true, PlainTokens: 200}
	tolerance := Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 8000}
	limit := (account.Rate*8+account.Burst)*1.1 + tolerance.Slack
	limiters := make([]*Limiter, 3)
	start := func(i int, now time.Time) {
		limiters[i] = NewLimiter(tolerance, now)
		limiters[i].SetProcesses(len(limiters))
	}
	for i := range limiters {
		start(i, time.Unix(0, 0).Add(-time.Minute))
	}
	total := 0.0
	for at := time.Duration(0); at < 8*time.Second; at += 20 * time.Millisecond {
		now := time.Unix(0, 0).Add(at)
		if at%(500*time.Millisecond) == 0 {
			for i, l := range limiters {
				for j, other := range limiters {
					if i != j {
						l.SetOthers(string(rune('a'+j)), other.Spent())
					}
				}
			}
		}
		if at == time.Second || at == 3*time.Second || at == 5*time.Second || at == 7*time.Second {
			i := int(at/time.Second) % 3
			for _, l := range limiters {
				l.SetOthers(string(rune('a'+i)), nil)
			}
			start(i, now)
		}
		if l := limiters[int(at/(20*time.Millisecond))%3]; l.Admit(account, 200, now).OK { // five times the rate
			total += 200
		}
	}
	if total > limit {
		t.Errorf("%.0f admitted in a window, the limit is %.0f", total, limit)
	}
	if total < account.Rate*8 {
		t.Errorf("only %.0f admitted in a window", total)
	}
}

// Guards against small requests that are refused because large ones of the same account have used up its rate. This happened
// to 264 of 5,030 bookings.
func TestLargeChargesLeaveRoomForSmallOnes(t *testing.T) {
	account := &fleet.Account{Name: "a", Rate: 10000, Burst: 100000, CountsTokens: true, PlainTokens: 200}
	l := NewLimiter(Tolerance{Window: 8 * time.Second}, time.Unix(0, 0))
	refused := 0
	for i := range 1000 {
		now := time.Unix(0, 0).Add(time.Duration(i) * 10 * time.Millisecond)
		l.Admit(account, 5000, now) // prompts, at fifty times the rate
		if i%10 == 0 {              // bookings, at a fifth of the rate
			if !l.Admit(account, 200, now).OK {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d bookings refused", refused)
	}
}

// Guards against an account that exceeds its limit in a large fleet, because processes that had no request of it before do not deduct what the others charged
// (kimist-large hunt-c3fb-7: 1,296,768 tokens in 8 s, allowed 1,296,305). A charge is known elsewhere some hundred milliseconds later.
func TestLateChargesOfLargeFleet(t *testing.T) {
	const (
		processes = 100
		delay     = 350 * time.Millisecond
		step      = 10 * time.Millisecond
	)
	account := &fleet.Account{Name: "a", Rate: 111748, Burst: 111748, CountsTokens: true, PlainTokens: 200}
	tolerance := Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 190000}
	limit := (account.Rate*8+account.Burst)*1.1 + tolerance.Slack
	start := time.Unix(0, 0)
	limiters := make([]*Limiter, processes)
	for i := range limiters {
		limiters[i] = NewLimiter(tolerance, start.Add(-time.Minute))
		limiters[i].SetProcesses(processes)
		limiters[i].SetGroup("others", processes-1, map[string]float64{"a": 0})
		limiters[i].Prepare([]*fleet.Account{account}, start)
	}
	type charge struct {
		at     time.Time
		by     int
		amount float64
	}
	var charges []charge
	heard := make([]float64, processes) // of the others, by process
	next, offered, request := 0, 0.0, 0
	for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(step) {
		for ; next < len(charges) && now.Sub(charges[next].at) >= delay; next++ {
			for i := range limiters {
				if i != charges[next].by {
					heard[i] += charges[next].amount
				}
			}
		}
		for offered += 4 * account.Rate * step.Seconds(); offered >= 5000; offered -= 5000 {
			request++
			by := request * 37 % processes
			limiters[by].SetGroup("others", processes-1, map[string]float64{"a": heard[by]})
			if limiters[by].Admit(account, 5000, now).OK {
				charges = append(charges, charge{now, by, 5000})
			}
		}
	}
	total := 0.0
	for _, c := range charges {
		total += c.amount
	}
	t.Logf("%.0f admitted, limit %.0f", total, limit)
	if total > limit || total < account.Rate*8+account.Burst {
		t.Errorf("%.0f admitted in 8 s, limit %.0f", total, limit)
	}
}
