package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// crashes adds n crashes of different engines and requests, one second apart, beginning at from, and returns the time of the last.
func crashes(l *List, from time.Time, n int, parts ...string) time.Time {
	for i := range n {
		at := from.Add(time.Duration(i) * time.Second)
		l.RecordCrash(Crash{Upstream: fmt.Sprintf("u%d", i), Incarnation: at.UnixMilli(), Request: at.String(), Parts: parts, At: at})
	}
	return from.Add(time.Duration(n-1) * time.Second)
}

func isBlocked(l *List, now time.Time, parts ...string) bool {
	return l.Enter(parts, now).Blocked
}

// Guards against prompts with one part that crash engine after engine.
func TestPartIsQuarantinedAfterThreeCrashes(t *testing.T) {
	l := NewList()
	last := crashes(l, start, 2, "bad")
	if isBlocked(l, last, "bad") {
		t.Error("blocked after two crashes")
	}
	last = crashes(l, start.Add(10*time.Second), 1, "bad")
	if !isBlocked(l, last, "other", "bad") {
		t.Error("not blocked after three crashes")
	}
	if isBlocked(l, last, "other") {
		t.Error("a request without the part is blocked")
	}
}

// Guards against sound requests that are refused because they share a part with the requests that crash engines.
func TestSharedPartsStayUsable(t *testing.T) {
	l := NewList()
	last := crashes(l, start, 4, "shared", "bad")
	if !isBlocked(l, last, "shared", "bad") {
		t.Error("the request that crashes engines is not blocked")
	}
	if isBlocked(l, last, "shared") || isBlocked(l, last, "shared", "good") {
		t.Error("a request with the shared part alone is blocked")
	}
	l.RecordFirstEvent([]string{"shared", "good"}, last)
	if !isBlocked(l, last, "bad") {
		t.Error("the part alone is not blocked after the shared part was cleared")
	}
}

// Guards against a quarantine of parts whose requests only happened to wait at engines that crashed.
func TestFirstEventClearsPart(t *testing.T) {
	l := NewList()
	for i := range 10 {
		last := crashes(l, start.Add(time.Duration(i)*10*time.Second), 2, "sound")
		if cleared := l.RecordFirstEvent([]string{"sound"}, last); !slices.Equal(cleared, []string{"sound"}) {
			t.Fatalf("cleared %v", cleared)
		}
		if isBlocked(l, last, "sound") {
			t.Fatal("blocked although requests reached their first event between the crashes")
		}
	}
}

// Guards against a quarantine after a rack failed, after the retries of one request broke, or after many requests broke at one engine.
func TestChanceCrashesDoNotQuarantine(t *testing.T) {
	for name, crash := range map[string]func(i int) Crash{
		"rack": func(i int) Crash {
			return Crash{Upstream: fmt.Sprint(i), Request: fmt.Sprint(i), At: start.Add(time.Duration(i) * 20 * time.Millisecond)}
		},
		"retries of one request": func(i int) Crash {
			return Crash{Upstream: fmt.Sprint(i), Request: "r", At: start.Add(time.Duration(i) * time.Second)}
		},
		"one engine": func(i int) Crash {
			return Crash{Upstream: "u", Incarnation: 1, Request: fmt.Sprint(i), At: start.Add(time.Duration(i) * time.Second)}
		},
	} {
		l := NewList()
		for i := range 10 {
			c := crash(i)
			c.Parts = []string{"sound"}
			l.RecordCrash(c)
		}
		if isBlocked(l, start.Add(10*time.Second), "sound") {
			t.Errorf("%s: blocked", name)
		}
	}
}

// Guards against a quarantine that never ends, and against more than one request at a time that finds out whether it may.
func TestQuarantineEndsWithOneRequest(t *testing.T) {
	l := NewList()
	last := crashes(l, start, 3, "bad")
	if !isBlocked(l, last.Add(firstBlockTime-time.Second), "bad") {
		t.Error("not blocked for the whole time")
	}
	after := last.Add(2 * firstBlockTime) // the latest end of the random time
	if isBlocked(l, after, "bad") || !isBlocked(l, after.Add(time.Second), "bad") {
		t.Error("not exactly one request is let through after the quarantine")
	}
	again := crashes(l, after.Add(2*time.Second), 1, "bad")
	if !isBlocked(l, again.Add(2*firstBlockTime-time.Second), "bad") {
		t.Error("the time was not doubled after another crash")
	}
	l.RecordFirstEvent([]string{"bad"}, again)
	if isBlocked(l, again.Add(time.Second), "bad") {
		t.Error("blocked after a first event")
	}
}

