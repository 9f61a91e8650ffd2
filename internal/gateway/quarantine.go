package gateway

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// checkQuarantine refuses a request with a prompt that crashes engines.
func (r *request) checkQuarantine() error {
	if r.probe || r.events > 0 { // an engine has survived the start of its output
		return nil
	}
	return r.quarantineError(r.g.Quarantine.Check(r.promptParts, time.Now()))
}

// enterQuarantine makes the same check right before the request is sent to an engine. The request may be let through to find out
// whether its prompt still crashes engines.
func (r *request) enterQuarantine() error {
	if r.probe || r.events > 0 {
		return nil
	}
	decision := r.g.Quarantine.Enter(r.promptParts, time.Now())
	if r.probe = decision.Probe; r.probe {
		r.recordStep("quarantine_probe", strings.Join(r.promptParts, ","))
	}
	return r.quarantineError(decision)
}

func (r *request) quarantineError(decision quarantine.Decision) error {
	if !decision.Blocked {
		return nil
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_PROMPT_QUARANTINED, "requests with the prompt parts %s crashed several engines", strings.Join(decision.Parts, ","))
	if r.possibleRuns > 0 {
		refusal.Verdict = verdict.MayHaveRun
		return refusal
	}
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

// recordCrash records that an engine broke the connection while the request waited for its first event. The engine may also have
// only lost the answer; a later first event of a request with the same parts clears them.
func (r *request) recordCrash(engine *fleet.Upstream) {
	r.probe = false
	quarantined := r.g.Quarantine.RecordCrash(quarantine.Crash{
		Upstream: engine.ID, Incarnation: engine.Incarnation, Request: r.promptID(), Parts: r.promptParts, At: time.Now(),
	})
	r.g.Metrics.promptCrashes.Inc()
	r.g.Logger.Info("engine broke before the first event", zap.String("request", r.call.ID), zap.String("upstream", engine.ID),
		zap.Strings("parts", r.promptParts), zap.Strings("quarantined", quarantined))
}

// recordFirstEvent records that an engine survived the start of the request's output.
func (r *request) recordFirstEvent() {
	r.probe = false
	if cleared := r.g.Quarantine.RecordFirstEvent(r.promptParts, time.Now()); len(cleared) > 0 {
		r.g.Logger.Info("prompt parts cleared by a first event", zap.String("request", r.call.ID), zap.Strings("parts", cleared))
	}
}

// identity returns the identity of the request, which is the same for all requests with the same service, account, method, target
// and body. It is computed only when it is needed.
func (r *request) identity() string {
	if r.cachedIdentity == "" {
		r.cachedIdentity = quarantine.Identity(r.service.Name, r.accountName(), r.call.Method, r.call.Target, r.call.Body)
	}
	return r.cachedIdentity
}

// promptID identifies the request and the retries of its caller, which repeat the last part of the prompt.
func (r *request) promptID() string {
	if r.call.OwnPart != "" {
		return r.call.OwnPart
	}
	return r.call.ID
}

// mayBeCrash reports whether an attempt that failed before its first event failed like one at an engine that crashed. A timeout does
// not count, because an engine that hangs does so for all requests. A stream that continues after its first events does not either,
// because an engine has survived the start of its output.
func (r *request) mayBeCrash(err error) bool {
	var refusal *verdict.Refusal
	return r.ctx.Err() == nil && r.events == 0 && errors.As(err, &refusal) && refusal.Reason == wirev1.Reason_REASON_UPSTREAM_BROKE
}

// qualifyParts adds the name of the service to the parts of a prompt, because another service may have another model.
func qualifyParts(service string, parts []string) []string {
	qualified := make([]string, len(parts))
	for i, part := range parts {
		qualified[i] = service + "/" + part
	}
	return qualified
}
