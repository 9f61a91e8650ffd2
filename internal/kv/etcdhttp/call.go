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
)

const maxErrorBytes = 64 << 10

type callKind int

const (
	// callRead is a call that changes nothing or can be repeated without harm.
	callRead callKind = iota
	callWrite
)

// lost is the error of a call that was sent and has no usable answer.
func (k callKind) lost(detail string) error {
	if k == callWrite {
		return errors.Wrap(kv.ErrOutcomeUnknown, detail)
	}
	return errors.Wrap(kv.ErrUnavailable, detail)
}

// call sends one request and decodes the first JSON value of the answer.
func (c *Client) call(ctx context.Context, kind callKind, path string, request, response any) error {
	if c.callTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.callTimeout)
		defer cancel()
	}
	answer, err := c.post(ctx, kind, path, request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(response); err != nil {
		return kind.lost("read answer: " + err.Error())
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, answer.Body)
	return nil
}

// post sends a request and returns an answer of status 200, whose body the caller closes.
func (c *Client) post(ctx context.Context, kind callKind, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		if !connected.Load() || isDialError(err) {
			return nil, errors.Wrap(kv.ErrUnavailable, err.Error())
		}
		return nil, kind.lost(err.Error())
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		return nil, refusedBy(kind, answer)
	}
	return answer, nil
}

// isDialError tells whether no connection could be opened. net/http dials again after it took an idle connection only
// if nothing of the request was written to that one, since it does not repeat a POST otherwise.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func refusedBy(kind callKind, answer *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	if err != nil {
		return kind.lost("read error answer: " + err.Error())
	}
	var body etcdwire.Error
	if json.Unmarshal(text, &body) != nil {
		// Not an answer of the gateway itself; the status alone decides.
		body = etcdwire.Error{Message: http.StatusText(answer.StatusCode)}
	}
	return refusal(kind, answer.StatusCode, body)
}

// refusal returns the error for an error answer. Only messages that say that nothing was written become
// kv.ErrUnavailable for a write; etcd also uses code 14 for writes that timed out and may still take effect.
func refusal(kind callKind, status int, body etcdwire.Error) error {
	switch {
	case body.Message == etcdwire.MessageLeaseNotFound:
		return kv.ErrLeaseNotFound
	case body.Message == etcdwire.MessageNoLeader,
		body.Message == etcdwire.MessageTooManyRequests,
		status == http.StatusTooManyRequests:
		return errors.Wrap(kv.ErrUnavailable, body.Message)
	case isRejection(status):
		return errors.Errorf("key-value service rejected the call: status %d: %s", status, body.Message)
	}
	return kind.lost(body.Message)
}

// isRejection tells whether a status means that the call itself is at fault and was not run.
func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout ||
		status == http.StatusNotImplemented
}
