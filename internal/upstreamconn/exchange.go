package upstreamconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/sendqueue"
)

// maxInlineBodyBytes is the largest body that is written before the response is read. A larger body is written in a
// goroutine of its own while the response is read, because an upstream may respond and stop reading before it has the whole
// body.
const maxInlineBodyBytes = 8 << 10

// maxStaleResponses limits how many responses to earlier requests are skipped on one connection.
const maxStaleResponses = 4

// maxStaleBodyBytes is the size from which the body of a response to an earlier request is not skipped: the request fails.
const maxStaleBodyBytes = 1 << 20

// Request is a request to one upstream. Apart from Host and Content-Length, Header has every header that is sent.
type Request struct {
	Address string
	Method  string
	// Target is the request target: the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Accept reports whether a response belongs to this request; others are skipped. first is set for the first response on a
	// connection, which cannot be one to an earlier request. A nil Accept accepts any response.
	Accept func(header http.Header, first bool) bool
	// OnSend is called right before the first byte is written; nil for none.
	OnSend func()
	// NewConnection sends the request on a connection of its own, so that no response to an earlier request is taken for its
	// response.
	NewConnection bool
}

// Response is the response to one request. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the upstream sent the whole body.
	Body io.Reader
	// Length is the size of the body according to Content-Length; -1 if unknown.
	Length int64

	pool *Pool
	conn *conn
	raw  *http.Response
	// ended is closed when the context of the request ends.
	ended <-chan struct{}
	// upload is the write of the request if it goes on while the response is read; nil if the whole request was written before.
	upload *sendqueue.Upload
	// stopCancel unregisters the function that cancels the exchange when the request's context ends. It returns false if the
	// context has already ended.
	stopCancel func() bool
	// bodyRead is set when Body has returned io.EOF.
	bodyRead  bool
	closeOnce sync.Once
}

// Do sends the request once and returns when the response headers have been read. An error that wraps ErrNotSent means that
// the upstream received no byte of the request. If ctx ends before Close is called, reading Body fails and the connection
// is not reused.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Address, r.NewConnection)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, err := c.exchange(ctx, r)
	if err != nil {
		stop()
		c.received.release()
		_ = c.Close()
		if !c.writeStarted {
			err = errors.Join(ErrNotSent, err)
		}
		return nil, err
	}
	response.pool, response.stopCancel = p, stop
	return response, nil
}

func (c *conn) exchange(ctx context.Context, r *Request) (*Response, error) {
	c.writeStarted = false
	head := r.encodeHead()
	if r.OnSend != nil {
		r.OnSend()
	}
	if len(r.Body) <= maxInlineBodyBytes {
		n, err := c.Conn.Write(append(head, r.Body...))
		c.writeStarted = n > 0
		if err != nil {
			return nil, errors.Wrap(err, "write request")
		}
		return c.readResponse(ctx, r, nil)
	}
	c.writeStarted = true
	return c.readResponse(ctx, r, c.startUpload(head, r.Body))
}

// startUpload writes a request in a goroutine of its own.
func (c *conn) startUpload(head, body []byte) *sendqueue.Upload {
	u := sendqueue.NewUpload()
	go func() {
		_, err := c.Conn.Write(head)
		if err == nil {
			_, err = c.Conn.Write(body)
		}
		u.End(err)
	}()
	return u
}

// readHead reads the status and headers of the next response. It skips informational responses. Other protocols, to which a response with status 101
// would switch, are never asked for.
func (c *conn) readHead(method string) (raw *http.Response, err error) {
	c.received.release()
	c.received.begin()
	defer func() {
		var header http.Header
		if raw != nil {
			header = raw.Header
		}
		c.received.end(header)
	}()
	for {
		raw, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.received.exceeded {
			return nil, errors.Wrapf(ErrMalformed, "head exceeds %d bytes, or the memory for heads", c.received.read)
		}
		switch {
		case err != nil:
			return raw, markMalformed(err)
		case raw.StatusCode < 100 || raw.StatusCode > 599 || raw.StatusCode == http.StatusSwitchingProtocols:
			return raw, errors.Wrapf(ErrMalformed, "status %03d", raw.StatusCode)
		case raw.StatusCode >= http.StatusOK:
			return raw, nil
		}
	}
}

