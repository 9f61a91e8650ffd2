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
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
	"github.com/fulmardoor/fulmardoor/internal/wholeresponse"
)

const (
	// maxControlBytes is the maximum size of a response that is not a stream, apart from those about the prefix cache. Many are read at
	// a time, and the values in them take several times the memory of their text.
	maxControlBytes = 64 << 10
	// maxCacheEventsBytes is the maximum size of a response with events of the prefix cache, about 90,000 events.
	maxCacheEventsBytes = 4 << 20
	// maxErrorBodyBytes is the maximum size of an error body that is read.
	maxErrorBodyBytes = 64 << 10
)

// call sends a request and decodes the JSON response, which has at most maxBytes. With a nil requestBody it sends no body; with a nil
// responseBody it discards the response.
func (e *Engine) call(ctx context.Context, client *http.Client, method, path, requestID string, requestBody, responseBody any, maxBytes int64) error {
	response, err := e.send(ctx, client, method, path, requestID, requestBody)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if responseBody == nil {
		if _, err := io.CopyN(io.Discard, response.Body, maxBytes); err != nil && err != io.EOF {
			return brokenError(ctx, err)
		}
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return brokenError(ctx, err)
	}
	if int64(len(data)) > maxBytes {
		return errors.Wrapf(readlimit.ErrTooLarge, "%s: more than %d bytes", path, maxBytes)
	}
	if err := json.Unmarshal(data, responseBody); err != nil {
		return errors.Wrapf(err, "decode response of %s", path)
	}
	return nil
}

// send sends a request and returns the response if its status is 200. The caller closes its body.
func (e *Engine) send(ctx context.Context, client *http.Client, method, path, requestID string, requestBody any) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := e.newRequest(httptrace.WithClientTrace(ctx, trace), method, path, requestID, requestBody)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	switch {
	case errors.Is(err, wholeresponse.ErrMalformed):
		return nil, err
	case err != nil && (!connected.Load() || isDialError(err)):
		return nil, wrapWithKind(ctx, engine.ErrUnreachable, err)
	case err != nil:
		return nil, brokenError(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, statusError(ctx, response)
	}
	return response, nil
}

func (e *Engine) newRequest(ctx context.Context, method, path, requestID string, requestBody any) (*http.Request, error) {
	var body io.Reader
	if requestBody != nil {
		data, err := json.Marshal(requestBody)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	if requestBody != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if requestID != "" {
		request.Header.Set(vllm.HeaderRequestID, requestID)
	}
	return request, nil
}

// isDialError reports whether no connection could be opened. If an idle connection fails, net/http dials a new one for a
// POST only if no byte was written to the idle connection. A dial error therefore means that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func brokenError(ctx context.Context, err error) error {
	return wrapWithKind(ctx, engine.ErrBroken, err)
}

// wrapWithKind returns an error that matches kind and err or, if ctx has ended, kind and the error of ctx.
func wrapWithKind(ctx context.Context, kind, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return fmt.Errorf("%w: %w", kind, ctxErr)
	}
	return fmt.Errorf("%w: %w", kind, err)
}

func statusError(ctx context.Context, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return brokenError(ctx, err)
	}
	body := new(vllm.ErrorBody)
	if err := json.Unmarshal(data, body); err != nil {
		return errors.Errorf("engine returned status %s", response.Status)
	}
	return codeError(response.Status, &body.Error)
}

// codeError returns an error that matches the error of package engine for the code, if there is one.
func codeError(source string, e *vllm.Error) error {
	kinds := map[string]error{
		vllm.CodeBusy:       engine.ErrBusy,
		vllm.CodeEvicted:    engine.ErrEvicted,
		vllm.CodeStaleOrder: engine.ErrStaleOrder,
		vllm.CodeEventsLost: engine.ErrEventsLost,
	}
	if kind, ok := kinds[e.Code]; ok {
		return errors.Wrap(kind, e.Message)
	}
	return errors.Errorf("engine error (%s): %s", source, e.Message)
}
