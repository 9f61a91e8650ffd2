package upstreamconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/resettest"
)

// Guards against a response that is refused although its upstream ended it regularly and then read the rest of the request, and against one that is
// taken for complete, or waited for until the deadline, although its upstream never reads the rest.
func TestEndOfResponseDuringUpload(t *testing.T) {
	halfClose := func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }
	for _, c := range []struct {
		name, head string
		bodyBytes  int
		after      func(conn net.Conn, in *http.Request)
		complete   bool
	}{
		{"body read after the response", "", resettest.BodyBytes, func(conn net.Conn, in *http.Request) {
			halfClose(conn)
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, in.Body)
		}, true},
		{"body never read", "", resettest.BodyBytes, func(conn net.Conn, _ *http.Request) {
			halfClose(conn)
			time.Sleep(3 * time.Second)
		}, false},
		{"body in the buffers", "", maxInlineBodyBytes + 1, func(conn net.Conn, _ *http.Request) { halfClose(conn) }, true},
		{"reset with the body in the buffers", "", 512 << 10, func(conn net.Conn, _ *http.Request) {
			halfClose(conn)
			resettest.Reset(conn)
		}, false},
		{"body within one write", "", maxInlineBodyBytes, func(conn net.Conn, _ *http.Request) { halfClose(conn) }, true},
		{"length, body never read", "Content-Length: 4\r\n", resettest.BodyBytes, func(net.Conn, *http.Request) { time.Sleep(3 * time.Second) }, true},
	} {
		upstream := resettest.Start(t, func(conn net.Conn, in *http.Request, _ int) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\ntext")
			c.after(conn, in)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		began := time.Now()
		response, err := New(nil).Do(ctx, &Request{Address: upstream.Address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, c.bodyBytes)})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if string(body) != "text" || (err == nil) != c.complete || errors.Is(err, ErrMalformed) || time.Since(began) > 10*time.Second {
			t.Errorf("%s: %q, %v in %v, want complete %v", c.name, body, err, time.Since(began), c.complete)
		}
		response.Close()
		cancel()
	}
}

// Guards against a response without a body, which no end of a connection delimits, that is refused because the request was not read.
func TestResponseWithoutBodyDuringUpload(t *testing.T) {
	for method, head := range map[string]string{
		http.MethodHead: "HTTP/1.1 200 OK\r\n\r\n", http.MethodPost: "HTTP/1.1 204 No Content\r\n\r\n", http.MethodPut: "HTTP/1.1 304 Not Modified\r\n\r\n",
	} {
		upstream := resettest.Start(t, func(conn net.Conn, in *http.Request, _ int) {
			resettest.Response{Head: head[:len(head)-2]}.Send(conn, in)
		})
		response, err := New(nil).Do(t.Context(), &Request{
			Address: upstream.Address, Method: method, Target: "/", Host: "h", Body: make([]byte, resettest.BodyBytes),
		})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); len(body) != 0 || err != nil {
			t.Errorf("%s: %q, %v", method, body, err)
		}
		response.Close()
	}
}
