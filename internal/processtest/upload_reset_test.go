package processtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/resettest"
)

// resettingServices is a deployment with an entry and two plain services. The first one that gets a request sends response during the upload, the
// other answers.
type resettingServices struct {
	*deployment
	response resettest.Response
	requests atomic.Int64
}

func deployResettingServices(t *testing.T) *resettingServices {
	s := &resettingServices{deployment: newDeployment(t)}
	s.startPlatform()
	for _, name := range []string{"ledger-0", "ledger-1"} {
		s.startInProcess(name, "ledger", "service", 20, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost || s.requests.Add(1) > 1 {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "answer")
				return
			}
			response := s.response
			_, _ = io.CopyN(io.Discard, r.Body, response.Read)
			response.Read = 0
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				response.Send(conn, r)
			}
		})
	}
	e := s.writeEntrySettings(0, 1)
	settings, err := os.ReadFile(e.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	settings = bytes.Replace(settings, []byte(fmt.Sprint(maxBodyBytes)), []byte(fmt.Sprint(2*resettest.BodyBytes)), 1)
	if err := os.WriteFile(e.settingsFile, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	s.startEntry(e)
	s.waitHealthy()
	s.mustApply(s.documentText(func(text *ini) {
		text.section(`route "quotes"`, "path", "/quotes", "methods", "POST", "pool", "ledger", "idempotent", "true")
	}))
	s.waitReady()
	s.waitConnected()
	return s
}

// upload sends a request with a body that differs from those before, and returns the answer and the number of runs.
func (s *resettingServices) upload(path string, number int, response resettest.Response) (answer, int64) {
	ctx, cancel := context.WithTimeout(s.t.Context(), 20*time.Second)
	defer cancel()
	s.response = response
	s.requests.Store(0)
	a := answer{kind: "upload", name: path}
	body := fmt.Sprint(number) + strings.Repeat("x", resettest.BodyBytes)
	if in := send(ctx, &a, http.MethodPost, s.entries[0].callerURL()+path, s.keys[0], body, nil); in != nil {
		defer func() { _ = in.Body.Close() }()
		text, err := io.ReadAll(in.Body)
		a.text, a.err, a.whole = string(text), err, err == nil && a.status == http.StatusOK
	}
	return a, s.requests.Load()
}

// Guards against a response that was cut by the reset of its connection, or has an impossible status, and reaches the caller as a whole one or as "not
// run".
func TestResetDuringUploadThroughSidecar(t *testing.T) {
	t.Parallel()
	s := deployResettingServices(t)
	large := strings.Repeat("x", 50_000) // more than the entry buffers
	number := 0
	check := func(name string, repeats int, path string, response resettest.Response, wantStatus int, wantWhole bool, wantRuns int64) {
		t.Helper()
		failures := 0
		for range repeats {
			number++
			a, runs := s.upload(path, number, response)
			if a.status != wantStatus || a.whole != wantWhole || runs != wantRuns || a.verdict == "not run" || wantWhole && a.text != "answer" && a.text != response.Part {
				t.Logf("%s: %v, %d bytes, %d runs", name, a, len(a.text), runs)
				failures++
			}
		}
		if failures > 0 {
			t.Errorf("%s: %d of %d failed", name, failures, repeats)
		}
	}
	for _, moment := range []string{"before the body", "in the middle"} {
		for _, c := range []struct {
			path, part string
			wantStatus int
			wantWhole  bool
			wantRuns   int64
		}{
			{"/bookings", "text", 502, false, 1},
			{"/quotes", "text", 502, false, 1}, // it ran: only requests that may not have run are sent again
			{"/bookings", large, 200, false, 1},
			{"/quotes", large, 200, false, 1},
		} {
			for _, framing := range resettest.Framings {
				name := fmt.Sprintf("%s, %s, %s, %d bytes", c.path, moment, framing, len(c.part))
				response := resettest.Response{Head: "HTTP/1.1 200 OK\r\n", Framing: framing, Part: c.part, Read: resettest.Moments[moment]}
				repeats := 1
				if framing == "close" {
					repeats = 5
				}
				check(name+", cut", repeats, c.path, response, c.wantStatus, c.wantWhole, c.wantRuns)
				if response.Whole = true; framing != "close" {
					check(name+", whole", 1, c.path, response, 200, true, 1)
				}
			}
		}
	}
	for _, status := range []string{"000", "099", "600", "999", "101"} {
		response := resettest.Response{Head: "HTTP/1.1 " + status + " Odd\r\n", Framing: "length", Part: "text", Whole: true, Read: resettest.BodyBytes}
		check("/bookings, status "+status, 1, "/bookings", response, 502, false, 1)
		check("/quotes, status "+status, 1, "/quotes", response, 200, true, 2)
	}
}