// Guards against a restarted process that lets requests through which the others refuse.
func TestCrashesRestoreTheList(t *testing.T) {
	l, restarted := NewList(), NewList()
	last := crashes(l, start, 5, "shared", "bad")
	restarted.Apply(l.Known(), last)
	if !isBlocked(restarted, last, "shared", "bad") || isBlocked(restarted, last, "shared") {
		t.Error("the restored list blocks other requests")
	}
}

// Guards against crashes that come too fast to be told apart and never lead to a quarantine.
func TestFastCrashesQuarantine(t *testing.T) {
	l := NewList()
	for i := range 1000 {
		at := start.Add(time.Duration(i) * 20 * time.Millisecond)
		l.RecordCrash(Crash{Upstream: fmt.Sprint("u", i), Request: fmt.Sprint("r", i), Parts: []string{"bad"}, At: at})
		if isBlocked(l, at, "bad") {
			if i > 30 {
				t.Errorf("blocked only after %d crashes", i+1)
			}
			return
		}
	}
	t.Error("never blocked")
}

// Guards against processes that each let a request through after a quarantine and crash one engine after the other.
func TestProcessesProbeTogether(t *testing.T) {
	const processes = 25
	lists := make([]*List, processes)
	now := start
	for i := range lists {
		lists[i] = NewList()
		lists[i].OnReport(func(report Report) {
			for j, other := range lists {
				if j != i {
					other.Apply(report, now)
				}
			}
		})
	}
	crashed := 0
	crash := func(l *List) {
		crashed++
		l.RecordCrash(Crash{Upstream: fmt.Sprint("u", crashed), Request: fmt.Sprint("r", crashed), Parts: []string{"bad"}, At: now})
	}
	for range minCrashes {
		crash(lists[0])
		now = now.Add(time.Second)
	}
	for ; now.Sub(start) < 10*time.Minute; now = now.Add(300 * time.Millisecond) {
		for _, l := range lists {
			if !isBlocked(l, now, "bad") {
				crash(l)
			}
		}
	}
	if crashed > minCrashes+4 { // the quarantine doubles from one to two minutes up
		t.Errorf("%d engines crashed in ten minutes", crashed)
	}
}

// Guards against sound requests that are refused because they waited at engines beside the requests that crashed them.
func TestRequestsBesideTheCauseStayUsable(t *testing.T) {
	l := NewList()
	for i := range 5 {
		at := start.Add(time.Duration(i) * time.Second)
		crash := Crash{Upstream: fmt.Sprint("u", i), At: at, Request: fmt.Sprint("sound", i), Parts: []string{"shared", fmt.Sprint("good", i)}}
		l.RecordCrash(crash)
		crash.Request, crash.Parts = fmt.Sprint("cause", i), []string{"shared", "bad"}
		l.RecordCrash(crash)
	}
	now := start.Add(5 * time.Second)
	if isBlocked(l, now, "shared", "good") || !isBlocked(l, now, "shared", "bad") {
		t.Error("the list blocks requests with the shared part alone, or does not block the cause")
	}
}

// Guards against a quarantine of a shared part because of one more crash, of a request with another part, after the quarantine began;
// and against a quarantine that never grows to requests that share only the cause.
func TestQuarantineWidensOnlyWithEvidence(t *testing.T) {
	l := NewList()
	last := crashes(l, start, 3, "shared", "bad")
	crash := Crash{Upstream: "v", Request: "other", Parts: []string{"shared", "other"}, At: last.Add(time.Second)}
	if l.RecordCrash(crash); isBlocked(l, crash.At, "shared") || isBlocked(l, crash.At, "shared", "good") {
		t.Error("one crash with another part blocks the shared part")
	}
	if !isBlocked(l, crash.At, "shared", "bad") || isBlocked(l, crash.At, "different", "bad") {
		t.Error("the quarantine before the other crash has changed")
	}
	for i := range 3 {
		crash = Crash{Upstream: fmt.Sprint("w", i), Request: fmt.Sprint("s", i), Parts: []string{fmt.Sprint("first", i), "bad"}, At: last.Add(time.Duration(2+i) * time.Second)}
		l.RecordCrash(crash)
	}
	if !isBlocked(l, crash.At, "different", "bad") || !isBlocked(l, crash.At, "shared", "bad") {
		t.Error("the cause is not blocked with every first part after three crashes")
	}
}

