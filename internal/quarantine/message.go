package quarantine

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
)

// maxReportCrashes limits the crashes that are taken from one message, to its newest. A list rarely has more than some tens.
const maxReportCrashes = 512

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

// ReportFromMessage returns the report of a message that was received at now. It takes no more from the message than this package reports, so that
// one of another writer costs little, and no crash later than now.
func ReportFromMessage(message *wirev1.PromptReport, now time.Time) Report {
	report := Report{Cleared: lastParts(message.GetClearedParts())}
	crashes := message.GetCrashes()
	for _, crash := range crashes[max(0, len(crashes)-maxReportCrashes):] {
		report.Crashes = append(report.Crashes, Crash{
			Upstream: crash.GetUpstream(), Incarnation: crash.GetIncarnation(), Request: crash.GetRequest(), Parts: lastParts(crash.GetParts()),
			At: now.Add(-bounded.Milliseconds(crash.GetAgeMs())),
		})
	}
	return report
}
