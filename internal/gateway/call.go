// Package gateway is the request path of an entry process that connects to its upstreams directly, without a sidecar. It
// decides what happens to a request; Protocol translates the header names and formats of clients and upstreams.
package gateway

import (
	"net/http"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

// Call is a caller's request as parsed on arrival.
type Call struct {
	ID string
	// Host and Target are as the caller sent them; Path is Target without its query.
	Host, Method, Target, Path string
	// Key is the caller's API key. It is never sent to an upstream or logged.
	Key string
	// Header holds the headers that are forwarded to an upstream.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits for an answer; zero if the request does not say.
	Timeout time.Duration
	// PromptTokens and OutputTokens are the sizes of a model request; HasTokens is set if the caller gave them.
	PromptTokens, OutputTokens int
	HasTokens                  bool
	// OutputHint is the caller's estimate of the output tokens; zero for none.
	OutputHint int
	// SharedParts are the identifiers of the parts of a model request's prompt that other requests may share, and OwnPart is
	// that of its last part.
	SharedParts []string
	OwnPart     string
	// ResumeAfter is the id of the last event that the caller already has; empty for a new stream.
	ResumeAfter string
}

// ExpectedOutput returns the estimated number of output tokens.
func (c *Call) ExpectedOutput() int {
	if c.OutputHint <= 0 {
		return max(1, c.OutputTokens/2)
	}
	return max(1, min(c.OutputHint, c.OutputTokens))
}

// Attempt describes one attempt to run a call at an upstream.
type Attempt struct {
	Upstream *fleet.Upstream
	// Account is the name of the client account; empty on a route that requires no key.
	Account string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// PrefillOnly asks the engine to compute the prompt's KV cache and return a handle instead of an answer.
	PrefillOnly bool
	// KVHandle is the handle of a prefilled KV cache that the engine fetches; nil for none.
	KVHandle *Handle
	// ResumeAfter is the id of the event after which a stream continues; empty for its start.
	ResumeAfter string
	// Permitted is set if the limit that the upstream named already permits this attempt.
	Permitted bool
	// Reservation identifies memory reserved at the upstream for this call; empty for none.
	Reservation string
}

// Handle identifies the KV cache of a prompt at the engine that computed it.
type Handle struct {
	Address string
	ID      string
}

// Answer is the information from the headers of an upstream's answer.
type Answer struct {
	// NotRun is set when the upstream states that it did not run the call.
	NotRun bool
	// Signed is set when the answer carries the header with which an upstream signs an answer of its own.
	Signed  bool
	Load    placement.Load
	HasLoad bool
	// Leaving is set when the upstream states that it leaves and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the upstream, when it turned the request away, wants no other; zero if it named none.
	RetryAfter time.Duration
	// Limit is what the answer says about the upstream's limit for requests.
	Limit upstreamrate.Statement
}

// Protocol translates between HTTP messages and the types of this package. It contains no routing or retry logic.
type Protocol interface {
	// ParseCall reads a caller's request except for its body. The call is also returned with an error; RefusalHeader and the
	// log line need it.
	ParseCall(r *http.Request) (*Call, error)
	// RequestHeader returns the headers with which a call is sent to an upstream.
	RequestHeader(call *Call, attempt *Attempt) http.Header
	// IsAnswerTo reports whether an answer with these headers is the answer to the call. first is set for the first answer on a
	// connection.
	IsAnswerTo(call *Call, header http.Header, first bool) bool
	// ReadAnswer reads the headers of an answer.
	ReadAnswer(status int, header http.Header) Answer
	// ReadHandle reads the body of an answer to a PrefillOnly attempt.
	ReadHandle(attempt *Attempt, body []byte) (*Handle, error)
	// Release returns the call that frees a handle.
	Release(handle *Handle) *upstreamconn.Request
	// Reserve returns the call that reserves memory for a number of tokens at an engine.
	Reserve(engine *fleet.Upstream, tokens int, ttl time.Duration) *upstreamconn.Request
	// ReadReservation reads the answer to Reserve and returns the id of the reservation. The gateway handles the refusals
	// with status 421 and 503 itself.
	ReadReservation(status int, body []byte) (string, error)
	// DropReservation returns the call that frees reserved memory.
	DropReservation(engine *fleet.Upstream, reservation string) *upstreamconn.Request
	// OrderCountRequest returns the call that asks an engine for its number of accepted orders, and ReadOrderCount reads
	// the answer.
	OrderCountRequest(engine *fleet.Upstream) *upstreamconn.Request
	ReadOrderCount(status int, body []byte) (int64, error)
	// GiveOrder returns the call that sends an order, and ReadOrderAnswer reads its result. The error is ErrFenced if the
	// engine refused the fencing number.
	GiveOrder(order *Order) *upstreamconn.Request
	ReadOrderAnswer(status int) error
	// ResponseHeader returns the headers of an upstream's answer that are forwarded to the caller.
	ResponseHeader(header http.Header) http.Header
	// RefusalHeader sets the headers of an answer that the gateway itself generates.
	RefusalHeader(call *Call, header http.Header)
}
