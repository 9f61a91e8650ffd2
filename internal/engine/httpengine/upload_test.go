package httpengine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/httpengine"
	"github.com/fulmardoor/fulmardoor/internal/resettest"
)

// Guards against a call that succeeds, or counts as not run, because of a response that was cut by the reset of its connection, whose writer got the
// error. Guards as well against one that fails although its response is whole by its length, its chunks or the last event of a stream.
func TestResetDuringUploadToEngine(t *testing.T) {
	const closeRepeats = 10
	prompt := strings.Repeat("x", resettest.BodyBytes)
	for _, c := range []struct {
		name, status, body string
		call               func(ctx context.Context, e *httpengine.Engine) error
		want               error // if the response is whole
		wantByClose        error // if the end of the connection delimits the response
		// kept sends another call before, on the same connection.
		kept bool
	}{
		{"prefill", "200 OK", `{"kv_transfer_params":{"remote_handle":"h"}}`, func(ctx context.Context, e *httpengine.Engine) error {
			_, err := e.Prefill(ctx, "r", &wirev1.PrefillWork{Model: model, Prompt: prompt})
			return err
		}, nil, engine.ErrBroken, false},
		{"decode, whole stream", "200 OK", `data: {"choices":[{"text":"a","finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n", decodeFor(prompt), nil, nil, false},
		{"decode, cut stream", "200 OK", `data: {"choices":[{"text":"a"}]}` + "\n\n", decodeFor(prompt), engine.ErrBroken, engine.ErrBroken, false},
		{"decode, refused", "503 Service Unavailable", `{"error":{"code":"engine_busy","message":"x"}}`, decodeFor(prompt), engine.ErrBusy, engine.ErrBroken, false},
		{"release", "200 OK", "{}", func(ctx context.Context, e *httpengine.Engine) error { return e.Release(ctx, prompt) }, nil, engine.ErrBroken, false},
		{"release, kept", "200 OK", "{}", func(ctx context.Context, e *httpengine.Engine) error { return e.Release(ctx, prompt) }, nil, engine.ErrBroken, true},
		{"refused, kept", "503 Service Unavailable", `{"error":{"code":"engine_busy","message":"x"}}`, func(ctx context.Context, e *httpengine.Engine) error {
			return e.Release(ctx, prompt)
		}, engine.ErrBusy, engine.ErrBroken, true},
	} {
		for _, framing := range resettest.Framings {
			for moment, read := range resettest.Moments {
				want, repeats, failures := c.want, 1, 0
				if framing == "close" {
					want, repeats = c.wantByClose, closeRepeats
				}
				for range repeats {
					upstream := resettest.Start(t, func(conn net.Conn, in *http.Request, number int) {
						if c.kept && number == 1 {
							_, _ = io.Copy(io.Discard, in.Body)
							_, _ = io.WriteString(conn, rawResponse("200 OK", "application/json", "{}"))
							return
						}
						resettest.Response{Head: fmt.Sprintf("HTTP/1.1 %s\r\n", c.status), Framing: framing, Part: c.body, Whole: true, Read: read}.Send(conn, in)
					})
					client := &http.Client{Transport: &http.Transport{}}
					e := httpengine.New("http://"+upstream.Address, client)
					if c.kept {
						if err := e.Release(t.Context(), "h"); err != nil {
							t.Fatal(err)
						}
					}
					if err := c.call(t.Context(), e); !errors.Is(err, want) || upstream.Connections.Load() != 1 {
						failures++
					}
				}
				if failures > 0 {
					t.Errorf("%s, %s, %s: %d of %d failed", c.name, framing, moment, failures, repeats)
				}
			}
		}
	}
}

func decodeFor(prompt string) func(ctx context.Context, e *httpengine.Engine) error {
	return func(ctx context.Context, e *httpengine.Engine) error {
		_, err := e.Decode(ctx, "r", &wirev1.DecodeWork{Model: model, Prompt: prompt, MaxTokens: 10}, func(string) error { return nil })
		return err
	}
}
