package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/fulmardoor/fulmardoor/internal/openai"
	"github.com/fulmardoor/fulmardoor/standin/engine"
)

// answer is the response that one caller received.
type answer struct {
	status  int
	code    string
	verdict string
	text    string
	tokens  int
	whole   bool // the response is complete
	header  http.Header
}

// recorder is a response recorder whose Write can be called concurrently.
type recorder struct {
	*httptest.ResponseRecorder
	mu sync.Mutex // guards the embedded recorder
}

func (r *recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ResponseRecorder.Write(b)
}

func (r *recorder) Flush() {}

// serveRequest sends a request to an entry process. aborted is true if the handler dropped the connection.
func (h *harness) serveRequest(ctx context.Context, entryName string, r *http.Request) (rec *recorder, aborted bool) {
	rec = &recorder{ResponseRecorder: httptest.NewRecorder()}
	defer func() {
		if recover() != nil {
			aborted = true
		}
	}()
	h.entries[entryName].handler.ServeHTTP(rec, r.WithContext(ctx))
	return rec, false
}

// complete sends a streaming completion.
func (h *harness) complete(ctx context.Context, entryName, key, prompt string, maxTokens int) answer {
	body := fmt.Sprintf(`{"model":"drafter","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, maxTokens)
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	rec, _ := h.serveRequest(ctx, entryName, r)
	a := answer{status: rec.Code, header: rec.Header()}
	if rec.Code != http.StatusOK {
		a.parseRefusal(rec.Body.Bytes())
		return a
	}
	a.parseStream(rec.Body.String())
	return a
}

// book sends a booking.
func (h *harness) book(ctx context.Context, entryName, booking string, header http.Header) answer {
	return h.bookAt(ctx, entryName, "/bookings", booking, header)
}

// bookAt sends a booking to a path.
func (h *harness) bookAt(ctx context.Context, entryName, path, booking string, header http.Header) answer {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("X-Booking-Id", booking)
	r.Header.Set("Authorization", "Bearer "+testKey)
	rec, aborted := h.serveRequest(ctx, entryName, r)
	a := answer{status: rec.Code, header: rec.Header(), text: rec.Body.String()}
	if rec.Header().Get("Fulmardoor-Verdict") != "" {
		a.parseRefusal(rec.Body.Bytes())
		return a
	}
	a.whole = !aborted
	return a
}

// lookUpStock sends a stock lookup, which is idempotent and needs no key.
func (h *harness) lookUpStock(ctx context.Context, entryName string) answer {
	return h.get(ctx, entryName, "/stock/scarves")
}

// get sends a GET request without a key.
func (h *harness) get(ctx context.Context, entryName, path string) answer {
	rec, aborted := h.serveRequest(ctx, entryName, httptest.NewRequest(http.MethodGet, path, nil))
	a := answer{status: rec.Code, header: rec.Header(), text: rec.Body.String(), whole: !aborted}
	if rec.Header().Get("Fulmardoor-Verdict") != "" {
		a.whole = false
		a.parseRefusal(rec.Body.Bytes())
	}
	return a
}

func (a *answer) parseRefusal(body []byte) {
	var refusal openai.Error
	if json.Unmarshal(body, &refusal) == nil {
		a.code, a.verdict = refusal.Error.Code, refusal.Error.Verdict
	}
}

func (a *answer) parseStream(body string) {
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			continue
		}
		var chunk struct {
			openai.Response
			openai.Error
		}
		if json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		if code := chunk.Error.Error.Code; code != "" {
			a.code, a.verdict = code, chunk.Error.Error.Verdict
		}
		for _, choice := range chunk.Choices {
			if choice.Text != nil && *choice.Text != "" {
				a.text += *choice.Text
				a.tokens++
			}
		}
	}
}

// checkWholeAnswer checks that an answer is the complete output for its own prompt, with each token once.
func checkWholeAnswer(t *testing.T, a answer, prompt string, maxTokens int) {
	t.Helper()
	want := strings.Join(engine.ExpectedOutput("drafter", prompt, 0, maxTokens), "")
	if !a.whole || a.text != want {
		t.Errorf("answer whole=%v status=%d code=%s verdict=%s, %d tokens\n got %q\nwant %q",
			a.whole, a.status, a.code, a.verdict, a.tokens, a.text, want)
	}
}

// heldBlocks returns the number of memory blocks that all engines hold together.
func (h *harness) heldBlocks() int {
	blocks := 0
	for _, e := range h.engines {
		blocks += e.Audit().BlocksHeld
	}
	return blocks
}
