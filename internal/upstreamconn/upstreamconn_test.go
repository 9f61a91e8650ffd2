package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// pauseMark in the text of a response makes the scripted upstream pause there.
const pauseMark = "\x00"

// scriptedUpstream is an upstream that sends a script of raw responses on each connection, one per request, and closes the
// connection after the last.
type scriptedUpstream struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
}

// startScripted starts an upstream. Each connection gets the next script, and the last script again after that.
func startScripted(t *testing.T, scripts ...[]string) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedUpstream{address: listener.Addr().String()}
	go func() {
		for i := 0; ; i++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serveConn(c, scripts[min(i, len(scripts)-1)])
		}
	}()
	return s
}

func (s *scriptedUpstream) serveConn(c net.Conn, script []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, response := range script {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		for i, part := range strings.Split(response, pauseMark) {
			if i > 0 {
				time.Sleep(20 * time.Millisecond)
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// get sends a request with an id and returns the body of its response.
func get(t *testing.T, pool *Pool, address, method, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, &Request{
		Address: address, Method: method, Target: "/x", Host: "h", Header: http.Header{},
		Accept: func(header http.Header, _ bool) bool { return header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a request that runs twice because its persistent connection broke after it was sent. http.Transport retries
// the request in that case.
func TestNoAutomaticRetry(t *testing.T) {
	s := startScripted(t, []string{okResponse("1", "a"), ""}, []string{okResponse("2", "b")})
	pool := New(nil)
	if body, err := get(t, pool, s.address, http.MethodGet, "1"); err != nil || body != "a" {
		t.Fatalf("%q, %v", body, err)
	}
	_, err := get(t, pool, s.address, http.MethodGet, "2")
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want one that says that the request may have run", err)
	}
	if got := s.requests.Load(); got != 2 || s.conns.Load() != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", got, s.conns.Load())
	}
}

// Guards against a late response to an earlier request that is taken for the response to the next request.
func TestLateResponseIsDiscarded(t *testing.T) {
	s := startScripted(t, []string{okResponse("1", "a"), okResponse("1", "again") + okResponse("2", "b")})
	pool := New(nil)
	for id, want := range map[string]string{"1": "a"} {
		if body, err := get(t, pool, s.address, http.MethodGet, id); err != nil || body != want {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if body, err := get(t, pool, s.address, http.MethodGet, "2"); err != nil || body != "b" {
		t.Errorf("second request: %q, %v", body, err)
	}
}

// Guards against extra bytes after a complete response that are taken for the next response. The connection must not be
// reused, whether they arrive with the response or while the connection is idle.
func TestExtraBytesCloseTheConnection(t *testing.T) {
	for _, pause := range []string{"", pauseMark} {
		s := startScripted(t, []string{okResponse("1", "a") + pause + okResponse("2", "forged"), okResponse("2", "x")}, []string{okResponse("2", "b")})
		pool := New(nil)
		if body, err := get(t, pool, s.address, http.MethodGet, "1"); err != nil || body != "a" {
			t.Fatalf("%q, %v", body, err)
		}
		time.Sleep(60 * time.Millisecond)
		if body, err := get(t, pool, s.address, http.MethodGet, "2"); err != nil || body != "b" || s.conns.Load() != 2 {
			t.Errorf("pause %q, second request: %q, %v on %d connections", pause, body, err, s.conns.Load())
		}
	}
}

// Guards against a truncated response that looks complete, and against the reuse of a connection whose response ends only
// when the connection closes.
func TestTruncatedAndCloseDelimitedResponses(t *testing.T) {
	s := startScripted(t, []string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\ncut"}, []string{"HTTP/1.1 200 OK\r\nId: 2\r\n\r\nwhole"},
		[]string{okResponse("3", "c")})
	pool := New(nil)
	if _, err := get(t, pool, s.address, http.MethodGet, "1"); err == nil {
		t.Error("a truncated response looks complete")
	}
	if body, err := get(t, pool, s.address, http.MethodGet, "2"); err != nil || body != "whole" {
		t.Errorf("close-delimited response: %q, %v", body, err)
	}
	if body, err := get(t, pool, s.address, http.MethodGet, "3"); err != nil || body != "c" {
		t.Errorf("after a close-delimited response: %q, %v", body, err)
	}
}

// Guards against a connection that ended which is taken for an upstream in trouble, and the reverse.
func TestMalformedResponses(t *testing.T) {
	for response, want := range map[string]bool{
		"": false, "HTTP/1.1 200 OK\r\nId: 1": false, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\ncut": false,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut": false,
		"no response\r\n\r\n": true, "HTTP/1.1 200 OK\r\nno header\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n": true,
	} {
		s := startScripted(t, []string{response})
		if _, err := get(t, New(nil), s.address, http.MethodGet, "1"); err == nil || errors.Is(err, ErrMalformed) != want {
			t.Errorf("%q: %v, want ErrMalformed %v", response, err, want)
		}
	}
}

// Guards against ErrNotSent for a request that the upstream may have received, and against its absence if nothing was sent:
// the router reports a request to its client as "not run" by this error.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := get(t, New(nil), address, http.MethodPost, "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("no listener: %v", err)
	}
	s := startScripted(t, []string{""})
	if _, err := get(t, New(nil), s.address, http.MethodPost, "1"); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("closed after the request: %v", err)
	}
}

// Guards against a request that blocks because its upstream responds early and stops reading a long body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(2 * time.Second)
		_ = c.Close()
	}()
	pool := New(nil)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	response, err := pool.Do(ctx, &Request{
		Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Close()
	if response.Status != http.StatusServiceUnavailable || len(pool.idle) != 0 {
		t.Errorf("status %d, %d idle connections", response.Status, len(pool.idle))
	}
}

// Guards against a request that is sent on an idle connection although its deadline is already over.
func TestEndedContextSendsNothing(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	upstream := startScripted(t, []string{response, response})
	pool := New(nil)
	request := &Request{Address: upstream.address, Method: http.MethodPost, Target: "/", Host: "h"}
	first, err := pool.Do(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, first.Body)
	first.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := pool.Do(ended, request); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
	time.Sleep(50 * time.Millisecond)
	if n := upstream.requests.Load(); n != 1 {
		t.Errorf("the upstream got %d requests, want only the first", n)
	}
}

// Guards against a response that arrives after its request has timed out, and that is taken for the response to the next request. Some
// requests have no Accept that would tell them apart.
func TestResponseAfterTimeout(t *testing.T) {
	for name, first := range map[string]string{
		"head":     pauseMark + pauseMark + pauseMark + okResponse("1", "first"),
		"body":     strings.Replace(okResponse("1", "first"), "first", pauseMark+pauseMark+pauseMark+"first", 1),
		"half way": strings.Replace(okResponse("1", "first"), "first", "fi"+pauseMark+pauseMark+pauseMark+"rst", 1),
	} {
		s := startScripted(t, []string{first, okResponse("2", "a")}, []string{okResponse("2", "b")})
		pool := New(nil)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		response, err := pool.Do(ctx, &Request{Address: s.address, Method: http.MethodGet, Target: "/", Host: "h"})
		if err == nil {
			if _, err = io.ReadAll(response.Body); err == nil {
				t.Errorf("%s: the first response arrived in time", name)
			}
			response.Close()
		}
		cancel()
		response, err = pool.Do(t.Context(), &Request{Address: s.address, Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Close()
		if string(body) != "b" || err != nil || s.conns.Load() != 2 {
			t.Errorf("%s: second response %q (%v) on connection %d", name, body, err, s.conns.Load())
		}
	}
}
