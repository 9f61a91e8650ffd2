package memnet

import (
	"net"
	"slices"
	"sync"
	"time"
)

const muxBacklog = 4096

// Mux is one end of an in-memory connection that carries streams, in the place of a yamux session.
type Mux struct {
	link   *link
	accept chan net.Conn
	peer   *Mux
	name   string

	// conns are this end's streams; guarded by link.mu.
	conns []*Conn
	// closed is guarded by link.mu, done is closed with it.
	closed bool
	done   chan struct{}
}

// link is the state that both ends share.
type link struct {
	delay time.Duration

	mu     sync.Mutex // guards the fields below
	silent bool
}

// NewMuxPair returns the two ends of a connection with a one-way delay.
func NewMuxPair(near, far string, delay time.Duration) (*Mux, *Mux) {
	l := &link{delay: delay}
	a := &Mux{link: l, accept: make(chan net.Conn, muxBacklog), name: near, done: make(chan struct{})}
	b := &Mux{link: l, accept: make(chan net.Conn, muxBacklog), name: far, done: make(chan struct{})}
	a.peer, b.peer = b, a
	return a, b
}

// Open starts a stream.
func (m *Mux) Open() (net.Conn, error) {
	m.link.mu.Lock()
	defer m.link.mu.Unlock()
	if m.closed {
		return nil, net.ErrClosed
	}
	near, far := Pair(m.name, m.peer.name, m.link.delay)
	near.in.silent, near.out.silent = m.link.silent, m.link.silent
	m.conns = append(m.conns, near)
	m.peer.conns = append(m.peer.conns, far)
	select {
	case m.peer.accept <- far:
		return near, nil
	default:
		return nil, net.ErrClosed
	}
}

// Accept waits for a stream from the other side.
func (m *Mux) Accept() (net.Conn, error) {
	select {
	case <-m.done:
		return nil, net.ErrClosed
	case conn := <-m.accept:
		return conn, nil
	}
}

// Close cuts the connection and all its streams, as a reset does. On a silent link only this end closes.
func (m *Mux) Close() error {
	m.link.mu.Lock()
	defer m.link.mu.Unlock()
	if m.closed {
		return nil
	}
	if !m.link.silent {
		m.end()
		m.peer.end()
		return nil
	}
	for _, c := range m.conns {
		c.in.abandon()
		c.out.close()
	}
	m.conns = nil
	m.markClosed()
	return nil
}

// end aborts all streams of this end. The caller holds link.mu.
func (m *Mux) end() {
	for _, c := range m.conns {
		c.in.abort()
		c.out.abort()
	}
	m.conns = nil
	m.markClosed()
}

func (m *Mux) markClosed() {
	if !m.closed {
		m.closed = true
		close(m.done)
	}
}

// SetSilent makes the link drop nothing but deliver nothing either, as a connection whose path has lost track of it.
func (m *Mux) SetSilent(silent bool) {
	m.link.mu.Lock()
	defer m.link.mu.Unlock()
	m.link.silent = silent
	// Streams of an end that closed on a silent link are still known to the other end.
	for _, c := range append(slices.Clone(m.conns), m.peer.conns...) {
		c.in.setSilent(silent)
		c.out.setSilent(silent)
	}
}
