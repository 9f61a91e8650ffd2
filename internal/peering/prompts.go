package peering

import (
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
	if quarantined := m.options.Quarantine.Apply(report, now); len(quarantined) > 0 {
		m.options.Logger.Info("prompt parts quarantined", zap.Strings("parts", quarantined), zap.String("peer", session.Remote().GetProcess()))
	}
}
