package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/ledger"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// ledgerDeadline is the longest wait for a charge, for example while the owner of the account's ledger shard changes.
const ledgerDeadline = 10 * time.Second

// errProcessEnds is the cancellation cause of a request that runs when the time of a planned stop is over.
var errProcessEnds = errors.New("the process has ended")

// endRetryAfter is the time after which callers of an ending process should try again.
const endRetryAfter = time.Second

// request is the common part of model requests and calls of plain services.
type request struct {
	entry     *Entry
	id        *wirev1.CallID
	name      string
	startTime time.Time
	ctx       context.Context
	cancel    context.CancelCauseFunc
	caller    caller

	chargeID  *wirev1.CallID
	charged   uint64
	chargedAt time.Time
	// body is nil until the body of the request is read. discardBody is set if the rest of a refused body must be read.
	body        *membudget.Buffer
	discardBody bool
	// dispatched is set once a call was sent to an upstream for the request.
	dispatched bool
	identity   requestIdentity
	// probe is set while the request finds out whether it still crashes upstreams, after its quarantine.
	probe bool
	// ranEarlier is set once an attempt that may have run is followed by another one.
	ranEarlier bool
	// waitRecorded is set once the event of a wait for an upstream was recorded.
	waitRecorded bool
}

func (e *Entry) newRequest(w http.ResponseWriter, r *http.Request) *request {
	id := e.nextCallID()
	ctx, cancel := context.WithCancelCause(r.Context())
	req := &request{entry: e, id: id, name: requestName(id), startTime: time.Now(), ctx: ctx, cancel: cancel}
	e.requestStarted(req)
	w.Header().Set(headerRequestID, req.name)
	e.events.Record("received", req.name, "", events.Field("method", r.Method), events.Field("path", r.URL.Path))
	return req
}

func (r *request) close() {
	r.cancel(nil)
	r.entry.events.Record("ended", r.name, "", events.Field("elapsed_ms", time.Since(r.startTime).Milliseconds()))
	r.entry.requestEnded(r)
}

// callerDisconnected reports whether the request was cancelled because its caller disconnected.
func (r *request) callerDisconnected() bool {
	return r.ctx.Err() != nil && errors.Is(context.Cause(r.ctx), context.Canceled)
}

// recordDispatch records that a call is sent to an upstream.
func (r *request) recordDispatch(upstream string, id *wirev1.CallID) {
	r.dispatched = true
	r.entry.events.Record("dispatched", r.name, upstream, events.Field("call", requestName(id)))
}

// recordRetry records that another attempt follows one that failed.
func (r *request) recordRetry(kind string, refusal *verdict.Refusal, fields ...*wirev1.Header) {
	r.ranEarlier = r.ranEarlier || refusal.Verdict != verdict.NotRun
	r.entry.metrics.Retried(kind, refusal.Reason)
	fields = append(fields, events.Field("reason", verdict.ReasonName(refusal.Reason)), events.Field("detail", refusal.Detail))
	r.entry.events.Record("retry", r.name, "", fields...)
}

// finalRefusal returns a copy of the refusal that ends the request. "Not run" has to hold for all of its attempts.
func (r *request) finalRefusal(err error) *verdict.Refusal {
	refusal := *verdict.As(err)
	if r.ranEarlier && refusal.Verdict == verdict.NotRun {
		refusal.Verdict = verdict.MayHaveRun
	}
	return &refusal
}

// cancelCause returns the refusal with which the request was cancelled, for example because its key was withdrawn. It returns
// err if the request was not cancelled, or was cancelled because its caller disconnected.
func (r *request) cancelCause(err error) error {
	cause := context.Cause(r.ctx)
	switch {
	case cause == nil || errors.Is(cause, context.Canceled):
		return err
	case !errors.Is(cause, errProcessEnds):
		return cause
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_STOPPING, "the process ended before the request did")
	refusal.RetryAfter = endRetryAfter
	if r.dispatched {
		refusal.Verdict = verdict.MayHaveRun
	}
	return refusal
}

func (r *request) eventRecorder(upstream string) func(kind string) {
	return func(kind string) { r.entry.events.Record(kind, r.name, upstream) }
}

// authorize checks key and configuration again and makes sure that the account was charged recently. The first work
// of an attempt may start only if authorize was called after the nonce of that work was obtained: the charge is then at most
// ledger.MaxStartDelay old when the work starts.
func (r *request) authorize(ctx context.Context, tokens uint64) error {
	if err := r.entry.reauthorize(r.caller); err != nil {
		return err
	}
	if r.caller.account == "" {
		return nil
	}
	if r.chargeID != nil && time.Since(r.chargedAt) < ledger.MaxChargeAge {
		return nil
	}
	return r.charge(ctx, tokens)
}

func (r *request) charge(ctx context.Context, tokens uint64) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerDeadline)
	defer cancel()
	id := r.entry.nextCallID()
	requestedAt := time.Now()
	first := r.chargeID == nil
	err := r.entry.ledger.Charge(ctx, id, r.caller.account, tokens, r.chargeID)
	if first {
		r.entry.metrics.Accounts.CountRequested(r.caller.account, tokens, err == nil)
	}
	if err != nil {
		return err
	}
	r.chargeID, r.charged, r.chargedAt = id, tokens, requestedAt
	if !first {
		return nil // the earlier charge was replaced by a fresh one of the same size
	}
	r.entry.events.Record("charged", r.name, "", events.Field("account", r.caller.account), events.Field("tokens", tokens))
	return nil
}

// settle refunds the unused part of the charge. Nothing is refunded for work that may have run.
func (r *request) settle(used uint64, v verdict.Verdict) {
	if r.chargeID == nil {
		return
	}
	if v == verdict.MayHaveRun {
		used = r.charged
	}
	r.entry.ledger.Settle(r.chargeID, r.caller.account, used)
	r.chargeID = nil
}

// waitForRetryBudget waits until the retry budget permits a retry, as long as worthWaiting reports true. A burst of failures
// then delays requests instead of failing them, while the rate of retries stays bounded. It reports whether the request may
// be retried.
func (r *request) waitForRetryBudget(worthWaiting func() bool) bool {
	for !r.entry.budget.Allow() {
		if !worthWaiting() || !wait.For(r.ctx, replanInterval) {
			return false
		}
	}
	return true
}

// reportUpstreamFailure tells the scheduler that an upstream failed a request, so that it is not chosen again at once.
func (r *request) reportUpstreamFailure(upstream string, err error) {
	if err != nil && r.ctx.Err() == nil && isRetryable(verdict.As(err)) {
		r.entry.scheduler.ObserveFailure(upstream)
	}
}

// isNoUpstream reports whether an attempt failed because no upstream accepts work now.
func isNoUpstream(refusal *verdict.Refusal) bool {
	return refusal.Reason == wirev1.Reason_REASON_NO_UPSTREAM && refusal.Verdict == verdict.NotRun
}

// recordWaiting records, once per request, that it waits for an upstream which accepts work.
func (r *request) recordWaiting(refusal *verdict.Refusal) {
	if !r.waitRecorded {
		r.waitRecorded = true
		r.entry.events.Record("waiting", r.name, "", events.Field("reason", verdict.ReasonName(refusal.Reason)),
			events.Field("detail", refusal.Detail))
	}
}

// isRetryable reports whether another attempt may succeed. It cannot if the refusal concerns the request itself.
func isRetryable(refusal *verdict.Refusal) bool {
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
