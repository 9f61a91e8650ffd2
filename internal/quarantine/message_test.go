package quarantine

import (
	"fmt"
	"math"
	"syscall"
	"testing"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// crashesOf returns a message that quarantines the part "bad" if its crashes are of the given ages.
func crashesOf(ages ...int64) *wirev1.PromptReport {
	message := new(wirev1.PromptReport)
	for i, age := range ages {
		message.Crashes = append(message.Crashes, &wirev1.PromptCrash{
			Upstream: fmt.Sprint("u", i), Request: fmt.Sprint("r", i), Parts: []string{"bad"}, AgeMs: age,
		})
	}
	return message
}

// Guards against a crash that counts as one of a later time, because its age is negative or too large for a duration: its part stays blocked for
// centuries, a first event before that time doesn't clear it, and all parts that are only suspected are forgotten.
func TestAgesThatNoCrashHas(t *testing.T) {
	for _, age := range []int64{-1, -3_600_000, math.MinInt64, math.MinInt64 / 1_000_000, math.MaxInt64, math.MaxInt64 / 1_000_000, math.MaxInt64/1_000_000 + 1, 9_300_000_000_000} {
		now := time.Now()
		report := ReportFromMessage(crashesOf(age), now)
		if at := report.Crashes[0].At; at.After(now) {
			t.Errorf("age %d: a crash %v later", age, at.Sub(now))
		}
		list := NewList()
		list.RecordCrash(Crash{Upstream: "s", Request: "s", Parts: []string{"suspected"}, At: now.Add(-time.Second)})
		list.Apply(ReportFromMessage(crashesOf(age, age+1000, age+2000), now), now)
		if list.suspects["suspected"] == nil {
			t.Errorf("age %d: the other suspects are gone", age)
		}
		if d := list.Check([]string{"bad"}, now); d.RetryAfter > maxBlockTime {
			t.Errorf("age %d: blocked for %v", age, d.RetryAfter)
		}
		list.RecordFirstEvent([]string{"bad"}, now.Add(time.Second))
		if list.Apply(ReportFromMessage(crashesOf(age, age+1000, age+2000), now), now); list.Check([]string{"bad"}, now).Blocked {
			t.Errorf("age %d: blocked by crashes from before the first event", age)
		}
	}
}

// Guards against a report of another writer with so many parts or crashes that all requests wait while it is applied, and against the loss of what
// first events have cleared.
func TestReportOfMillionsOfParts(t *testing.T) {
	const count = 300_000 // of about 3 bytes each, in a value of 1 MB
	parts := make([]string, count)
	for i := range parts {
		parts[i] = fmt.Sprint(i)
	}
	crashes := make([]*wirev1.PromptCrash, count/3)
	for i := range crashes {
		crashes[i] = &wirev1.PromptCrash{Upstream: "u", Incarnation: int64(i), Request: parts[i], Parts: parts[i : i+1]}
	}
	large := make([]*wirev1.PromptCrash, count/maxPartsPerCrash)
	for i := range large {
		large[i] = &wirev1.PromptCrash{Upstream: "u", Incarnation: int64(i), Parts: parts[i*maxPartsPerCrash : (i+1)*maxPartsPerCrash]}
	}
	for name, message := range map[string]*wirev1.PromptReport{
		"parts of a crash": {Crashes: []*wirev1.PromptCrash{{Upstream: "u", Parts: parts}}}, "cleared parts": {ClearedParts: parts}, "crashes": {Crashes: crashes},
		"crashes with many parts": {Crashes: large},
	} {
		list, now := NewList(), time.Now()
		list.RecordFirstEvent([]string{"sound"}, now)
		var before, after syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
		list.Apply(ReportFromMessage(message, now), now)
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
		used := time.Duration(after.Utime.Nano() - before.Utime.Nano())
		t.Logf("%s: %v, %d suspects, %d survivals", name, used, len(list.suspects), len(list.survivals))
		if used > 200*time.Millisecond { // 2 s at a tenth of a core
			t.Errorf("%s: %v of processor time", name, used)
		}
		if list.survivals["sound"].IsZero() {
			t.Errorf("%s: what a first event cleared is forgotten", name)
		}
	}
}
