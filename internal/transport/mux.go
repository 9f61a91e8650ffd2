package transport

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
)

const acceptBacklog = 1024

// connMux is a Mux of yamux that ends the reads and writes of its streams before yamux closes the session. From the close of a yamux session until it has
// ended each of the streams, their reads and writes poll, and allocate timers. Those of many streams then take the processors from what ends them.
type connMux struct {
	*yamux.Session
	calls *streamCalls
}

// newConnMux starts yamux on a connection. start is yamux.Client or yamux.Server.
func newConnMux(start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error), conn net.Conn) (connMux, error) {
	calls := &streamCalls{running: make(map[*muxStream]int)}
	session, err := start(muxConn{conn, calls}, muxConfig())
	return connMux{Session: session, calls: calls}, err
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // replaced by the heartbeats on the control stream
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

// Open implements Mux.
func (m connMux) Open() (net.Conn, error) {
	stream, err := m.OpenStream()
	if err != nil {
		return nil, err
	}
	return m.wrap(stream), nil
}

// Accept implements Mux.
func (m connMux) Accept() (net.Conn, error) {
	stream, err := m.AcceptStream()
	if err != nil {
		return nil, err
	}
	return m.wrap(stream), nil
}

func (m connMux) wrap(stream *yamux.Stream) *muxStream {
	return &muxStream{Stream: stream, calls: m.calls}
}

// Close implements Mux.
func (m connMux) Close() error {
	m.calls.end()
	return m.Session.Close()
}

// muxConn is the connection of a connMux. yamux closes it, and reads it until it ends.
type muxConn struct {
	net.Conn
	calls *streamCalls
}

// Read implements net.Conn.
func (c muxConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && n == 0 { // yamux has taken all that was received
		c.calls.end()
	}
	return n, err
}

// Close implements net.Conn.
func (c muxConn) Close() error {
	c.calls.end()
	return c.Conn.Close()
}

// streamCalls are the reads and writes of the streams of a session.
type streamCalls struct {
	mu    sync.Mutex // guards the fields below and the deadlines of the streams
	ended bool
	// running is the number of calls that run, by stream.
	running map[*muxStream]int
}

// end ends all calls. Later ones end at once, except for reads of what was received.
func (c *streamCalls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	for stream := range c.running {
		stream.expire()
	}
}

func (c *streamCalls) begin(stream *muxStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[stream]++
	if c.ended {
		stream.expire()
	}
}

// finish is called after a call that returned an error or nil. It replaces that of an expired deadline by another one if the calls were ended.
func (c *streamCalls) finish(stream *muxStream, err, replacement error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[stream]--; c.running[stream] == 0 {
		delete(c.running, stream)
	}
	if c.ended && errors.Is(err, yamux.ErrTimeout) {
		return replacement
	}
	return err
}

// setDeadline calls set unless the calls were ended.
func (c *streamCalls) setDeadline(set func(time.Time) error, deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return set(deadline)
}

// muxStream is a stream of a connMux.
type muxStream struct {
	*yamux.Stream
	calls *streamCalls
}

// expire ends the calls that wait.
func (s *muxStream) expire() { _ = s.Stream.SetDeadline(time.Unix(1, 0)) } // never fails

// Read implements net.Conn. It returns io.EOF after the end of the session.
func (s *muxStream) Read(p []byte) (int, error) {
	s.calls.begin(s)
	n, err := s.Stream.Read(p)
	return n, s.calls.finish(s, err, io.EOF)
}

// Write implements net.Conn.
func (s *muxStream) Write(p []byte) (int, error) {
	s.calls.begin(s)
	n, err := s.Stream.Write(p)
	return n, s.calls.finish(s, err, yamux.ErrSessionShutdown)
}

// SetDeadline implements net.Conn.
func (s *muxStream) SetDeadline(deadline time.Time) error {
	return s.calls.setDeadline(s.Stream.SetDeadline, deadline)
}

// SetReadDeadline implements net.Conn.
func (s *muxStream) SetReadDeadline(deadline time.Time) error {
	return s.calls.setDeadline(s.Stream.SetReadDeadline, deadline)
}

// SetWriteDeadline implements net.Conn.
func (s *muxStream) SetWriteDeadline(deadline time.Time) error {
	return s.calls.setDeadline(s.Stream.SetWriteDeadline, deadline)
}
