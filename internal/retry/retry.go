// Package retry decides whether a failed request is retried, and limits the number of retries of an entry process.
package retry

import (
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// Action is what the entry does after a failed attempt.
type Action int

const (
	// GiveUp ends the request with the refusal of the failed attempt. It is the zero value, so that an action which was not
	// set never repeats a request.
	GiveUp Action = iota
	// Retry runs the request again from the beginning.
	Retry
	// Continue resumes a model stream on another engine after its last delivered token.
	Continue
)

// String returns the form used in logs and metric labels.
func (a Action) String() string {
	switch a {
	case Retry:
		return "retry"
	case Continue:
		return "continue"
	default:
		return "give_up"
	}
}

// Decide returns the action after an attempt that failed with verdict v. bytesDelivered says that bytes of the answer were
// sent to the caller, modelStream that the request is a model stream, which can be resumed after its delivered tokens. A model
// stream with verdict Ran and no delivered bytes was answered with an error, and other engines would return the same error.
func Decide(v verdict.Verdict, idempotent, bytesDelivered, modelStream bool) Action {
	switch {
	case bytesDelivered && modelStream:
		return Continue
	case bytesDelivered, v == verdict.Ran:
		return GiveUp
	case v == verdict.NotRun, modelStream, idempotent:
		return Retry
	default:
		return GiveUp
	}
}
