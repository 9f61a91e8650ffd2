// Package wholeresponse makes clients of net/http report truncated and malformed responses that a http.Transport takes for complete ones.
//
// The kernel reports the reset of a connection to one call only. If a http.Transport gets it while it writes a request, its reader sees a regular
// end, which also delimits a response without a length and chunks. The transport does not relate the two.
package wholeresponse

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrMalformed means that a response has a status that no response has.
var ErrMalformed = errors.New("malformed response")

// uploadEndTimeout limits how long the rest of a request body may take after the upstream ended its response by the end of the connection.
const uploadEndTimeout = time.Second

// Transport returns a round tripper over a copy of a transport. A body that ends with its connection ends with io.EOF only if the whole request was
// written and no write failed on the connection; otherwise with an error that wraps io.ErrUnexpectedEOF. A response whose status is not from 200 to
// 599 returns ErrMalformed; http.Transport itself skips informational ones.
func Transport(transport *http.Transport) http.RoundTripper {
	transport = transport.Clone()
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &roundTripper{transport: transport}
}

// Client returns a copy of a client that uses Transport, unless its transport is not net/http's.
func Client(client *http.Client) *http.Client {
	changed := *client
	if changed.Transport == nil {
		changed.Transport = http.DefaultTransport
	}
	if transport, ok := changed.Transport.(*http.Transport); ok {
		changed.Transport = Transport(transport)
	}
	return &changed
}

// conn is a connection on which no reader sees a regular end after a failed write.
type conn struct {
	net.Conn
	// mu is held during a write, so that a reader waits for the result of one in progress. It guards failed.
	mu     sync.Mutex
	failed error
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// Ends the write to an upstream that half-closed the connection and reads no more.
	_ = c.SetWriteDeadline(time.Now().Add(uploadEndTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return n, truncated(c.failed)
	}
	return n, io.EOF
}

func truncated(cause error) error {
	return fmt.Errorf("%w: the connection ended while the request was written: %w", io.ErrUnexpectedEOF, cause)
}

type roundTripper struct{ transport *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	u := newUpload()
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { u.begin() }, WroteRequest: func(info httptrace.WroteRequestInfo) { u.end(info.Err) },
	})
	response, err := t.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > 599 {
		_ = response.Body.Close()
		return nil, errors.Wrapf(ErrMalformed, "status %03d", response.StatusCode)
	}
	if endsWithConnection(response) {
		response.Body = &body{ReadCloser: response.Body, ctx: ctx, upload: u}
	}
	return response, nil
}

// CloseIdleConnections is called by http.Client.
func (t *roundTripper) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// endsWithConnection reports whether the end of a connection delimits a response. The content of a response that net/http decompresses shows its end.
func endsWithConnection(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody && !r.Uncompressed
}

// upload is the write of a request. http.Transport may write it on a second connection if the first, kept one failed.
type upload struct {
	mu    sync.Mutex // guards the fields below
	done  chan struct{}
	ended bool  // done was closed
	err   error // of the write that ended
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// begin begins the write on a connection.
func (u *upload) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.done, u.ended, u.err = make(chan struct{}), false, nil
}

// end ends the write with its error.
func (u *upload) end(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		u.ended, u.err = true, err
		close(u.done)
	}
}

// wait waits for the end of the write and returns its error.
func (u *upload) wait(ctx context.Context) error {
	u.mu.Lock()
	done := u.done
	u.mu.Unlock()
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	select {
	case <-done:
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.err
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout.C:
		return errors.New("the upstream does not read the rest of the request")
	}
}

// body is a response body that ends with its connection.
type body struct {
	io.ReadCloser
	ctx    context.Context // that of the request, which also ends reads of the body
	upload *upload
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if uploadErr := b.upload.wait(b.ctx); uploadErr != nil {
			return n, truncated(uploadErr)
		}
	}
	return n, err
}
