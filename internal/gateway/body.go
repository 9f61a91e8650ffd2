package gateway

import (
	"math/rand/v2"
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
	// A caller refused because the memory for bodies or requests is in use is asked to retry after minMemoryRetry to maxMemoryRetry: it is freed
	// when a request ends, which takes some hundred milliseconds for most.
	minMemoryRetry = 300 * time.Millisecond
	maxMemoryRetry = 700 * time.Millisecond
	// nearLimitBytes is more than the memory that remains beside a body that alone fills it.
	nearLimitBytes = 64 << 10
)

// readBody reads the body of a request, which has at most limit bytes. While many large bodies are in flight together, as in a burst of uploads, the
// memory of the process decides how many: a further one is refused before it is read, or when it turns out to be large.
func (r *request) readBody(httpRequest *http.Request, limit int64) error {
	limit = min(limit, r.g.BodyMemory.Largest())
	if httpRequest.ContentLength > limit {
		return tooLarge(limit)
	}
	if httpRequest.Body == nil || httpRequest.Body == http.NoBody {
		return nil
	}
	err := r.body.Grow(int(max(0, httpRequest.ContentLength)))
	if err == nil && httpRequest.ContentLength >= 0 {
		err = r.body.Fill(httpRequest.Body, int(httpRequest.ContentLength))
	} else if err == nil {
		err = r.body.Fill(httpRequest.Body, int(limit)+1)
	}
	switch {
	case errors.Is(err, membudget.ErrExhausted) && int64(r.body.Len()) > limit-nearLimitBytes:
		return tooLarge(limit) // the limit is that of the memory
	case errors.Is(err, membudget.ErrExhausted):
		return r.refuseForMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(wirev1.Reason_REASON_REQUEST_TIMEOUT, "the body did not arrive in time")
	case err != nil:
		return verdict.Refuse(wirev1.Reason_REASON_MALFORMED, "the body could not be read: %v", err)
	case int64(r.body.Len()) > limit:
		return tooLarge(limit)
	}
	r.call.Body = r.body.Bytes()
	return nil
}

func tooLarge(limit int64) error {
	return verdict.Refuse(wirev1.Reason_REASON_BODY_TOO_LARGE, "the body is larger than %d bytes", limit)
}

// refuseForMemory returns the refusal of a request for whose body there is no memory.
func (r *request) refuseForMemory() error {
	r.body.Release()
	r.discardBody = ingress.AnswerEarly(r.w)
	return memoryRefusal("the memory for request bodies is in use")
}

func memoryRefusal(detail string) *verdict.Refusal {
	refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "%s", detail)
	refusal.RetryAfter = minMemoryRetry + rand.N(maxMemoryRetry-minMemoryRetry)
	return refusal
}

// RefuseExcess answers requests beyond the limit of those that are served at the same time.
func (g *Gateway) RefuseExcess(w http.ResponseWriter, r *http.Request) {
	call, _ := g.Protocol.ParseCall(r) // a malformed request gets the same refusal
	refused := &request{g: g, w: w, call: call}
	refused.refuse(memoryRefusal("too many requests are served at the same time"))
}
