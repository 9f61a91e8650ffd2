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
	l.RecordFirstEvent([]string{"shared", "good"})
	if !isBlocked(l, last, "bad") {
		t.Error("the part alone is not blocked after the shared part was cleared")
	}
}

// Guards against a quarantine of parts whose requests only happened to wait at engines that crashed.
func TestFirstEventClearsPart(t *testing.T) {
	l := NewList()
	for i := range 10 {
		last := crashes(l, start.Add(time.Duration(i)*10*time.Second), 2, "sound")
		if cleared := l.RecordFirstEvent([]string{"sound"}); !slices.Equal(cleared, []string{"sound"}) {
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
	after := last.Add(2 * firstBlockTime)
	if isBlocked(l, after, "bad") || !isBlocked(l, after.Add(time.Second), "bad") {
		t.Error("not exactly one request is let through after the quarantine")
	}
	again := crashes(l, after.Add(2*time.Second), 1, "bad")
	if !isBlocked(l, again.Add(2*firstBlockTime-time.Second), "bad") {
		t.Error("the time was not doubled after another crash")
	}
	l.RecordFirstEvent([]string{"bad"})
	if isBlocked(l, again.Add(time.Second), "bad") {
		t.Error("blocked after a first event")
	}
}

// Guards against a restarted process that lets requests through which the others refuse.
func TestCrashesRestoreTheList(t *testing.T) {
	l, restarted := NewList(), NewList()
	last := crashes(l, start, 5, "shared", "bad")
	restarted.Apply(l.Known())
	if !isBlocked(restarted, last, "shared", "bad") || isBlocked(restarted, last, "shared") {
		t.Error("the restored list blocks other requests")
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
					l.RecordFirstEvent(parts)
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
