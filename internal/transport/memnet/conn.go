// Package memnet is an in-memory network with delay, silence and cuts. It works in virtual time.
package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes is the room of one direction of a connection, as a socket buffer has it.
const bufferBytes = 256 << 10

// chunk is written data that may be read from a moment on.
type chunk struct {
	data    []byte
	readyAt time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	delay time.Duration

	mu     sync.Mutex // guards the fields below
	cond   *sync.Cond
	chunks []chunk
	size   int
	closed bool
	// readerGone is set when the reading end closed on a silent link; the writer cannot know.
	readerGone bool
	silent     bool
	deadline   deadline // of the reader
}

func newPipe(delay time.Duration) *pipe {
	p := &pipe{delay: delay}
	p.cond = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.deadline.expired {
			return 0, os.ErrDeadlineExceeded
		}
		if p.readerGone {
			return 0, net.ErrClosed
		}
		if len(p.chunks) > 0 && !p.silent {
			wait := time.Until(p.chunks[0].readyAt)
			if wait <= 0 {
				return p.take(b), nil
			}
			time.AfterFunc(wait, p.cond.Broadcast)
		} else if p.closed && !p.silent {
			return 0, io.EOF
		}
		p.cond.Wait()
	}
}

// take copies from the first chunk. The caller holds mu.
func (p *pipe) take(b []byte) int {
	n := copy(b, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[n:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.size -= n
	p.cond.Broadcast()
	return n
}

func (p *pipe) write(b []byte, writeDeadline *deadline) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.size >= bufferBytes && !p.closed && !writeDeadline.expired {
		p.cond.Wait()
	}
	if p.closed {
		return 0, net.ErrClosed
	}
	if writeDeadline.expired {
		return 0, os.ErrDeadlineExceeded
	}
	p.chunks = append(p.chunks, chunk{data: append([]byte(nil), b...), readyAt: time.Now().Add(p.delay)})
	p.size += len(b)
	p.cond.Broadcast()
	return len(b), nil
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cond.Broadcast()
}

// abandon ends reading without telling the writer.
func (p *pipe) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerGone = true
	p.cond.Broadcast()
}

// abort closes the pipe and drops what was not read.
func (p *pipe) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.silent = false
	p.chunks = nil
	p.cond.Broadcast()
}

func (p *pipe) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	p.cond.Broadcast()
}

// deadline is guarded by the mutex of the pipe that uses it.
type deadline struct {
	expired bool
	timer   *time.Timer
}

// set changes the deadline. The caller holds p.mu.
func (d *deadline) set(p *pipe, t time.Time) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.expired = !t.IsZero() && !time.Now().Before(t)
	if t.IsZero() || d.expired {
		p.cond.Broadcast()
		return
	}
	d.timer = time.AfterFunc(time.Until(t), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		d.expired = true
		p.cond.Broadcast()
	})
}

// Conn is one end of an in-memory connection.
type Conn struct {
	in, out       *pipe
	local, remote addr
	writeDeadline deadline // guarded by out.mu
}

type addr string

func (a addr) Network() string { return "memory" }
func (a addr) String() string  { return string(a) }

// Pair returns the two ends of a connection with a one-way delay.
func Pair(near, far string, delay time.Duration) (*Conn, *Conn) {
	a, b := newPipe(delay), newPipe(delay)
	return &Conn{in: a, out: b, local: addr(near), remote: addr(far)},
		&Conn{in: b, out: a, local: addr(far), remote: addr(near)}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) { return c.out.write(b, &c.writeDeadline) }

// Close ends both directions; the other side reads what was written before.
func (c *Conn) Close() error {
	c.out.close()
	c.in.abort()
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.deadline.set(c.in, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.writeDeadline.set(c.out, t)
	return nil
}
