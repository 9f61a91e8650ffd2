// Package memnet is an in-memory network for tests that can delay, pause, reset and partition connections. It works in
// the virtual time of testing/synctest.
package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeCapacityBytes is the buffer size of one direction of a connection. Writes block while the buffer is full, as with a
// socket.
const pipeCapacityBytes = 256 << 10

// chunk is written data that can be read from readyAt on.
type chunk struct {
	data    []byte
	readyAt time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	delay time.Duration

	mu       sync.Mutex // guards the fields below
	cond     *sync.Cond
	chunks   []chunk
	buffered int
	closed   bool
	// readClosed is set when the reading end was closed while the link was paused, so that the writer is not notified.
	readClosed   bool
	paused       bool
	readDeadline deadline
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
		if p.readDeadline.expired {
			return 0, os.ErrDeadlineExceeded
		}
		if p.readClosed {
			return 0, net.ErrClosed
		}
		if len(p.chunks) > 0 && !p.paused {
			remaining := time.Until(p.chunks[0].readyAt)
			if remaining <= 0 {
				return p.readChunk(b), nil
			}
			time.AfterFunc(remaining, p.cond.Broadcast)
		} else if p.closed && !p.paused {
			return 0, io.EOF
		}
		p.cond.Wait()
	}
}

// readChunk reads from the first chunk. The caller holds mu.
func (p *pipe) readChunk(b []byte) int {
	n := copy(b, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[n:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.buffered -= n
	p.cond.Broadcast()
	return n
}

func (p *pipe) write(b []byte, writeDeadline *deadline) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.buffered >= pipeCapacityBytes && !p.closed && !writeDeadline.expired {
		p.cond.Wait()
	}
	if p.closed {
		return 0, net.ErrClosed
	}
	if writeDeadline.expired {
		return 0, os.ErrDeadlineExceeded
	}
	p.chunks = append(p.chunks, chunk{data: append([]byte(nil), b...), readyAt: time.Now().Add(p.delay)})
	p.buffered += len(b)
	p.cond.Broadcast()
	return len(b), nil
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cond.Broadcast()
}

// closeRead fails later reads without notifying the writer.
func (p *pipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readClosed = true
	p.cond.Broadcast()
}

// abort closes the pipe and discards unread data.
func (p *pipe) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.paused = false
	p.chunks = nil
	p.cond.Broadcast()
}

func (p *pipe) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
	p.cond.Broadcast()
}

// deadline is a read or write deadline of a pipe, guarded by the mutex of that pipe.
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
func Pair(local, remote string, delay time.Duration) (*Conn, *Conn) {
	a, b := newPipe(delay), newPipe(delay)
	return &Conn{in: a, out: b, local: addr(local), remote: addr(remote)},
		&Conn{in: b, out: a, local: addr(remote), remote: addr(local)}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) { return c.out.write(b, &c.writeDeadline) }

// Close closes both directions. The other end can still read data that was written before.
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
	c.in.readDeadline.set(c.in, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.writeDeadline.set(c.out, t)
	return nil
}