// markMalformed adds ErrMalformed to an error from reading a response, unless the connection failed or ended.
func markMalformed(err error) error {
	var connErr net.Error
	if err == nil || err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &connErr) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// readResponse reads the status and headers of the response that belongs to the request. It skips responses to earlier
// requests.
func (c *conn) readResponse(ctx context.Context, r *Request, upload *sendqueue.Upload) (*Response, error) {
	for skipped := 0; skipped <= maxStaleResponses; {
		raw, err := c.readHead(r.Method)
		if err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			return nil, errors.Wrap(err, "read response")
		}
		first := !c.responded
		c.responded = true
		if r.Accept == nil || r.Accept(raw.Header, first) {
			response := &Response{Status: raw.StatusCode, Header: raw.Header, Length: raw.ContentLength, conn: c, raw: raw, upload: upload, ended: ctx.Done()}
			response.Body = &bodyReader{response: response}
			return response, nil
		}
		_, err = io.CopyN(io.Discard, raw.Body, maxStaleBodyBytes)
		if err == nil {
			return nil, errors.Wrapf(ErrMalformed, "response to another request has %d bytes or more", maxStaleBodyBytes)
		}
		if err != io.EOF {
			return nil, errors.Wrap(markMalformed(err), "skip a response to another request")
		}
		skipped++
	}
	return nil, errors.New("too many responses to other requests")
}

// encodeHead returns the request line and headers as sent. It leaves capacity for a body that is written with them.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512)
	if len(r.Body) <= maxInlineBodyBytes {
		b.Grow(512 + len(r.Body))
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writes to a bytes.Buffer never fail
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyReader reads the response body and sets bodyRead at its end.
type bodyReader struct {
	response *Response
	// truncated is the error after the end of a connection that did not end the response; nil before.
	truncated error
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if r.truncated != nil {
		return 0, r.truncated
	}
	n, err := r.response.raw.Body.Read(p)
	if err == io.EOF {
		if r.truncated = r.response.checkEnd(); r.truncated != nil {
			return n, r.truncated
		}
		r.response.bodyRead = true
	}
	return n, markMalformed(err)
}

// checkEnd returns an error if the end of the connection, which delimits the response, does not show that the response is complete. The kernel
// reports the reset of a connection to one call only: if that is a write, the reader sees a regular end.
func (r *Response) checkEnd() error {
	if r.SelfDelimited() || r.raw.Body == http.NoBody {
		return nil
	}
	err := r.upload.Wait()
	if err == nil {
		err = sendqueue.WaitReceived(r.conn.Conn, sendqueue.EndTimeout, r.ended)
	}
	if err != nil {
		return fmt.Errorf("%w: the connection ended while the request was sent: %w", io.ErrUnexpectedEOF, err)
	}
	return nil
}

// SelfDelimited reports whether the body ends by its Content-Length or chunked encoding, as opposed to the end of the
// connection.
func (r *Response) SelfDelimited() bool {
	return r.raw.ContentLength >= 0 || len(r.raw.TransferEncoding) > 0
}

// Discard closes the connection. It replaces Close if the response turned out not to be the one to the request.
func (r *Response) Discard() {
	r.closeOnce.Do(func() {
		r.stopCancel()
		r.conn.received.release()
		_ = r.conn.Close()
	})
}

// Close returns the connection to the pool if the response was read to its end and the connection is reusable, and closes
// it otherwise.
func (r *Response) Close() {
	r.closeOnce.Do(func() {
		r.conn.received.release()
		reusable := r.stopCancel() && r.bodyRead && !r.raw.Close && r.SelfDelimited() && r.upload.Written() && r.conn.reader.Buffered() == 0
		if !reusable {
			_ = r.conn.Close()
			return
		}
		r.conn.setExpiry(r.Header)
		r.pool.put(r.conn)
	})
}
