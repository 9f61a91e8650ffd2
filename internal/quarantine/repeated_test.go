package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	deadly = "request:deadly"
	sound  = "request:sound"
)

// Guards against a request that comes again and crashes upstream after upstream, through attempts that follow each other at once.
func TestIdentityIsQuarantinedAfterThreeCrashes(t *testing.T) {
	l := NewList()
	for i := range 3 {
		if isBlocked(l, start, deadly) {
			t.Fatalf("blocked after %d crashes", i)
		}
		for range 2 { // two attempts at one process
			l.RecordCrash(Crash{Upstream: fmt.Sprint(i), Incarnation: 1, Request: "same", Parts: []string{deadly}, At: start.Add(time.Duration(i) * time.Millisecond)})
		}
	}
	if !isBlocked(l, start.Add(time.Second), deadly) || !isBlocked(l, start.Add(firstBlockTime-time.Second), deadly) {
		t.Error("not blocked after three crashes")
	}
	if isBlocked(l, start.Add(time.Second), sound) || isBlocked(l, start.Add(time.Second), "part") {
		t.Error("another request is blocked")
	}
}

// Guards against a sound request that is refused because an upstream that it reached was reset now and then.
func TestAnswerClearsIdentity(t *testing.T) {
	l := NewList()
	now := start
	for i := range 20 {
		now = now.Add(time.Second)
		l.RecordCrash(Crash{Upstream: fmt.Sprint(i), Parts: []string{sound}, At: now})
		if i%2 == 1 {
			l.RecordFirstEvent([]string{sound}, now)
		}
		if isBlocked(l, now, sound) {
			t.Fatalf("blocked after %d crashes", i)
		}
	}
	if l.SuspectsRequests() {
		t.Error("an identity is suspected after an answer")
	}
}

// Guards against a part that sound requests share and that is refused because one request with it, which comes again, crashes engines.
func TestRepeatedRequestDoesNotQuarantineItsParts(t *testing.T) {
	l := NewList()
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		l.RecordCrash(Crash{Upstream: fmt.Sprint(i), Request: fmt.Sprint(i), Parts: []string{"shared", fmt.Sprint("request:beside", i)}, At: now})
		l.RecordCrash(Crash{Upstream: fmt.Sprint(i), Request: "same", Parts: []string{"shared", deadly}, At: now})
	}
	if isBlocked(l, now, "shared", "request:new") {
		t.Error("a request with the shared part is blocked")
	}
	if !isBlocked(l, now, "shared", deadly) {
		t.Error("the request that crashes engines is not blocked")
	}
}

// Guards against a process that starts and lets a request through which crashed an upstream after its first quarantine.
func TestRenewedQuarantineOfIdentityIsRestored(t *testing.T) {
	l, restarted := NewList(), NewList()
	last := crashes(l, start, 3, deadly)
	again := crashes(l, last.Add(2*firstBlockTime), 1, deadly)
	restarted.Apply(l.Quarantined(), again)
	for name, list := range map[string]*List{"list": l, "restored list": restarted} {
		if !isBlocked(list, again.Add(2*firstBlockTime-time.Second), deadly) {
			t.Errorf("%s: the time was not doubled", name)
		}
	}
}

// Guards against memory without limit, against a quarantined identity that many others displace, and against parts of prompts that
// identities displace.
func TestIdentitiesAreBounded(t *testing.T) {
	l := NewList()
	last := crashes(l, start, 3, deadly)
	crashes(l, start, 2, "part")
	crashes(l, start, 2, "request:twice")
	for i := range 2 * maxIdentities {
		l.RecordCrash(Crash{Upstream: "v", Request: fmt.Sprint(i), Parts: []string{fmt.Sprint("request:", i)}, At: last.Add(time.Duration(i) * time.Millisecond)})
	}
	if n := int(l.identities.Load()); n > maxIdentities || n < maxIdentities*3/4 || len(l.suspects) != n+1 {
		t.Errorf("%d identities, %d suspects", n, len(l.suspects))
	}
	if !isBlocked(l, last.Add(10*time.Second), deadly) || l.suspects["part"] == nil || l.suspects["request:twice"] == nil {
		t.Error("a suspect with more crashes was displaced")
	}
	if isBlocked(l, last.Add(10*time.Minute), "x"); l.SuspectsRequests() != true || l.identities.Load() != 1 {
		t.Errorf("%d identities are still suspected after their time", l.identities.Load())
	}
	if isBlocked(l, last.Add(3*maxBlockTime), "x"); l.SuspectsRequests() {
		t.Error("a quarantined identity that never came again is kept")
	}
}

