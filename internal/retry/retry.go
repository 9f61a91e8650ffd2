// Package retry decides whether a failed request is tried again, and limits how many retries an entry process makes.
package retry

import (
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// Action is what the entry does after a failed attempt.
type Action int

const (
	// GiveUp ends the request with the refusal of the failed attempt. It is the zero value, so that a forgotten action
	// never repeats work.
	GiveUp Action = iota
	// Retry runs the request again from its start.
	Retry
	// Continue runs a model stream on another engine from its last delivered token.
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

// Decide returns the action after an attempt that failed with v. bytesDelivered says that answer bytes went to the
// caller; modelStream that the request is a model stream, which can be continued from its delivered tokens. A model
// stream without delivered bytes that Ran was answered with an error, and another engine would answer alike.
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
