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
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/sendqueue"
)

// ErrMalformed means that a response has a status that no response has.
var ErrMalformed = errors.New("malformed response")

// Transport returns a round tripper over a copy of a transport. Its connections end regularly only if the request was sent before; otherwise the
// response, or its body, ends with an error that wraps io.ErrUnexpectedEOF. A response whose status is not from 200 to 599 returns ErrMalformed;
// http.Transport itself skips informational ones. A transport with its own DialTLSContext is not covered for https.
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

// conn is a connection whose reader sees a regular end only after the request was written and received.
type conn struct {
	net.Conn
	// upload is the write of the current request; nil before the first one.
	upload atomic.Pointer[sendqueue.Upload]

	mu sync.Mutex // guards the fields below
	// writing is closed when the last write has ended; nil before the first one. A http.Transport writes from one goroutine at a time.
	writing chan struct{}
	failed  error // of the first write that failed
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	ended := make(chan struct{})
	defer close(ended)
	c.mu.Lock()
	c.writing = ended
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.failed == nil {
			c.failed = err
		}
	}
	return n, err
}

// writeError waits for the end of a write that is in progress and returns the error of the first write that failed.
func (c *conn) writeError() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		<-writing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// Read implements net.Conn. http.Transport closes the connection when Read returned its end, so Read waits for the rest of the request before.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if u := c.upload.Load(); u != nil {
		if uploadErr := u.Wait(); uploadErr != nil {
			return n, truncated(uploadErr)
		}
	}
	// The transport flushes the last bytes after it reported the end of the write.
	if writeErr := c.writeError(); writeErr != nil {
		return n, truncated(writeErr)
	}
	if err := sendqueue.WaitReceived(c.Conn, sendqueue.EndTimeout, nil); err != nil {
		return n, truncated(err)
	}
	return n, io.EOF
}

func truncated(cause error) error {
	return fmt.Errorf("%w: the connection ended while the request was sent: %w", io.ErrUnexpectedEOF, cause)
}

type roundTripper struct{ transport *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	// http.Transport sends a request again on another connection if a kept one failed and the request may be repeated.
	var current atomic.Pointer[sendqueue.Upload]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u := sendqueue.NewUpload()
			current.Store(u)
			if c := underlying(info.Conn); c != nil {
				c.upload.Store(u)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if u := current.Load(); u != nil {
				u.End(info.Err)
			}
		},
	})
	response, err := t.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > 599 {
		_ = response.Body.Close()
		return nil, errors.Wrapf(ErrMalformed, "status %03d", response.StatusCode)
	}
	return response, nil
}

// CloseIdleConnections is called by http.Client.
func (t *roundTripper) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// underlying returns the connection under TLS; nil if it is not of this package.
func underlying(c net.Conn) *conn {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	own, _ := c.(*conn)
	return own
}
