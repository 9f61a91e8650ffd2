package etcdhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/etcdwire"
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
)

const maxErrorBodyBytes = 64 << 10

type callKind int

const (
	// callRead is a call that changes nothing or is idempotent.
	callRead callKind = iota
	callWrite
)

// noResponseError returns the error for a call that was sent but got no usable response.
func (k callKind) noResponseError(detail string) error {
	if k == callWrite {
		return errors.Wrap(kv.ErrOutcomeUnknown, detail)
	}
	return errors.Wrap(kv.ErrUnavailable, detail)
}

// call sends a request and decodes the first JSON value of the response.
func (c *Client) call(ctx context.Context, kind callKind, path string, request, response any) error {
	if c.callTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.callTimeout)
		defer cancel()
	}
	httpResponse, err := c.post(ctx, kind, path, request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	body := &readlimit.Reader{Source: httpResponse.Body, Left: maxResponseBytes}
	if err := json.NewDecoder(body).Decode(response); err != nil {
		return kind.noResponseError("read response: " + err.Error())
	}
	// The end is a line feed away. The connection is only reused if it was read, and a response whose connection broke before it confirms nothing.
	if _, err := io.CopyN(io.Discard, httpResponse.Body, maxErrorBodyBytes); err != nil && err != io.EOF {
		return kind.noResponseError("read response: " + err.Error())
	}
	return nil
}

// post sends a request and returns the response if its status is 200. The caller closes its body.
func (c *Client) post(ctx context.Context, kind callKind, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := c.httpClient.Do(httpRequest)
	if err != nil {
		if !connected.Load() || isDialError(err) {
			return nil, errors.Wrap(kv.ErrUnavailable, err.Error())
		}
		return nil, kind.noResponseError(err.Error())
	}
	if httpResponse.StatusCode != http.StatusOK {
		defer httpResponse.Body.Close()
		return nil, responseError(kind, httpResponse)
	}
	return httpResponse, nil
}

// isDialError reports whether no connection could be opened. If an idle connection fails, net/http dials a new one for a
// POST only if no byte was written to the idle connection. A dial error therefore means that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func responseError(kind callKind, httpResponse *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxErrorBodyBytes))
	if err != nil {
		return kind.noResponseError("read error response: " + err.Error())
	}
	var body etcdwire.Error
	if json.Unmarshal(text, &body) != nil {
		// The response does not come from the gateway itself, so only its status is used.
		body = etcdwire.Error{Message: http.StatusText(httpResponse.StatusCode)}
	}
	return statusError(kind, httpResponse.StatusCode, body)
}

// statusError returns the error for an error response. For a write, it returns kv.ErrUnavailable only if the message or
// the status means that nothing was written: etcd also uses code 14 for writes that timed out and may still take
// effect.
func statusError(kind callKind, status int, body etcdwire.Error) error {
	switch {
	case body.Message == etcdwire.MessageLeaseNotFound:
		return kv.ErrLeaseNotFound
	case body.Message == etcdwire.MessageCompacted:
		return kv.ErrCompacted
	case body.Message == etcdwire.MessageFutureRevision:
		return kv.ErrFutureRevision
	case body.Message == etcdwire.MessageNoLeader,
		body.Message == etcdwire.MessageTooManyRequests,
		status == http.StatusTooManyRequests:
		return errors.Wrap(kv.ErrUnavailable, body.Message)
	case isRejection(status):
		return errors.Errorf("key-value service rejected the call: status %d: %s", status, body.Message)
	}
	return kind.noResponseError(body.Message)
}

// isRejection reports whether a status means that the request was invalid and was not executed.
func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout ||
		status == http.StatusNotImplemented
}
