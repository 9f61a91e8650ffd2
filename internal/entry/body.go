package entry

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/ingress"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// bodyCopies is the number of copies of a body that a request needs at a time: what was received, the decoded prompt or call, the message to
	// the upstream's sidecar, and the part of it that is being sent.
	bodyCopies = 4
	// memoryRetryAfter is the time after which a caller that was refused for lack of memory should try again.
	memoryRetryAfter = time.Second
)

// newBodyBudget returns the budget for the bodies of all requests, of which and of whose copies memory bytes are kept; 0 for no limit.
func newBodyBudget(memory int64) *membudget.Budget {
	if memory == 0 {
		return nil
	}
	return membudget.New(memory / bodyCopies)
}

// refuseForMemory returns a refusal for lack of memory.
func refuseForMemory(detail string) *verdict.Refusal {
	refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "%s", detail)
	refusal.RetryAfter = memoryRetryAfter
	return refusal
}

// RefuseExcess answers requests beyond the limit of those that are served at the same time. It records nothing, because there may be thousands a second.
func (e *Entry) RefuseExcess(w http.ResponseWriter, _ *http.Request) {
	refusal := refuseForMemory("too many requests are served at the same time")
	e.metrics.Refused(refusal)
	e.sendRefusal(w, requestName(e.nextCallID()), refusal)
}

// readBody reads a request body of at most the configured size, if there is memory for it. Its memory is returned when the request ends.
func (r *request) readBody(w http.ResponseWriter, httpRequest *http.Request) ([]byte, error) {
	limit := min(r.entry.settings.GetCallers().GetMaxBodyBytes(), r.entry.bodies.Largest())
	if httpRequest.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	r.body = r.entry.bodies.NewBuffer()
	source := http.MaxBytesReader(serverWriter(w), httpRequest.Body, limit)
	size := httpRequest.ContentLength
	if size < 0 {
		size = limit + 1
	}
	err := r.body.Grow(int(max(0, httpRequest.ContentLength)))
	if err == nil {
		err = r.body.Fill(source, int(size))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return r.body.Bytes(), nil
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge(limit)
	case errors.Is(err, membudget.ErrExhausted):
		r.body.Release()
		r.discardBody = ingress.AnswerEarly(w)
		return nil, refuseForMemory("the memory for request bodies is in use")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.Refuse(wirev1.Reason_REASON_REQUEST_TIMEOUT, "the body did not arrive in time")
	default:
		return nil, verdict.Refuse(wirev1.Reason_REASON_MALFORMED, "the body could not be read")
	}
}

func bodyTooLarge(limit int64) error {
	return verdict.Refuse(wirev1.Reason_REASON_BODY_TOO_LARGE, "the body is larger than %d bytes", limit)
}

// serverWriter returns the server's writer: only that lets http.MaxBytesReader close the connection.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	if wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter }); ok {
		return wrapper.Unwrap()
	}
	return w
}

// finishBody returns the memory of the body, and reads the rest of one that was refused. It must be called after the answer.
func (r *request) finishBody(w http.ResponseWriter, httpRequest *http.Request) {
	if r.body != nil {
		r.body.Release()
	}
	if r.discardBody {
		ingress.DiscardBody(w, httpRequest)
	}
}
