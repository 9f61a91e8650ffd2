package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/ledger"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// ledgerDeadline limits the wait for the ledger while the owner of an account's shard changes.
const ledgerDeadline = 10 * time.Second

// request is what model requests and calls of plain services have in common.
type request struct {
	e      *Entry
	id     *wirev1.CallID
	name   string
	begin  time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	caller caller

	chargeID  *wirev1.CallID
	charged   uint64
	chargedAt time.Time
	// waiting is set when a wait for an upstream was recorded.
	waiting bool
}

func (e *Entry) newRequest(w http.ResponseWriter, r *http.Request) *request {
	e.begin()
	id := e.nextCallID()
	ctx, cancel := context.WithCancelCause(r.Context())
	req := &request{e: e, id: id, name: requestName(id), begin: time.Now(), ctx: ctx, cancel: cancel}
	w.Header().Set(headerRequestID, req.name)
	e.events.Record("received", req.name, "", events.Field("method", r.Method), events.Field("path", r.URL.Path))
	return req
}

func (r *request) close() {
	r.cancel(nil)
	r.e.events.Record("ended", r.name, "", events.Field("elapsed_ms", time.Since(r.begin).Milliseconds()))
	r.e.end()
}

// callerGone reports whether the request ended because its caller went away.
func (r *request) callerGone() bool {
	return r.ctx.Err() != nil && errors.Is(context.Cause(r.ctx), context.Canceled)
}

func (r *request) event(upstream string) func(kind string) {
	return func(kind string) { r.e.events.Record(kind, r.name, upstream) }
}

// authorize checks key and configuration again and makes sure that the account was charged recently. Its caller already
// holds the nonce with which the work will start, so the charge is at most ledger.StartSlack old by then.
func (r *request) authorize(tokens uint64) error {
	if err := r.e.recheck(r.caller); err != nil {
		return err
	}
	if r.caller.account == "" {
		return nil
	}
	if r.chargeID != nil && time.Since(r.chargedAt) < ledger.MaxChargeAge {
		return nil
	}
	return r.charge(tokens)
}

func (r *request) charge(tokens uint64) error {
	ctx, cancel := context.WithTimeout(r.ctx, ledgerDeadline)
	defer cancel()
	id := r.e.nextCallID()
	asked := time.Now()
	first := r.chargeID == nil
	err := r.e.ledger.Charge(ctx, id, r.caller.account, tokens, r.chargeID)
	if first {
		r.e.metrics.Accounts.Asked(r.caller.account, tokens, err == nil)
	}
	if err != nil {
		return err
	}
	r.chargeID, r.charged, r.chargedAt = id, tokens, asked
	if !first {
		return nil // an exchange for a fresh charge of the same size
	}
	r.e.events.Record("charged", r.name, "", events.Field("account", r.caller.account), events.Field("tokens", tokens))
	return nil
}

// settle returns the unused part of the charge. Work that may have run keeps its whole charge.
func (r *request) settle(used uint64, v verdict.Verdict) {
	if r.chargeID == nil {
		return
	}
	if v == verdict.MayHaveRun {
		used = r.charged
	}
	r.e.ledger.Settle(r.chargeID, r.caller.account, used)
	r.chargeID = nil
}

// awaitBudget waits for room in the retry budget while waiting is worth it, so that a burst of failures delays requests in
// place of ending them, and the rate of retries stays bounded. It reports whether the request may be tried again.
func (r *request) awaitBudget(worthWaiting func() bool) bool {
	for !r.e.budget.Allow() {
		if !worthWaiting() || !wait.For(r.ctx, replanPause) {
			return false
		}
	}
	return true
}

// noteFailure keeps an upstream that failed a request from being chosen again at once.
func (r *request) noteFailure(upstream string, err error) {
	if err != nil && r.ctx.Err() == nil && retryable(verdict.As(err)) {
		r.e.scheduler.ObserveFailure(upstream)
	}
}

// noUpstream reports whether a request ended because no upstream accepts work now.
func noUpstream(refusal *verdict.Refusal) bool {
	return refusal.Reason == wirev1.Reason_REASON_NO_UPSTREAM && refusal.Verdict == verdict.NotRun
}

// noteWaiting records once that the request waits for an upstream that accepts work.
func (r *request) noteWaiting(refusal *verdict.Refusal) {
	if !r.waiting {
		r.waiting = true
		r.e.events.Record("waiting", r.name, "", events.Field("reason", verdict.ReasonName(refusal.Reason)),
			events.Field("detail", refusal.Detail))
	}
}

// retryable reports whether another attempt can end better. Refusals that concern the request itself cannot.
func retryable(refusal *verdict.Refusal) bool {
	switch refusal.Reason {
	case wirev1.Reason_REASON_NO_PLACE, wirev1.Reason_REASON_LEAVING, wirev1.Reason_REASON_STALE_NONCE,
		wirev1.Reason_REASON_BARRED, wirev1.Reason_REASON_STALLED, wirev1.Reason_REASON_UPSTREAM_UNREACHABLE,
		wirev1.Reason_REASON_UPSTREAM_BROKE, wirev1.Reason_REASON_UPSTREAM_ERROR, wirev1.Reason_REASON_EVICTED,
		wirev1.Reason_REASON_NO_RESERVATION, wirev1.Reason_REASON_ENTRY_LOST, wirev1.Reason_REASON_NO_UPSTREAM,
		wirev1.Reason_REASON_UPSTREAM_RESTARTED, wirev1.Reason_REASON_STOPPING, wirev1.Reason_REASON_UNKNOWN_CALL:
		return true
	default:
		return false
	}
}
