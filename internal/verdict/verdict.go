// Package verdict says whether a request may have run at an upstream, and carries refusals to the caller.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Verdict says whether a request may have run at an upstream.
type Verdict int

const (
	// MayHaveRun means that it is unknown whether the request ran. It is the zero value, so that a verdict which was not set
	// never permits a retry.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream has started the request and none will.
	NotRun
	// Ran means that the request ran, even if its answer was lost.
	Ran
)

// String returns the form used in response bodies and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// FromWire converts a verdict received from another process; unknown values become MayHaveRun.
func FromWire(v wirev1.Verdict) Verdict {
	switch v {
	case wirev1.Verdict_VERDICT_NOT_RUN:
		return NotRun
	case wirev1.Verdict_VERDICT_RAN:
		return Ran
	default:
		return MayHaveRun
	}
}

// Wire converts the verdict to its wire form.
func (v Verdict) Wire() wirev1.Verdict {
	switch v {
	case NotRun:
		return wirev1.Verdict_VERDICT_NOT_RUN
	case Ran:
		return wirev1.Verdict_VERDICT_RAN
	default:
		return wirev1.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

// Refusal is the error of a request that got no complete answer.
type Refusal struct {
	Verdict Verdict
	Reason  wirev1.Reason
	// Detail is a description for the caller. It never contains an API key.
	Detail string
	// RetryAfter is the delay after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", ReasonName(r.Reason), r.Verdict, r.Detail)
}

// Refuse returns a Refusal with verdict NotRun.
func Refuse(reason wirev1.Reason, format string, args ...any) *Refusal {
	return &Refusal{Verdict: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// As returns the Refusal in err's chain. An error without one becomes a Refusal with verdict MayHaveRun.
func As(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Verdict: MayHaveRun, Reason: wirev1.Reason_REASON_UPSTREAM_BROKE, Detail: err.Error()}
}

// statuses maps reasons to HTTP status codes. A reason that is not listed gets 503 if the request did not run and 502
// otherwise.
var statuses = map[wirev1.Reason]int{
	wirev1.Reason_REASON_KEY_MISSING:                 http.StatusUnauthorized,
	wirev1.Reason_REASON_KEY_UNKNOWN:                 http.StatusUnauthorized,
	wirev1.Reason_REASON_KEY_WITHDRAWN:               http.StatusUnauthorized,
	wirev1.Reason_REASON_NO_ROUTE:                    http.StatusNotFound,
	wirev1.Reason_REASON_UNKNOWN_MODEL:               http.StatusNotFound,
	wirev1.Reason_REASON_BODY_TOO_LARGE:              http.StatusRequestEntityTooLarge,
	wirev1.Reason_REASON_MALFORMED:                   http.StatusBadRequest,
	wirev1.Reason_REASON_REQUEST_TOO_LARGE_FOR_BURST: http.StatusRequestEntityTooLarge,
	wirev1.Reason_REASON_RATE_EXCEEDED:               http.StatusTooManyRequests,
	wirev1.Reason_REASON_EARLIER_RUN_UNKNOWN:         http.StatusConflict,
	wirev1.Reason_REASON_DEADLINE:                    http.StatusGatewayTimeout,
	wirev1.Reason_REASON_REQUEST_TIMEOUT:             http.StatusRequestTimeout,
}

// HTTPStatus returns the status code for the caller.
func (r *Refusal) HTTPStatus() int {
	if code, ok := statuses[r.Reason]; ok {
		return code
	}
	if r.Verdict == NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
