package ingress

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxHeadRead limits what is read beyond the end of a head or chunked body and has to be kept. It is the size of the server's buffer.
	maxHeadRead = 4 << 10
	// maxSpareBytes is the size of a body that a connection has memory for. The bodies of ordinary requests arrive with their heads.
	maxSpareBytes = 1 << 10
	// maxWritePart is the size of the parts of a large answer. Each has the whole write timeout.
	maxWritePart = 64 << 10
	// answerMargin is the time after the deadline of a request in which its client may still take the answer.
	answerMargin = 5 * time.Second
	// refusalTimeout limits the write of a refusal, and refusalPause is how long the connection stays open after it, as in net/http: the
	// reset that follows from unread data could otherwise overtake the refusal.
	refusalTimeout = time.Second
	refusalPause   = 500 * time.Millisecond
)

const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

var errRefused = errors.New("refused by a limit of the listener")

// conn is a guarded connection. The server reads from one goroutine at a time, and calls beginRequest and endRequest between its reads, with one
// exception: after a request without a body it reads in the background, which concerns only the fields that beginRequest leaves alone then.
type conn struct {
	net.Conn
	guard     *Guard
	place     place
	charge    charge
	handshake *handshakeConn // below TLS; nil without
	session   bool
	buffer    receiveBuffer
	closeOnce sync.Once
	// established is set once a connection of Sessions is known to be a peer.
	established atomic.Bool

	framer framer
	head   headAccount
	// rest was read beyond the end of the current part. spare has the memory of an earlier rest.
	rest, spare []byte
	// headDone is set from the end of a head to the end of its request; early is the number of bytes of the next head that came in that time.
	headDone bool
	early    int
	// requests is set once a first request was served, and bodyTimedOut until the end of the request whose body did not come in time.
	requests, bodyTimedOut bool
	// bodyBytes is the number of bytes of the body that were read.
	bodyBytes int64
	// headErr is the error that ended the connection in a head; the server reads again after some errors.
	headErr error

	readDeadline, writeDeadline deadline

	mu sync.Mutex // guards the fields below
	// bodyDeadline and answerDeadline are those of the request; zero for none.
	bodyDeadline, answerDeadline time.Time
}

func newConn(g *Guard, inner net.Conn, session bool) *conn {
	c := &conn{Conn: inner, guard: g, session: session, charge: charge{budget: g.headMemory}}
	c.buffer.buffers, c.buffer.socket = g.receive, tcpConn(inner)
	c.place.address, c.place.conn = sourceAddress(inner), c
	if t, ok := inner.(*tls.Conn); ok {
		if h, ok := t.NetConn().(*handshakeConn); ok {
			h.owner, c.handshake = c, h
		}
	}
	return c
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.guard.table.remove(&c.place)
		c.charge.close()
		c.buffer.close()
		c.guard.reporter.open.Dec()
	})
	return c.Conn.Close()
}

// CloseWrite closes the sending half if the connection can do that. The server uses it to end a connection gently.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Established ends the limits of the head of a connection of Sessions.
func (c *conn) Established() {
	c.established.Store(true)
	c.guard.table.headComplete(&c.place)
	c.charge.release()
	c.enlargeBuffer()
	c.setOwnRead(time.Time{})
}

// beginRequest is called when the head of a request is complete. length is that of its body, -1 for a chunked one.
func (c *conn) beginRequest(length int64) {
	if length != 0 {
		c.framer.expectBody(length)
	}
	if !c.requests {
		c.requests = true
		c.guard.table.headComplete(&c.place)
	}
	var bodyDeadline time.Time
	if length != 0 && c.guard.RequestTimeout > 0 {
		bodyDeadline = time.Now().Add(c.guard.RequestTimeout)
	}
	c.setRequestDeadlines(bodyDeadline, time.Time{})
	c.setOwnRead(time.Time{})
}