// Guards against a process that connects and does not learn of a quarantined request, because many suspects were added after it.
func TestQuarantinedIdentityIsReportedFromFullList(t *testing.T) {
	l, connected := NewList(), NewList()
	last := crashes(l, start, 3, deadly)
	for i := range 2 * maxIdentities {
		l.RecordCrash(Crash{Upstream: "v", Request: fmt.Sprint(i), Parts: []string{fmt.Sprint("request:", i)}, At: last.Add(time.Duration(i) * time.Millisecond)})
	}
	now := last.Add(2 * maxIdentities * time.Millisecond)
	if connected.Apply(l.Known(), now); !isBlocked(connected, now, deadly) {
		t.Error("not blocked at a process that has just connected")
	}
}

// Guards against the loss of an old quarantine that arrives from another process while requests are checked.
func TestOldQuarantineArrivesBesideRequests(t *testing.T) {
	l := NewList()
	last := crashes(l, start, 3, deadly)
	now := last.Add(2 * suspicionTime)
	again := crashes(l, now, 1, deadly)
	known, now := l.Known(), again.Add(time.Second)
	for range 500 {
		connected := NewList()
		stop, stopped := make(chan bool), make(chan bool)
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				default:
					connected.Check([]string{sound}, now)
				}
			}
		}()
		connected.Apply(known, now)
		close(stop)
		<-stopped
		if !isBlocked(connected, now, deadly) {
			t.Fatal("the request is not blocked")
		}
	}
}

// Guards against the loss of a quarantine that arrives at a process whose memory is full.
func TestQuarantineArrivesAtFullList(t *testing.T) {
	for _, fill := range []int{maxIdentities - 1, maxIdentities, maxIdentities + 1, maxIdentities + maxIdentities/removedShare - 1} {
		l, full := NewList(), NewList()
		last := crashes(l, start, 3, deadly)
		for i := range maxIdentities / 2 {
			l.RecordCrash(Crash{Upstream: "v", Request: fmt.Sprint(i), Parts: []string{fmt.Sprint("request:", i)}, At: start.Add(time.Duration(i) * time.Millisecond)})
		}
		for i := range fill {
			full.RecordCrash(Crash{Upstream: "w", Request: fmt.Sprint(i), Parts: []string{fmt.Sprint("request:full", i)}, At: last.Add(time.Second)})
		}
		if full.Apply(l.Known(), last.Add(time.Second)); !isBlocked(full, last.Add(time.Second), deadly) {
			t.Errorf("%d identities before: the request is not blocked", fill)
		}
		if n := full.identities.Load(); n > maxIdentities {
			t.Errorf("%d identities before: %d after", fill, n)
		}
	}
}

// Guards against a record in the store that grows without limit.
func TestStoredQuarantinesAreBounded(t *testing.T) {
	l := NewList()
	for i := range maxIdentities {
		crashes(l, start.Add(time.Duration(i)*time.Millisecond), 3, fmt.Sprint("request:", i))
	}
	if n := len(l.Quarantined().Crashes); n > maxStoredCrashes {
		t.Errorf("%d crashes in the report for the store", n)
	}
}

