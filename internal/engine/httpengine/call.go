package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
)

const (
	// maxAnswer is the longest answer that is read whole, bytes. A cache state of a million hashes has 21 MB.
	maxAnswer = 64 << 20
	// maxErrorBody is the longest error body that is read, bytes.
	maxErrorBody = 64 << 10
)

// call sends a message and reads the whole answer. A nil message sends no body; a nil answer is discarded.
func (e *Engine) call(ctx context.Context, method, path, requestID string, message, answer any) error {
	response, err := e.send(ctx, method, path, requestID, message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return broken(ctx, err)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrapf(err, "answer of %s", path)
	}
	return nil
}

// send sends a message and returns the response if its status is 200.
func (e *Engine) send(ctx context.Context, method, path, requestID string, message any) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := e.newRequest(httptrace.WithClientTrace(ctx, trace), method, path, requestID, message)
	if err != nil {
		return nil, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		if !connected.Load() || failedToDial(err) {
			return nil, classified(ctx, engine.ErrUnreachable, err)
		}
		return nil, broken(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	return response, nil
}

func (e *Engine) newRequest(ctx context.Context, method, path, requestID string, message any) (*http.Request, error) {
	var body io.Reader
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if message != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if requestID != "" {
		request.Header.Set(vllm.HeaderRequestID, requestID)
	}
	return request, nil
}

// failedToDial says whether the last attempt made no connection. net/http repeats a POST on a new connection only if it
// wrote no byte to the old one, so a failed dial means that nothing was sent at all.
func failedToDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func broken(ctx context.Context, err error) error {
	return classified(ctx, engine.ErrBroken, err)
}

// classified returns an error that matches kind and, if ctx ended, also the error of ctx.
func classified(ctx context.Context, kind, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return fmt.Errorf("%w: %w", kind, ctxErr)
	}
	return fmt.Errorf("%w: %w", kind, err)
}

func statusError(response *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	body := new(vllm.ErrorBody)
	if err := json.Unmarshal(data, body); err != nil {
		return errors.Errorf("engine answered %s", response.Status)
	}
	return codeError(response.Status, &body.Error)
}

// codeError returns the error of package engine that a code stands for, if there is one.
func codeError(status string, e *vllm.Error) error {
	kinds := map[string]error{
		vllm.CodeBusy:       engine.ErrBusy,
		vllm.CodeEvicted:    engine.ErrEvicted,
		vllm.CodeStaleOrder: engine.ErrStaleOrder,
		vllm.CodeEventsLost: engine.ErrEventsLost,
	}
	if kind, ok := kinds[e.Code]; ok {
		return errors.Wrap(kind, e.Message)
	}
	return errors.Errorf("engine answered %s: %s", status, e.Message)
}
