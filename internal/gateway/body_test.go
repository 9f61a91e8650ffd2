package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// Guards against a body that came too slowly and is reported as malformed, or as one whose request may have run.
func TestLateBody(t *testing.T) {
	for _, length := range []int64{9, -1} {
		g := New(Options{})
		r := &request{g: g, body: g.BodyMemory.NewBuffer(), call: &Call{}}
		httpRequest := httptest.NewRequest(http.MethodPost, "/", nil)
		httpRequest.Body, httpRequest.ContentLength = io.NopCloser(iotest.ErrReader(os.ErrDeadlineExceeded)), length
		refusal := verdict.As(r.readBody(httpRequest, 100))
		if refusal.Reason != wirev1.Reason_REASON_REQUEST_TIMEOUT || refusal.Verdict != verdict.NotRun || refusal.HTTPStatus() != http.StatusRequestTimeout {
			t.Errorf("length %d: %v, status %d", length, refusal, refusal.HTTPStatus())
		}
	}
}
