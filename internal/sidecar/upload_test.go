package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/resettest"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// runAtService runs a call with a body at a plain service, and returns the outcome and the response.
func runAtService(t *testing.T, address string, body []byte) (outcome *wirev1.Outcome, head *wirev1.HTTPHead, text string) {
	t.Helper()
	issuer := transport.NewNonceIssuer(1)
	work := &wirev1.Work{Kind: &wirev1.Work_Http{Http: &wirev1.HTTPWork{Method: http.MethodPost, Path: "/", Body: body}}}
	c, _, err := call.NewRegistry(issuer, 0).Start(&wirev1.ExecuteRequest{
		Call: call.ID{Incarnation: 9, Sequence: 1}.Wire(), Nonce: issuer.Issue(), Account: "a", Work: work,
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Finish(NewServiceUpstream("http://"+address).Run(c, work, nil))
	for frame := uint64(1); ; frame++ {
		got, err := c.Next(t.Context(), call.Observer, frame)
		if err != nil {
			t.Fatal(err)
		}
		if got.GetOutcome() != nil {
			return got.GetOutcome(), head, text
		}
		if got.GetHttpHead() != nil {
			head = got.GetHttpHead()
		}
		text += string(got.GetHttpBody())
	}
}

// Guards against a response that was cut by the reset of its connection and is forwarded as a whole one, because the writer of the request body got the
// error of the connection. Guards as well against one that is whole by its length or chunks and is not forwarded as such.
func TestResetDuringUploadToService(t *testing.T) {
	const closeRepeats = 20
	for _, framing := range resettest.Framings {
		for moment, read := range resettest.Moments {
			for _, whole := range []bool{false, true} {
				repeats, failures := 1, 0
				if framing == "close" {
					repeats = closeRepeats
				}
				for range repeats {
					service := resettest.Start(t, func(conn net.Conn, in *http.Request, _ int) {
						resettest.Response{Head: "HTTP/1.1 200 OK\r\n", Framing: framing, Part: "text", Whole: whole, Read: read}.Send(conn, in)
					})
					outcome, _, text := runAtService(t, service.Address, make([]byte, resettest.BodyBytes))
					wantReason := wirev1.Reason_REASON_UPSTREAM_BROKE
					if whole && framing != "close" {
						wantReason = wirev1.Reason_REASON_UNSPECIFIED
					}
					if outcome.GetReason() != wantReason || outcome.GetVerdict() == wirev1.Verdict_VERDICT_NOT_RUN || wantReason == 0 && text != "text" {
						failures++
					}
				}
				if failures > 0 {
					t.Errorf("%s, %s, whole %v: %d of %d failed", framing, moment, whole, failures, repeats)
				}
			}
		}
	}
}

// Guards against a response with an impossible status that is forwarded, or that holds the call until its deadline.
func TestStatusOfServiceResponse(t *testing.T) {
	for _, c := range []struct {
		status, body string
		want         uint32 // 0 for a malformed response
	}{
		{"000 Odd", "", 0}, {"000 Odd", "text", 0}, {"099 Odd", "", 0}, {"600 Odd", "", 0}, {"600 Odd", "text", 0}, {"999 Odd", "", 0}, {"999 Odd", "text", 0},
		{"101 Switching Protocols", "text", 0}, {"599 Odd", "text", 599}, {"200 OK", "text", 200},
		{"103 Early Hints\r\n\r\nHTTP/1.1 200 OK", "text", 200},
	} {
		service := resettest.Start(t, func(conn net.Conn, in *http.Request, _ int) {
			_, _ = io.Copy(io.Discard, in.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", c.status, len(c.body), c.body)
		})
		began := time.Now()
		outcome, head, text := runAtService(t, service.Address, []byte("x"))
		if elapsed := time.Since(began); elapsed > 3*time.Second {
			t.Errorf("%s, %q: %v", c.status, c.body, elapsed)
		}
		if c.want == 0 {
			if head != nil || outcome.GetVerdict() != wirev1.Verdict_VERDICT_MAY_HAVE_RUN || outcome.GetReason() != wirev1.Reason_REASON_UPSTREAM_ERROR {
				t.Errorf("%s, %q: %v, %v, %q, want malformed", c.status, c.body, outcome, head, text)
			}
		} else if head.GetStatus() != c.want || text != c.body || outcome.GetReason() != 0 {
			t.Errorf("%s, %q: %v, %v, %q, want status %d", c.status, c.body, outcome, head, text, c.want)
		}
	}
}
