package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// sendPromptReport sends what this process learned about requests that crash upstreams to the other entry processes. Those without a
// session get all of it when they connect.
func (e *Entry) sendPromptReport(report quarantine.Report) {
	for _, m := range e.members.connected() {
		if session := m.peer.Session(); session != nil {
			go e.sendPromptReportTo(session, report)
		}
	}
}

func (e *Entry) sendPromptReportTo(session *transport.Session, report quarantine.Report) {
	message := report.Message(time.Now())
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_PromptReport{PromptReport: message}})
	if err != nil {
		e.logger.Debug("report of crashed upstreams not sent", zap.String("peer", session.Remote().GetProcess()), zap.Error(err))
		return
	}
	_ = stream.Close()
}

// sendKnownCrashes sends everything that is known about requests that crash upstreams to an entry process that has just connected.
func (e *Entry) sendKnownCrashes(session *transport.Session) {
	if session.Remote().GetRole() != wirev1.Role_ROLE_ENTRY {
		return
	}
	if known := e.quarantine.Known(); len(known.Crashes) > 0 {
		go e.sendPromptReportTo(session, known)
	}
}

// applyPromptReport records what another entry process learned about requests that crash upstreams.
func (e *Entry) applyPromptReport(process string, message *wirev1.PromptReport) {
	now := time.Now()
	if quarantined := e.quarantine.Apply(quarantine.ReportFromMessage(message, now), now); len(quarantined) > 0 {
		e.logger.Info("requests quarantined", zap.Strings("requests", quarantined), zap.String("peer", process))
	}
}

// requestIdentity identifies a request and its repeats for the quarantine.
type requestIdentity struct {
	// service is the pool or model that serves the request.
	service, method, target string
	body                    []byte
	// hash is computed when it is first needed.
	hash string
}

// suspectedParts returns the identity of the request for the quarantine, or nothing while no request is suspected.
func (r *request) suspectedParts() []string {
	if !r.entry.quarantine.SuspectsRequests() {
		return nil
	}
	return r.identityParts()
}

func (r *request) identityParts() []string {
	if r.identity.hash == "" {
		r.identity.hash = quarantine.Identity(r.identity.service, r.caller.account, r.identity.method, r.identity.target, r.identity.body)
		r.identity.body = nil
	}
	return []string{r.identity.hash}
}

// enterQuarantine refuses a request that crashes upstreams, right before it is sent to one.
func (r *request) enterQuarantine() error {
	if r.probe {
		return nil
	}
	decision := r.entry.quarantine.Enter(r.suspectedParts(), time.Now())
	r.probe = decision.Probe
	if !decision.Blocked {
		return nil
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_PROMPT_QUARANTINED, "the same request crashed several upstreams")
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

// recordCrash records an outcome that may be the crash of an upstream: it broke the connection before its answer, or the first token,
// was there. Outcomes of one crash have the same nonce.
func (r *request) recordCrash(upstream string, outcome *wirev1.Outcome) {
	if outcome.GetReason() != wirev1.Reason_REASON_UPSTREAM_BROKE || r.ctx.Err() != nil {
		return
	}
	r.probe = false
	parts := r.identityParts()
	nonce := outcome.GetNonce()
	quarantined := r.entry.quarantine.RecordCrash(quarantine.Crash{
		Upstream: upstream, Incarnation: int64(nonce.GetIncarnation() + nonce.GetIssuedMs()), Request: parts[0], Parts: parts, At: time.Now(),
	})
	r.entry.events.Record("upstream_crashed", r.name, upstream, events.Field("request", parts[0]),
		events.Field("quarantined", len(quarantined) > 0))
}

// recordSurvival records that an upstream answered the request. An answer with an error status clears nothing: an upstream in trouble
// may send it before it comes to what crashes it.
func (r *request) recordSurvival(status int) {
	if status < http.StatusInternalServerError {
		r.probe = false
		r.entry.quarantine.RecordFirstEvent(r.suspectedParts(), time.Now())
	}
}
