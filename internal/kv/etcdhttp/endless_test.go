package etcdhttp

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

	"github.com/fulmardoor/fulmardoor/internal/readlimit"
)

// Guards against a response of the key-value service without end that is kept in memory until the call ends.
func TestResponsesWithoutEnd(t *testing.T) {
	const header = `"header":{"revision":"1"}`
	const buffers = 64 << 10 // what is read ahead
	for _, c := range []struct {
		name, start, repeated string
		limit                 int64
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "A: a\r\n", readlimit.MaxHeadBytes + buffers},
		{"list", "HTTP/1.1 200 OK\r\n\r\n{" + header + `,"kvs":[`, `{"key":"YQ=="},`, maxResponseBytes + buffers},
		{"string", "HTTP/1.1 200 OK\r\n\r\n{" + header + `,"kvs":[{"key":"`, "YWFh", maxResponseBytes + buffers},
		{"after the response", "HTTP/1.1 200 OK\r\n\r\n{" + header + `}`, " ", maxErrorBodyBytes + buffers},
		{"watch", "HTTP/1.1 200 OK\r\n\r\n" + `{"result":{` + header + `,"created":true}}` + "\n" + `{"result":{"events":[`, `{},`, maxResponseBytes + buffers},
	} {
		service := &endlessService{start: c.start, repeated: c.repeated}
		client := New("http://service", &http.Client{Transport: &http.Transport{DialContext: service.dial}}, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		var err error
		if c.name == "watch" {
			updates, watchErr := client.Watch(ctx, "a", 1)
			if err = watchErr; err == nil {
				err = (<-updates).Err
			}
		} else {
			_, _, err = client.List(ctx, "a")
		}
		if ctx.Err() != nil || (err == nil) != (c.name == "after the response") {
			t.Errorf("%s: %v, context %v", c.name, err, ctx.Err())
		}
		if sent := service.sent.Load(); sent > c.limit {
			t.Errorf("%s: %d bytes were read, want at most %d", c.name, sent, c.limit)
		}
		cancel()
	}
}

// endlessService responds with start, and then sends repeated until the connection is closed, or 256 MiB.
type endlessService struct {
	start, repeated string
	sent            atomic.Int64
}

// dial opens a connection without buffers, so that only bytes which were read count as sent.
func (s *endlessService) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, err = io.WriteString(server, s.start)
		chunk := strings.Repeat(s.repeated, 16_000/len(s.repeated))
		for err == nil && s.sent.Load() < 256<<20 {
			var n int
			n, err = io.WriteString(server, chunk)
			s.sent.Add(int64(n))
		}
	}()
	return client, nil
}
