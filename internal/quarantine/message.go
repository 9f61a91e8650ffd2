package quarantine

import (
	"slices"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Message returns the message form of the report at now. A crash without an upstream stands for a probe.
func (r Report) Message(now time.Time) *wirev1.PromptReport {
	message := &wirev1.PromptReport{ClearedParts: r.Cleared}
	for _, crash := range slices.Concat(r.Crashes, r.Probes) {
		message.Crashes = append(message.Crashes, &wirev1.PromptCrash{
			Upstream: crash.Upstream, Incarnation: crash.Incarnation, Request: crash.Request, Parts: crash.Parts,
			AgeMs: now.Sub(crash.At).Milliseconds(),
		})
	}
	return message
}

// ReportFromMessage returns the report of a message that was received at now.
func ReportFromMessage(message *wirev1.PromptReport, now time.Time) Report {
	report := Report{Cleared: message.GetClearedParts()}
	for _, received := range message.GetCrashes() {
		crash := Crash{
			Upstream: received.GetUpstream(), Incarnation: received.GetIncarnation(), Request: received.GetRequest(), Parts: received.GetParts(),
			At: now.Add(-time.Duration(received.GetAgeMs()) * time.Millisecond),
		}
		if crash.Upstream == "" {
			report.Probes = append(report.Probes, crash)
		} else {
			report.Crashes = append(report.Crashes, crash)
		}
	}
	return report
}
