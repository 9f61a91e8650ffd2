package wholeresponse

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/resettest"
)

// Guards against a response that is refused although its upstream ended it regularly and then read the rest of the request, or although no end of a
// connection delimits it, and against one that is taken for complete, or waited for until the deadline, although its upstream never reads the rest.
func TestEndOfResponseDuringUpload(t *testing.T) {
	halfClose := func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }
	neverRead := func(conn net.Conn, _ *http.Request) {
		halfClose(conn)
		time.Sleep(3 * time.Second)
	}
	for _, c := range []struct {
		name, method, head, body string
		uploadBytes              int
		after                    func(conn net.Conn, in *http.Request)
		complete                 bool
	}{
		{"body read after the response", http.MethodPost, "200 OK\r\n", "text", resettest.BodyBytes, func(conn net.Conn, in *http.Request) {
			halfClose(conn)
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, in.Body)
		}, true},
		{"body never read", http.MethodPost, "200 OK\r\n", "text", resettest.BodyBytes, neverRead, false},
		{"body in the buffers", http.MethodPost, "200 OK\r\n", "text", 16 << 10, func(conn net.Conn, _ *http.Request) { halfClose(conn) }, true},
		{"reset with the body in the buffers", http.MethodPost, "200 OK\r\n", "text", 512 << 10, func(conn net.Conn, _ *http.Request) {
			halfClose(conn)
			resettest.Reset(conn)
		}, false},
		{"no request body", http.MethodGet, "200 OK\r\n", "text", 0, func(conn net.Conn, _ *http.Request) { halfClose(conn) }, true},
		{"length, body never read", http.MethodPost, "200 OK\r\nContent-Length: 4\r\n", "text", resettest.BodyBytes, neverRead, true},
		{"chunks, body never read", http.MethodPost, "200 OK\r\nTransfer-Encoding: chunked\r\n", "4\r\ntext\r\n0\r\n\r\n", resettest.BodyBytes, neverRead, true},
		{"no content, body never read", http.MethodPost, "204 No Content\r\n", "", resettest.BodyBytes, neverRead, true},
		{"HEAD, body never read", http.MethodHead, "200 OK\r\n", "", resettest.BodyBytes, neverRead, true},
	} {
		upstream := resettest.Start(t, func(conn net.Conn, in *http.Request, _ int) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+c.head+"\r\n"+c.body)
			c.after(conn, in)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		request, err := http.NewRequestWithContext(ctx, c.method, "http://"+upstream.Address, bytes.NewReader(make([]byte, c.uploadBytes)))
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		response, err := Client(&http.Client{}).Do(request)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		body, err := io.ReadAll(response.Body)
		wantBody := "text"
		if c.body == "" {
			wantBody = ""
		}
		if string(body) != wantBody || (err == nil) != c.complete || err != nil && !errors.Is(err, io.ErrUnexpectedEOF) || time.Since(began) > 10*time.Second {
			t.Errorf("%s: %q, %v in %v, want complete %v", c.name, body, err, time.Since(began), c.complete)
		}
		_ = response.Body.Close()
		cancel()
	}
}
