package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// framedReader reads a text through a framer as conn does, in steps, and records the size of each head.
type framedReader struct {
	framer framer
	rest   []byte
	step   int
	size   int   // of the current head
	heads  []int // sizes of the complete heads
}

func (f *framedReader) Read(p []byte) (int, error) {
	if len(f.rest) == 0 {
		return 0, io.EOF
	}
	p = p[:min(len(p), f.step, len(f.rest))]
	if f.framer.section == inBody {
		p = p[:min(int64(len(p)), f.framer.bodyLeft)]
	}
	copy(p, f.rest)
	size := 0
	if f.framer.section == inHead {
		var ended bool
		size, _, ended = f.framer.takeHead(p)
		if f.size += size; ended {
			f.heads, f.size = append(f.heads, f.size), 0
		}
	} else {
		size = f.framer.takeBody(p)
	}
	f.rest = f.rest[size:]
	return size, nil
}

// readRequests reads the requests in a text as a server does. It ends at the first request that cannot be read.
func readRequests(r io.Reader, onHead func(*http.Request)) (requests []string) {
	reader := bufio.NewReader(r)
	for last := ""; ; {
		if last == http.MethodPost { // as http.Server does
			peek, _ := reader.Peek(4)
			_, _ = reader.Discard(len(peek) - len(strings.TrimLeft(string(peek), "\r\n")))
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return requests
		}
		last = request.Method
		onHead(request)
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return requests
		}
		requests = append(requests, fmt.Sprintf("%s %s %v %q", request.Method, request.URL, request.Header, body))
	}
}

// checkFraming checks that a text is read in the same way with and without a framer.
func checkFraming(t *testing.T, text string, step int) {
	t.Helper()
	want := readRequests(strings.NewReader(text), func(*http.Request) {})
	framed := &framedReader{rest: []byte(text), step: step}
	heads := 0
	got := readRequests(framed, func(r *http.Request) {
		if heads++; len(framed.heads) != heads {
			t.Fatalf("%q: the framer found %d heads, the server %d", text, len(framed.heads), heads)
		}
		framed.framer.expectBody(r.ContentLength)
	})
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%q in steps of %d:\n%v\nwant\n%v", text, step, got, want)
	}
}

var framedTexts = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;x=1\r\n\r\n\r\n\r\n\r\n\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1\r\n\n\r\n0\r\nT: v\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	"\r\nGET / HTTP/1.1\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\n\n\nPOST /b HTTP/1.1\r\nHost: h\r\n\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\n\r\r\n\r\n",
}

// Guards against bytes that are counted for another request than theirs, and bodies whose end is not found.
func TestFramer(t *testing.T) {
	for _, text := range framedTexts {
		for step := 1; step <= len(text); step++ {
			checkFraming(t, text, step)
		}
	}
}

// FuzzFramer guards against requests that are read differently because of the framer.
func FuzzFramer(f *testing.F) {
	for _, text := range framedTexts {
		f.Add(text, 5)
	}
	f.Fuzz(func(t *testing.T, text string, step int) {
		checkFraming(t, text, max(1, step&0xfff))
	})
}

// Guards against lines that are counted twice or not at all where a head arrives in several parts.
func TestLines(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n"
	for step := 1; step <= len(head); step++ {
		var l line
		lines, ended := 0, false
		for rest := head; rest != "" && !ended; {
			part := rest[:min(step, len(rest))]
			var size, more int
			size, more, ended = l.scan([]byte(part))
			rest, lines = rest[size:], lines+more
		}
		if lines != 4 || !ended {
			t.Errorf("in steps of %d: %d lines, ended %v", step, lines, ended)
		}
	}
}