// Guards against probes of many processes at the same moment, each of which crashes an upstream, and against a sound request that
// stays refused because it was at the same three upstreams. Reports take reportTime, and an upstream crashes crashTime after it gets the
// request.
func TestProcessesProbeIdentityTogether(t *testing.T) {
	const (
		processes  = 32
		step       = 5 * time.Millisecond
		reportTime = 20 * time.Millisecond
		crashTime  = 100 * time.Millisecond
	)
	for seed := range uint64(20) {
		draw := rand.New(rand.NewPCG(seed, 1))
		now := start
		type event struct {
			at time.Time
			do func()
		}
		var events []event
		lists := make([]*List, processes)
		for i := range lists {
			lists[i] = NewList()
			lists[i].OnReport(func(report Report) {
				message := report.Message(now)
				events = append(events, event{now.Add(reportTime), func() {
					for j, other := range lists {
						if j != i {
							other.Apply(ReportFromMessage(message, now), now)
						}
					}
				}})
			})
		}
		for i := range 3 {
			at := start.Add(time.Duration(i) * 50 * time.Millisecond)
			lists[i].RecordCrash(Crash{Upstream: fmt.Sprint(i), Parts: []string{deadly}, At: at})
			lists[i+3].RecordCrash(Crash{Upstream: fmt.Sprint(i), Parts: []string{sound}, At: at})
		}
		now = now.Add(100 * time.Millisecond)
		sends := 0
		var served time.Time
		for ; now.Sub(start) < 2*time.Minute; now = now.Add(step) {
			var later []event
			due := events
			events = nil
			for _, e := range due {
				if e.at.After(now) {
					later = append(later, e)
				} else {
					e.do()
				}
			}
			events = append(events, later...)
			if now.Sub(start) < 200*time.Millisecond {
				continue // the reports of the third crash are on their way
			}
			if l := lists[draw.IntN(processes)]; !l.Enter([]string{deadly}, now).Blocked {
				sends++
				upstream := fmt.Sprint("after", sends)
				events = append(events, event{now.Add(crashTime), func() {
					l.RecordCrash(Crash{Upstream: upstream, Parts: []string{deadly}, At: now})
				}})
			}
			if l := lists[draw.IntN(processes)]; !l.Enter([]string{sound}, now).Blocked {
				if served.IsZero() {
					served = now
				}
				l.RecordFirstEvent([]string{sound}, now)
			}
		}
		if sends > 3 {
			t.Errorf("seed %d: %d retries reached upstreams within two minutes", seed, sends)
		}
		if took := served.Sub(start); served.IsZero() || took > 3*ambiguousBlockTime {
			t.Errorf("seed %d: the sound request was served again after %v", seed, took)
		}
	}
}

// seenAt returns a crash with a request, each at another upstream and of another caller's request.
func seenAt(upstream string, at time.Time, part string) Crash {
	return Crash{Upstream: upstream, Incarnation: 1, Request: upstream, Parts: []string{part}, At: at}
}

// Guards against a quarantine that no process writes to the store, because the last two crashes were reported at the same moment.
func TestCrossingReportsAreStored(t *testing.T) {
	a, b := NewList(), NewList()
	var fromA, fromB []Report
	changed := 0
	a.OnReport(func(r Report) { fromA = append(fromA, r) })
	b.OnReport(func(r Report) { fromB = append(fromB, r) })
	a.OnChange(func() { changed++ })
	b.OnChange(func() { changed++ })
	a.RecordCrash(seenAt("1", start, deadly))
	b.Apply(fromA[0], start)
	a.RecordCrash(seenAt("2", start.Add(time.Second), deadly))
	b.RecordCrash(seenAt("3", start.Add(time.Second+5*time.Millisecond), deadly))
	now := start.Add(time.Second + 10*time.Millisecond)
	a.Apply(fromB[0], now)
	b.Apply(fromA[1], now)
	if !isBlocked(a, now, deadly) || !isBlocked(b, now, deadly) || changed == 0 {
		t.Errorf("blocked %v and %v, %d changes", isBlocked(a, now, deadly), isBlocked(b, now, deadly), changed)
	}
}

// Guards against a quarantine that is over when it begins, because an older crash arrives last.
func TestOlderCrashArrivesLast(t *testing.T) {
	l := NewList()
	now := start.Add(150 * time.Second)
	l.RecordCrash(seenAt("3", now, deadly)) // after a start, before the first connection
	l.Apply(Report{Crashes: []Crash{seenAt("1", now.Add(-120*time.Second), deadly), seenAt("2", now.Add(-119*time.Second), deadly)}}, now)
	if !isBlocked(l, now.Add(10*time.Millisecond), deadly) {
		t.Error("not blocked after the third crash")
	}
}

// Guards against a sound request that is refused for a minute or more, because three upstreams that ran it failed at the same moment.
func TestRequestAtUpstreamsThatFailTogether(t *testing.T) {
	l := NewList()
	for i, upstream := range []string{"1", "2", "3"} {
		l.RecordCrash(seenAt(upstream, start.Add(time.Duration(i)*time.Millisecond), sound))
	}
	if !isBlocked(l, start.Add(time.Second), sound) || isBlocked(l, start.Add(2*ambiguousBlockTime+time.Second), sound) {
		t.Error("not blocked while the upstreams start, or blocked after that")
	}
}