// endRequest is called when the answer to a request was written and its body was read.
func (c *conn) endRequest() {
	c.head = headAccount{bytes: c.early}
	c.headDone, c.early, c.bodyTimedOut = false, 0, false
	c.framer.section = inHead // the server has read the body, whatever the framer made of it
	c.charge.release()
	c.bodyBytes = 0
	c.buffer.shrink()
	c.setOwnRead(time.Time{})
	if c.framer.headBegun() {
		c.startHead()
	}
}

// setRequestDeadlines sets the deadlines of the request that is served.
func (c *conn) setRequestDeadlines(body, answer time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyDeadline, c.answerDeadline = body, answer
}

// requestDeadlines returns the deadlines of the request that is served.
func (c *conn) requestDeadlines() (body, answer time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyDeadline, c.answerDeadline
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.headErr != nil:
		return 0, c.headErr
	case c.session:
		return c.readSession(p)
	case c.framer.section == inHead:
		return c.readHead(p)
	default:
		return c.readBody(p)
	}
}

// receive copies what was kept, or reads from the network. keep must follow unless all was used and nothing had been kept.
func (c *conn) receive(p []byte) (n int, kept bool, err error) {
	if len(c.rest) > 0 {
		return copy(p, c.rest), true, nil
	}
	n, err = c.Conn.Read(p)
	c.buffer.received(n)
	if n > 0 && c.handshake != nil {
		c.handshake.done.Store(true)
	}
	return n, false, err
}

// keep stores what receive returned beyond the end of a part, of which used bytes belong to the part.
func (c *conn) keep(received []byte, used int, kept bool) {
	switch {
	case kept && used == len(c.rest):
		c.rest = nil
	case kept:
		c.rest = c.rest[used:]
	case used < len(received):
		c.rest = append(c.spare[:0], received[used:]...)
		if cap(c.rest) <= maxSpareBytes {
			c.spare = c.rest
		}
	}
}

func (c *conn) readHead(p []byte) (int, error) {
	n, kept, err := c.receive(p[:min(len(p), maxHeadRead)])
	if n == 0 {
		return 0, c.headError(err)
	}
	size, lines, ended := c.framer.takeHead(p[:n])
	c.keep(p[:n], size, kept)
	if c.headDone && len(p) == 1 { // the server reads in the background while it serves a request
		c.early += size
		return size, err
	}
	if cause := c.countHead(size, lines); cause != "" {
		return 0, c.refuseHead(cause)
	}
	c.headDone = c.headDone || ended
	if c.requests && c.framer.headBegun() {
		c.startHead()
	}
	return size, err
}

// countHead adds a part of a head, and returns the cause for which the connection is refused.
func (c *conn) countHead(size, lines int) Cause {
	if cause := c.head.add(size, lines, &c.guard.Limits); cause != "" {
		return cause
	}
	cost := c.head.cost()
	if c.session {
		cost = c.head.sessionCost()
	}
	if !c.charge.raise(cost) {
		return CauseHeadMemory
	}
	return ""
}

// refuseHead ends a connection because of its head. The error that it returns makes the server close the connection without an answer of its own.
func (c *conn) refuseHead(cause Cause) error {
	c.guard.reporter.report(cause, c.RemoteAddr())
	if cause != CauseHeadMemory && !c.session {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		if _, err := c.Conn.Write([]byte(headTooLarge)); err == nil && c.CloseWrite() == nil {
			time.Sleep(refusalPause)
		}
	}
	c.headErr = &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	return c.headErr
}

// headError reports a head that was not complete in time. A connection that waits for its next request has no head yet.
func (c *conn) headError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.headDone && (!c.requests || c.framer.headBegun()) {
		c.headErr = err
		c.guard.reporter.report(CauseHeadTimeout, c.RemoteAddr())
	}
	return err
}

// startHead limits the time until the head is complete, unless that was done at its first byte.
func (c *conn) startHead() {
	if c.readDeadline.setOwnIfNone(time.Now().Add(c.guard.Limits.HeadTimeout)) {
		_ = c.readDeadline.applyRead(c.Conn) // an error also fails the read
	}
}

