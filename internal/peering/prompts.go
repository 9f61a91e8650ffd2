package peering

import (
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// SendPromptReport sends what this process learned about prompts that crash engines to the connected processes, which pass it on. A process
// that is not connected gets all of it when it connects.
func (m *Mesh) SendPromptReport(report quarantine.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passPromptReportLocked(report, nil)
}

// passPromptReportLocked sends a report that came from a link, nil for this process itself, to the processes that do not get it otherwise.
// m.mu must be held.
func (m *Mesh) passPromptReportLocked(report quarantine.Report, from *link) {
	for _, l := range m.currentLocked() {
		if l != from && m.reports(l, from) {
			go m.sendPromptReport(l.session, report)
		}
	}
}

// sendKnownPromptsLocked sends all that this process knows about prompts that crash engines when a link begins to be used. m.mu must be held.
func (m *Mesh) sendKnownPromptsLocked(l *link) {
	used := l.coverage() != wirev1.Coverage_COVERAGE_NONE
	if used == l.promptsSent {
		return
	}
	l.promptsSent = used
	if known := m.options.Quarantine.Known(); used && len(known.Crashes) > 0 {
		go m.sendPromptReport(l.session, known)
	}
}

func (m *Mesh) sendPromptReport(session *transport.Session, report quarantine.Report) {
	message := report.Message(time.Now())
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_PromptReport{PromptReport: message}})
	if err != nil {
		m.options.Logger.Info("prompt report not sent", zap.String("peer", session.Remote().GetProcess()), zap.String("error", err.Error()))
		return
	}
	if err := stream.Close(); err != nil {
		m.options.Logger.Info("prompt report not finished", zap.String("peer", session.Remote().GetProcess()), zap.String("error", err.Error()))
	}
}

// applyPromptReport records what another process learned about prompts that crash engines.
func (m *Mesh) applyPromptReport(session *transport.Session, message *wirev1.PromptReport) {
	now := time.Now()
	report := quarantine.ReportFromMessage(message, now)
	if since := m.options.Quarantine.ClearedSince(report); len(since.Cleared) > 0 {
		go m.sendPromptReport(session, since)
	}
	if quarantined := m.options.Quarantine.Apply(report, now); len(quarantined) > 0 {
		m.options.Logger.Info("prompt parts quarantined", zap.Strings("parts", quarantined), zap.String("peer", session.Remote().GetProcess()))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if from := m.links[session]; from != nil {
		m.passPromptReportLocked(report, from)
	}
}
