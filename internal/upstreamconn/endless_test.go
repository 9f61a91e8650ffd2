package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

// endlessUpstream is a Dialer with one connection to an upstream that responds to the first request with start, and then sends
// repeated until the connection is closed.
type endlessUpstream struct {
	start, repeated string
	// sent receives the number of bytes that were read from the upstream.
	sent chan int
}

// maxSentBytes is the number of bytes after which an endlessUpstream only waits, so that a test does not exhaust the memory.
const maxSentBytes = 16 << 20

func (u *endlessUpstream) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe() // without a buffer, so that only bytes which were read count as sent
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		sent, err := io.WriteString(server, u.start)
		repeated := []byte(strings.Repeat(u.repeated, 4096/len(u.repeated)))
		for err == nil && sent < maxSentBytes {
			var n int
			n, err = server.Write(repeated)
			sent += n
		}
		_, _ = io.Copy(io.Discard, server)
		u.sent <- sent
	}()
	return client, nil
}

// checkEndless sends a request to an upstream and checks that it fails by itself and that at most limit bytes were read.
func checkEndless(t *testing.T, name string, u *endlessUpstream, limit int) {
	t.Helper()
	u.sent = make(chan int, 1)
	pool := New(u)
	_, err := get(t, pool, "upstream", http.MethodGet, "1")
	if !errors.Is(err, ErrMalformed) || errors.Is(err, ErrNotSent) {
		t.Errorf("%s: %v, want ErrMalformed and not ErrNotSent", name, err)
	}
	if sent := <-u.sent; sent > limit || len(pool.idle) != 0 {
		t.Errorf("%s: read %d bytes and kept %d connections, want at most %d bytes and none", name, sent, len(pool.idle), limit)
	}
}

// Guards against a response head without end that is read, and kept in memory, until the deadline of its request.
func TestEndlessHead(t *testing.T) {
	for name, u := range map[string]*endlessUpstream{
		"not HTTP":                {repeated: "x"},
		"status line":             {start: "HTTP/1.1 200 ", repeated: "O"},
		"header line":             {start: "HTTP/1.1 200 OK\r\nA: ", repeated: "a"},
		"header lines":            {start: "HTTP/1.1 200 OK\r\n", repeated: "A: a\r\n"},
		"informational responses": {repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		checkEndless(t, name, u, maxHeadBytes)
	}
}

// Guards against a response to another request whose body has no end, and which is skipped until the deadline.
func TestEndlessStaleResponse(t *testing.T) {
	for name, u := range map[string]*endlessUpstream{
		"until the connection ends": {start: "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", repeated: "x"},
		"chunks":                    {start: "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "10\r\n0123456789abcdef\r\n"},
		"long":                      {start: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n", repeated: "x"},
	} {
		checkEndless(t, name, u, 2*maxStaleBodyBytes)
	}
}

// Guards against large heads of many responses that together take more memory than the budget, against memory that is not returned, and against an
// ordinary head that needs any.
func TestLargeHeadsShareMemory(t *testing.T) {
	large := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nA: " + strings.Repeat("a", 30_000) + "\r\n\r\nok"
	const enough = headGrowth * 32 << 10
	for _, c := range []struct {
		name     string
		budget   int64
		response string
		want     bool
	}{
		{"ordinary head", 0, okResponse("1", "ok"), true},
		{"large head", enough, large, true},
		{"large head, too little memory", enough / 2, large, false},
		{"after a large head of another response", enough, strings.Replace(large, "Id: 1", "Id: other", 1) + large, true},
		{"head without end", enough, large[:20_000], false},
	} {
		pool := New(nil)
		pool.HeadMemory = membudget.New(c.budget)
		body, err := get(t, pool, startScripted(t, []string{c.response}).address, http.MethodGet, "1")
		if got := err == nil && body == "ok"; got != c.want {
			t.Errorf("%s: %q, %v, want an answer: %v", c.name, body, err, c.want)
		}
		if used := pool.HeadMemory.Used(); used != 0 {
			t.Errorf("%s: %d bytes are taken after the end of the response", c.name, used)
		}
	}
}