func (c *conn) readSession(p []byte) (int, error) {
	n, _, err := c.receive(p)
	if c.established.Load() {
		return n, err
	}
	if n == 0 {
		return 0, c.headError(err)
	}
	if cause := c.countHead(n, 0); cause != "" {
		return 0, c.refuseHead(cause)
	}
	return n, err
}

func (c *conn) readBody(p []byte) (int, error) {
	if c.bodyTimedOut {
		return 0, os.ErrDeadlineExceeded
	}
	if c.framer.section == inBody {
		p = p[:min(int64(len(p)), c.framer.bodyLeft)]
	} else {
		p = p[:min(len(p), maxHeadRead)]
	}
	if len(c.rest) == 0 {
		c.startBodyPart()
	}
	if c.bodyBytes+c.framer.bodyLeft > int64(c.buffer.buffers.small) {
		c.enlargeBuffer()
	}
	n, kept, err := c.receive(p)
	size := c.framer.takeBody(p[:n])
	c.bodyBytes += int64(size)
	c.keep(p[:n], size, kept)
	if c.framer.section == inHead {
		c.setOwnRead(time.Time{})
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.ownReadOver() {
		c.bodyTimedOut = true
		c.guard.reporter.report(CauseBodyTimeout, c.RemoteAddr())
	}
	return size, err
}

// enlargeBuffer gives the connection a large receive buffer, if there is memory for it.
func (c *conn) enlargeBuffer() {
	if c.buffer.enlarge() {
		c.guard.reporter.report(CauseReceiveMemory, c.RemoteAddr())
	}
}

// startBodyPart limits the time until the next part of a body.
func (c *conn) startBodyPart() {
	body, _ := c.requestDeadlines()
	c.setOwnRead(earliest(time.Now().Add(c.guard.Limits.BodyTimeout), body))
}

func (c *conn) ownReadOver() bool {
	own := c.readDeadline.ownDeadline()
	return !own.IsZero() && !time.Now().Before(own)
}

// setOwnRead sets the deadline of the limits for reads.
func (c *conn) setOwnRead(t time.Time) {
	if c.readDeadline.setOwn(t) {
		_ = c.readDeadline.applyRead(c.Conn) // an error also fails the read
	}
}

// SetReadDeadline implements net.Conn. The deadline of the limits holds as well.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.setServer(t)
	return c.readDeadline.applyRead(c.Conn)
}

// SetWriteDeadline implements net.Conn. The deadline of the limits holds as well.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if !c.writeDeadline.setServer(t) { // the server removes it after each request
		return nil
	}
	return c.writeDeadline.applyWrite(c.Conn)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.startWrite()
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWritePart)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.guard.reporter.report(CauseWriteTimeout, c.RemoteAddr())
		}
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// startWrite limits the time until a part of an answer is taken.
func (c *conn) startWrite() {
	_, answer := c.requestDeadlines()
	next := nextWriteDeadline(c.writeDeadline.ownDeadline(), answer, time.Now(), c.guard.Limits.WriteTimeout)
	if c.writeDeadline.setOwn(next) {
		_ = c.writeDeadline.applyWrite(c.Conn) // an error also fails the write
	}
}

// handshakeConn is the connection below one of TLS. It counts what a client sends in the handshake, which is kept until it is complete.
type handshakeConn struct {
	net.Conn
	owner *conn // nil if the connection is not guarded
	done  atomic.Bool
	hello headAccount
}

// Read implements net.Conn.
func (h *handshakeConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if h.owner == nil || n == 0 || h.done.Load() {
		return n, err
	}
	cause := h.hello.add(n, 0, &h.owner.guard.Limits)
	if cause == "" && !h.owner.charge.raise(h.hello.cost()) {
		cause = CauseHeadMemory
	}
	if cause != "" {
		h.owner.guard.reporter.report(cause, h.RemoteAddr())
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	return n, err
}
