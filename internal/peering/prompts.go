package peering

import (
	"context"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// SendPromptReport sends what this process learned about prompts that crash engines to all connected processes. A process that is
// not connected gets all of it when it connects.
func (m *Mesh) SendPromptReport(report quarantine.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for session := range m.sessions {
		go m.sendPromptReport(session, report)
	}
}

func (m *Mesh) sendPromptReport(session *transport.Session, report quarantine.Report) {
	message := &wirev1.PromptReport{ClearedParts: report.Cleared}
	for _, crash := range report.Crashes {
		message.Crashes = append(message.Crashes, &wirev1.PromptCrash{
			Upstream: crash.Upstream, Incarnation: crash.Incarnation, Request: crash.Request, Parts: crash.Parts,
			AgeMs: time.Since(crash.At).Milliseconds(),
		})
	}
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_PromptReport{PromptReport: message}})
	if err != nil {
		m.options.Logger.Info("prompt report not sent", zap.String("peer", session.Remote().GetProcess()), zap.String("error", err.Error()))
		return
	}
	if err := stream.Close(); err != nil {
		m.options.Logger.Info("prompt report not finished", zap.String("peer", session.Remote().GetProcess()), zap.String("error", err.Error()))
	}
}

// serveStream handles a stream that another process opened.
func (m *Mesh) serveStream(_ context.Context, session *transport.Session, open *wirev1.StreamOpen, _ *transport.Stream) {
	message := open.GetPromptReport()
	if message == nil {
		return
	}
	report := quarantine.Report{Cleared: message.GetClearedParts()}
	for _, crash := range message.GetCrashes() {
		report.Crashes = append(report.Crashes, quarantine.Crash{
			Upstream: crash.GetUpstream(), Incarnation: crash.GetIncarnation(), Request: crash.GetRequest(), Parts: crash.GetParts(),
			At: time.Now().Add(-time.Duration(crash.GetAgeMs()) * time.Millisecond),
		})
	}
	if quarantined := m.options.Quarantine.Apply(report, time.Now()); len(quarantined) > 0 {
		m.options.Logger.Info("prompt parts quarantined", zap.Strings("parts", quarantined), zap.String("peer", session.Remote().GetProcess()))
	}
}
