package memnet

import (
	"net"
	"slices"
	"sync"
	"time"
)

const acceptBacklog = 4096

// Mux is one end of an in-memory connection that multiplexes streams. It replaces a yamux session.
type Mux struct {
	link   *link
	accept chan net.Conn
	peer   *Mux
	name   string

	// streams are the local ends of all streams since the start, including those already closed; guarded by link.mu.
	streams []*Conn
	// closed is guarded by link.mu. done is closed when closed is set.
	closed bool
	done   chan struct{}
}

// link is the state shared by both ends of a connection.
type link struct {
	delay time.Duration

	mu     sync.Mutex // guards the fields below
	paused bool
}

// NewMuxPair returns the two ends of a connection with a one-way delay.
func NewMuxPair(local, remote string, delay time.Duration) (*Mux, *Mux) {
	l := &link{delay: delay}
	a := &Mux{link: l, accept: make(chan net.Conn, acceptBacklog), name: local, done: make(chan struct{})}
	b := &Mux{link: l, accept: make(chan net.Conn, acceptBacklog), name: remote, done: make(chan struct{})}
	a.peer, b.peer = b, a
	return a, b
}

// Open opens a stream to the other end.
func (m *Mux) Open() (net.Conn, error) {
	m.link.mu.Lock()
	defer m.link.mu.Unlock()
	if m.closed {
		return nil, net.ErrClosed
	}
	local, remote := Pair(m.name, m.peer.name, m.link.delay)
	local.in.paused, local.out.paused = m.link.paused, m.link.paused
	m.streams = append(m.streams, local)
	m.peer.streams = append(m.peer.streams, remote)
	select {
	case m.peer.accept <- remote:
		return local, nil
	default:
		return nil, net.ErrClosed
	}
}

// Accept waits for a stream opened by the other end.
func (m *Mux) Accept() (net.Conn, error) {
	select {
	case <-m.done:
		return nil, net.ErrClosed
	case conn := <-m.accept:
		return conn, nil
	}
}

// Close aborts the connection and all its streams at both ends, as a connection reset does. On a paused link, only the
// local end is closed and the other end is not notified.
func (m *Mux) Close() error {
	m.link.mu.Lock()
	defer m.link.mu.Unlock()
	if m.closed {
		return nil
	}
	if !m.link.paused {
		m.abortStreams()
		m.peer.abortStreams()
		return nil
	}
	for _, c := range m.streams {
		c.in.closeRead()
		c.out.close()
	}
	m.streams = nil
	m.markClosed()
	return nil
}

// abortStreams aborts all streams of this end and marks it as closed. The caller holds link.mu.
func (m *Mux) abortStreams() {
	for _, c := range m.streams {
		c.in.abort()
		c.out.abort()
	}
	m.streams = nil
	m.markClosed()
}

func (m *Mux) markClosed() {
	if !m.closed {
		m.closed = true
		close(m.done)
	}
}

// SetPaused pauses or resumes delivery in both directions. Data written while the link is paused is kept and neither end
// sees an error, as when a firewall on the path has lost the state of the connection.
func (m *Mux) SetPaused(paused bool) {
	m.link.mu.Lock()
	defer m.link.mu.Unlock()
	m.link.paused = paused
	// An end that was closed while the link was paused has no streams left, but the other end still has them.
	for _, c := range append(slices.Clone(m.streams), m.peer.streams...) {
		c.in.setPaused(paused)
		c.out.setPaused(paused)
	}
}
