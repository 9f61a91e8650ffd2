package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// checkQuarantine refuses a request that crashes upstreams, by itself or because of its prompt.
func (r *request) checkQuarantine() error {
	if r.probe || r.events.Load() > 0 { // an engine has survived the start of its output
		return nil
	}
	return r.quarantineError(r.g.Quarantine.Check(r.suspectedParts(), time.Now()))
}

// enterQuarantine makes the same check right before the request is sent to an upstream. The request may be let through to find out
// whether it still crashes upstreams.
func (r *request) enterQuarantine() error {
	if r.probe || r.events.Load() > 0 {
		return nil
	}
	parts := r.suspectedParts()
	decision := r.g.Quarantine.Enter(parts, time.Now())
	if r.probe = decision.Probe; r.probe {
		r.recordStep("quarantine_probe", strings.Join(parts, ","))
	}
	return r.quarantineError(decision)
}

func (r *request) quarantineError(decision quarantine.Decision) error {
	if !decision.Blocked {
		return nil
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_PROMPT_QUARANTINED, "requests with the parts %s crashed several upstreams", strings.Join(decision.Parts, ","))
	if r.possibleRuns > 0 {
		refusal.Verdict = verdict.MayHaveRun
		return refusal
	}
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

// suspectedParts returns the parts of the request that may be suspected: those of its prompt, and its identity.
func (r *request) suspectedParts() []string {
	if !r.g.Quarantine.SuspectsRequests() {
		return r.promptParts
	}
	return r.allParts()
}

func (r *request) allParts() []string {
	return append(r.promptParts[:len(r.promptParts):len(r.promptParts)], r.identity())
}

// recordCrash records that an upstream broke the connection while the request waited for its answer, or for its first event. The
// upstream may also have only lost the answer; a later answer or first event clears the parts that the requests share.
func (r *request) recordCrash(upstream *fleet.Upstream) {
	r.probe = false
	parts := r.allParts()
	quarantined := r.g.Quarantine.RecordCrash(quarantine.Crash{
		Upstream: upstream.ID, Incarnation: upstream.Incarnation, Request: r.promptID(), Parts: parts, At: time.Now(),
	})
	r.g.Metrics.countCrash(r.service)
	r.g.Logger.Info("upstream broke before the answer", zap.String("request", r.call.ID), zap.String("upstream", upstream.ID),
		zap.Strings("parts", parts), zap.Strings("quarantined", quarantined))
}

// recordSurvival records that an upstream survived the start of the request's output.
func (r *request) recordSurvival() {
	r.probe = false
	if cleared := r.g.Quarantine.RecordFirstEvent(r.suspectedParts(), time.Now()); len(cleared) > 0 {
		r.g.Logger.Info("parts cleared by an answer", zap.String("request", r.call.ID), zap.Strings("parts", cleared))
	}
}

// recordAnswer records that an upstream sent a complete answer to the request. One with an error status clears nothing: an upstream in
// trouble may send it before it comes to what crashes it.
func (r *request) recordAnswer(status int) {
	if status < http.StatusInternalServerError {
		r.recordSurvival()
	}
}

// identity returns the identity of the request, which is the same for all requests with the same host, account, method, target and
// body, whichever service the route sends them to. It is computed only when it is needed.
func (r *request) identity() string {
	if r.cachedIdentity == "" {
		r.cachedIdentity = quarantine.Identity(r.call.Host, r.accountName(), r.call.Method, r.call.Target, r.call.Body)
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

// mayBeCrash reports whether an attempt that failed before its answer or first event failed like one at an upstream that crashed. ctx is
// the context of the attempt. A timeout does not count, because an upstream that hangs does so for all requests. A stream that continues
// after its first events does not either, because an engine has survived the start of its output.
func (r *request) mayBeCrash(ctx context.Context, err error) bool {
	var refusal *verdict.Refusal
	return ctx.Err() == nil && r.events.Load() == 0 && errors.As(err, &refusal) && refusal.Reason == wirev1.Reason_REASON_UPSTREAM_BROKE
}

// qualifyParts adds the name of the service to the parts of a prompt, because another service may have another model.
func qualifyParts(service string, parts []string) []string {
	qualified := make([]string, len(parts))
	for i, part := range parts {
		qualified[i] = service + "/" + part
	}
	return qualified
}
