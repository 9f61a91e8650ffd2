package httpengine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/httpengine"
)

// startRawEngine starts an engine that sends responses byte by byte and keeps its connections. number counts the requests of a
// connection from 1.
func startRawEngine(t *testing.T, respond func(conn net.Conn, in *http.Request, number int)) *httpengine.Engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					in, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, in.Body)
					respond(conn, in, number)
				}
			}()
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return httpengine.New("http://"+listener.Addr().String(), client)
}

func rawResponse(status, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, contentType, len(body), body)
}

// Guards against a stream that looks complete although the engine answered with an error, or sent only the mark of its end.
func TestStreamWithoutFinish(t *testing.T) {
	const token = `data: {"choices":[{"text":"a"}]}` + "\n\n"
	const finish = `data: {"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	const end = "data: [DONE]\n\n"
	for _, c := range []struct {
		name, contentType, body string
		wantTokens              int
		complete                bool
	}{
		{"whole", "text/event-stream", token + finish + end, 1, true},
		{"no text", "text/event-stream", finish + end, 0, true},
		{"text", "text/plain", "overloaded\n\n", 0, false},
		{"page", "text/html", "<html>\n\n", 0, false},
		{"object", "application/json", `{"error":{"message":"overloaded"}}`, 0, false},
		{"nothing", "text/event-stream", "", 0, false},
		{"only the end", "text/event-stream", end, 0, false},
		{"no finish", "text/event-stream", token + end, 1, false},
		{"no end", "text/event-stream", token + finish, 1, false},
		{"error as an event", "text/event-stream", token + `data: {"error":{"message":"overloaded"}}` + "\n\n" + end, 1, false},
		{"error object as an event", "text/event-stream", token + `data: {"object":"error","message":"overloaded"}` + "\n\n" + end, 1, false},
	} {
		e := startRawEngine(t, func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(conn, rawResponse("200 OK", c.contentType, c.body))
		})
		var tokens []string
		_, err := e.Decode(t.Context(), "r", &wirev1.DecodeWork{Model: model, Prompt: "p", MaxTokens: 10}, appendTo(&tokens))
		if (err == nil) != c.complete || len(tokens) != c.wantTokens {
			t.Errorf("%s: %q, %v, want %d tokens, complete %v", c.name, tokens, err, c.wantTokens, c.complete)
		}
	}
}

// Guards against the output of another request, and against a request that counts as not run while it runs, because an engine sent
// an earlier response again on a connection that was kept.
func TestRepeatedResponseOnAKeptConnection(t *testing.T) {
	stream := func(id string) string {
		return rawResponse("200 OK", "text/event-stream",
			`data: {"id":"`+id+`","choices":[{"text":"`+id+`","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
	}
	for name, repeated := range map[string]string{
		"stream":  stream("earlier"),
		"refusal": rawResponse("503 Service Unavailable", "application/json", `{"error":{"message":"busy","code":"engine_busy"}}`),
	} {
		e := startRawEngine(t, func(conn net.Conn, in *http.Request, number int) {
			if number > 1 {
				_, _ = io.WriteString(conn, repeated)
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, stream(in.Header.Get("X-Request-Id")))
		})
		for number := range 3 {
			id := fmt.Sprint("r", number)
			var tokens []string
			_, err := e.Decode(t.Context(), id, &wirev1.DecodeWork{Model: model, Prompt: "p", MaxTokens: 10}, appendTo(&tokens))
			if err != nil || !slices.Equal(tokens, []string{id}) {
				t.Errorf("%s, request %d: %q, %v (busy: %v)", name, number+1, strings.Join(tokens, ""), err, errors.Is(err, engine.ErrBusy))
			}
		}
	}
}

// Guards against a cache state that is read wrongly, or taken for whole although it is cut off or too large, and against events that are
// too many to be read and are asked for again for good.
func TestCacheStates(t *testing.T) {
	var body string
	e := startRawEngine(t, func(conn net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(conn, rawResponse("200 OK", "application/json", body))
	})
	many := func(count int) string {
		return `{"number":7,"hashes":[` + strings.Repeat("1,", count-1) + `1]}`
	}
	for _, c := range []struct {
		body   string
		hashes int // -1 for an error
	}{
		{`{"number":7,"hashes":[]}`, 0},
		{`{"number":7,"hashes":null}`, 0},
		{` { "hashes" : [ 1 , 18446744073709551615 ] , "number" : 7 }`, 2},
		{`{"number":7,"new":{"list":[1,"]}"]},"hashes":[1]}`, 1},
		{many(300_000), 300_000},
		{many(3_000_000), -1},
		{`{"number":7,"new":"` + strings.Repeat("x", 1<<20) + `","hashes":[1]}`, -1},
		{`{"number":7,"hashes":[1,2`, -1},
		{`{"number":7,"hashes":[1]`, -1},
		{`{"number":7,"hashes":[-1]}`, -1},
		{`{"number":7,"hashes":5}`, -1},
		{`[]`, -1},
		{``, -1},
	} {
		body = c.body
		state, err := e.CacheState(t.Context())
		if (err == nil) != (c.hashes >= 0) || err == nil && (state.Number != 7 || len(state.Hashes) != c.hashes) {
			t.Errorf("%.40s: %d hashes, number %d, %v, want %d", c.body, len(state.Hashes), state.Number, err, c.hashes)
		}
	}
	body = `{"events":[` + strings.Repeat(`{"number":1},`, 400_000) + `{"number":1}]}`
	if _, err := e.CacheEvents(t.Context(), 0, 0); !errors.Is(err, engine.ErrEventsLost) {
		t.Errorf("too many events: %v, want ErrEventsLost", err)
	}
}
