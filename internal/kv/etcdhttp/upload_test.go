package etcdhttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/resettest"
)

// Guards against a write that counts as executed, or as refused, because of a response that was cut by the reset of its connection. Guards as well against
// one whose response is whole by its length or chunks and does not count.
func TestResetDuringWrite(t *testing.T) {
	const closeRepeats = 10
	for _, c := range []struct {
		status, body string
		want         error // if the response is whole
	}{
		{"200 OK", `{"header":{"revision":"7"},"succeeded":true}`, nil},
		{"200 OK", `{"header":{"revision":"7"}}`, kv.ErrConflict},
		{"429 Too Many Requests", "{}", kv.ErrUnavailable},
	} {
		for _, framing := range resettest.Framings {
			for moment, read := range resettest.Moments {
				for _, kept := range []bool{false, true} {
					want, repeats, failures := c.want, 1, 0
					if framing == "close" {
						want, repeats = kv.ErrOutcomeUnknown, closeRepeats
					}
					for range repeats {
						service := resettest.Start(t, func(conn net.Conn, in *http.Request, number int) {
							if kept && number == 1 {
								_, _ = io.Copy(io.Discard, in.Body)
								_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
								return
							}
							resettest.Response{Head: "HTTP/1.1 " + c.status + "\r\n", Framing: framing, Part: c.body, Whole: true, Read: read}.Send(conn, in)
						})
						client := New("http://"+service.Address, &http.Client{Transport: &http.Transport{}}, 0)
						if kept {
							if _, err := client.Get(t.Context(), "x"); !errors.Is(err, kv.ErrNotFound) {
								t.Fatal(err)
							}
						}
						// The value is longer when encoded.
						_, err := client.CompareAndSwap(t.Context(), "x", make([]byte, resettest.BodyBytes), 0, 0)
						if !errors.Is(err, want) || service.Connections.Load() != 1 {
							failures++
						}
					}
					if failures > 0 {
						t.Errorf("%s %s, %s, %s, kept %v: %d of %d failed", c.status, c.body, framing, moment, kept, failures, repeats)
					}
				}
			}
		}
	}
}