// Guards against a quarantine because of crashes that a process which was cut off reports after requests reached their first event, against one that it
// keeps itself, and against the loss of crashes after that.
func TestLateReportsOfSoundParts(t *testing.T) {
	for _, part := range []string{"sound", sound} {
		inTouch, cutOff := NewList(), NewList()
		last := crashes(cutOff, start, 5, part)
		inTouch.Apply(cutOff.Known(), last)
		if !isBlocked(inTouch, last, part) {
			t.Fatalf("%s: not blocked", part)
		}
		inTouch.RecordFirstEvent([]string{part}, last.Add(time.Second))
		reconnected := last.Add(2 * time.Second)
		report := ReportFromMessage(cutOff.Known().Message(reconnected), reconnected)
		since := inTouch.ClearedSince(report)
		if inTouch.Apply(report, reconnected); isBlocked(inTouch, reconnected, part) {
			t.Errorf("%s: blocked because of crashes before a first event", part)
		}
		if !isBlocked(cutOff, reconnected, part) {
			t.Fatalf("%s: the process that was cut off does not block", part)
		}
		if cutOff.Apply(ReportFromMessage(since.Message(reconnected), reconnected), reconnected); isBlocked(cutOff, reconnected, part) {
			t.Errorf("%s: the process that was cut off blocks because of crashes before a first event", part)
		}
		last = crashes(cutOff, reconnected, 5, part)
		if cutOff.Apply(since, last); !isBlocked(cutOff, last, part) {
			t.Errorf("%s: crashes after a first event are forgotten", part)
		}
	}
}

// Guards against suspicions that never end, and against chance crashes that displace a quarantined part.
func TestSuspicionsEndAndQuarantinesStay(t *testing.T) {
	l := NewList()
	last := crashes(l, start, 2, "sound")
	if last = crashes(l, last.Add(suspicionTime+time.Second), 1, "sound"); isBlocked(l, last, "sound") {
		t.Error("blocked because of crashes before suspicionTime")
	}
	last = crashes(l, last, 3, "bad")
	for i := range 2 * maxSuspects {
		l.RecordCrash(Crash{Upstream: fmt.Sprint("v", i), Request: fmt.Sprint(i), Parts: []string{fmt.Sprint("p", i)}, At: last.Add(time.Duration(i) * time.Millisecond)})
		l.RecordFirstEvent([]string{fmt.Sprint("q", i)}, last)
	}
	if !isBlocked(l, last.Add(2*time.Second), "bad") {
		t.Error("a quarantined part was displaced")
	}
	if len(l.suspects) > maxSuspects || len(l.survivals) > maxSurvivals {
		t.Errorf("%d suspects, %d survivals", len(l.suspects), len(l.survivals))
	}
}

// Guards against a list that blocks a request without a quarantined part, or grows without limit.
func TestListProperties(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("only requests with a part of three crashes are blocked, and the list is bounded", prop.ForAll(
		func(steps []int) bool {
			l := NewList()
			counts := make(map[string]int)
			now := start
			for i, step := range steps {
				now = now.Add(time.Duration(step%7) * 100 * time.Millisecond)
				parts := []string{fmt.Sprint("a", step%5), fmt.Sprint("b", step%700)}
				if step%3 == 0 {
					l.RecordFirstEvent(parts, now)
					for _, part := range parts {
						counts[part] = 0
					}
					continue
				}
				l.RecordCrash(Crash{Upstream: fmt.Sprint(step % 11), Incarnation: int64(i), Request: fmt.Sprint(step % 13), Parts: parts, At: now})
				for _, part := range parts {
					counts[part]++
				}
				if l.Check(parts, now).Blocked && max(counts[parts[0]], counts[parts[1]]) < minCrashes {
					return false
				}
			}
			return len(l.suspects) <= maxSuspects
		}, gen.SliceOf(gen.IntRange(0, 100000))))
	properties.TestingRun(t)
}
