package quarantine

import (
	"slices"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
)

// Message returns the message form of the report at now. A crash without an upstream stands for a probe.
func (r Report) Message(now time.Time) *wirev1.PromptReport {
	message := new(wirev1.PromptReport)
	for _, c := range r.Cleared {
		message.ClearedParts = append(message.ClearedParts, c.Part)
		message.ClearedAgeMs = append(message.ClearedAgeMs, now.Sub(c.At).Milliseconds())
	}
	for _, crash := range slices.Concat(r.Crashes, r.Probes) {
		message.Crashes = append(message.Crashes, &wirev1.PromptCrash{
			Upstream: crash.Upstream, Incarnation: crash.Incarnation, Request: crash.Request, Parts: crash.Parts,
			AgeMs: now.Sub(crash.At).Milliseconds(),
		})
	}
	return message
}

const (
	// maxReceivedCrashes limits the crashes that are taken from one message, to its newest. A full list has no more.
	maxReceivedCrashes = 2 * (maxIdentities + maxSuspects) * maxCrashesPerSuspect
	// maxReceivedWork limits them further if they have many parts. Each part of a crash keeps all parts of it, so that a crash with n
	// parts counts n*n.
	maxReceivedWork = 1 << 21
)

// ReportFromMessage returns the report of a message that was received at now. It takes no more from the message than this package reports, so that
// one of another writer costs little, and no crash later than now.
func ReportFromMessage(message *wirev1.PromptReport, now time.Time) Report {
	var report Report
	cleared, ages := message.GetClearedParts(), message.GetClearedAgeMs()
	for i := max(0, len(cleared)-maxPartsPerCrash); i < len(cleared); i++ {
		at := now
		if i < len(ages) {
			at = now.Add(-bounded.Milliseconds(ages[i]))
		}
		report.Cleared = append(report.Cleared, Clearing{cleared[i], at})
	}
	for _, received := range newestCrashes(message.GetCrashes()) {
		crash := Crash{
			Upstream: received.GetUpstream(), Incarnation: received.GetIncarnation(), Request: received.GetRequest(),
			Parts: newest(received.GetParts(), maxPartsPerCrash), At: now.Add(-bounded.Milliseconds(received.GetAgeMs())),
		}
		if crash.Upstream == "" {
			report.Probes = append(report.Probes, crash)
		} else {
			report.Crashes = append(report.Crashes, crash)
		}
	}
	return report
}

// newestCrashes returns the last crashes of a message, within the limits.
func newestCrashes(crashes []*wirev1.PromptCrash) []*wirev1.PromptCrash {
	crashes = crashes[max(0, len(crashes)-maxReceivedCrashes):]
	work, first := 0, len(crashes)
	for first > 0 {
		parts := min(len(crashes[first-1].GetParts()), maxPartsPerCrash)
		if work += parts * parts; work > maxReceivedWork {
			break
		}
		first--
	}
	return crashes[first:]
}

// newest returns the last elements of a list, at most limit.
func newest(list []string, limit int) []string { return list[max(0, len(list)-limit):] }
