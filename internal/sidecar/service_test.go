package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// startRepeatingService starts a service that names the path of each request in its response, and on a kept connection writes an
// earlier response before that.
func startRepeatingService(t *testing.T) (baseURL string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	respond := func(conn net.Conn, body string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader, last := bufio.NewReader(conn), ""
				for {
					in, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, in.Body)
					if last != "" {
						respond(conn, last)
						time.Sleep(20 * time.Millisecond)
					}
					last = in.URL.Path
					respond(conn, last)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a caller that gets the response to another call, because a service wrote an earlier response again on a connection
// that was kept.
func TestRepeatedResponseOfAService(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		upstream := NewServiceUpstream(startRepeatingService(t))
		issuer := transport.NewNonceIssuer(1)
		registry := call.NewRegistry(issuer, 0)
		for number := range 3 {
			path := fmt.Sprint("/", number)
			work := &wirev1.Work{Kind: &wirev1.Work_Http{Http: &wirev1.HTTPWork{Method: http.MethodGet, Path: path, Idempotent: idempotent}}}
			c, _, err := registry.Start(&wirev1.ExecuteRequest{
				Call: call.ID{Incarnation: 9, Sequence: uint64(number + 1)}.Wire(), Nonce: issuer.Issue(), Account: "a", Work: work,
			})
			if err != nil {
				t.Fatal(err)
			}
			outcome := upstream.Run(c, work, nil)
			c.Finish(outcome)
			body := ""
			for frame := uint64(1); ; frame++ {
				got, err := c.Next(t.Context(), call.Observer, frame)
				if err != nil {
					t.Fatal(err)
				}
				if got.GetOutcome() != nil {
					break
				}
				body += string(got.GetHttpBody())
			}
			if outcome.GetVerdict() != wirev1.Verdict_VERDICT_RAN || body != path {
				t.Errorf("idempotent %v, call %d: %v, %q, want %q", idempotent, number+1, outcome.GetVerdict(), body, path)
			}
		}
	}
}
