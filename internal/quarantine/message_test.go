package quarantine

import (
	"fmt"
	"math"
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
