package quarantine

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
)

// Message returns the message form of the report at now.
func (r Report) Message(now time.Time) *wirev1.PromptReport {
	message := &wirev1.PromptReport{ClearedParts: r.Cleared}
	for _, crash := range r.Crashes {
		message.Crashes = append(message.Crashes, &wirev1.PromptCrash{
			Upstream: crash.Upstream, Incarnation: crash.Incarnation, Request: crash.Request, Parts: crash.Parts,
			AgeMs: now.Sub(crash.At).Milliseconds(),
		})
	}
	return message
}

// ReportFromMessage returns the report of a message that was received at now. It has no crash later than now.
func ReportFromMessage(message *wirev1.PromptReport, now time.Time) Report {
	report := Report{Cleared: message.GetClearedParts()}
	for _, crash := range message.GetCrashes() {
		report.Crashes = append(report.Crashes, Crash{
			Upstream: crash.GetUpstream(), Incarnation: crash.GetIncarnation(), Request: crash.GetRequest(), Parts: crash.GetParts(),
			At: now.Add(-bounded.Milliseconds(crash.GetAgeMs())),
		})
	}
	return report
}
