package memnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused is returned by Dial when nothing listens at the address, the backlog of the listener is full, the two
// processes are partitioned or the dialling process was killed.
var ErrRefused = errors.New("connection refused")

// Network connects processes by address.
type Network struct {
	delay time.Duration

	mu          sync.Mutex // guards the fields below
	listeners   map[string]*Listener
	connections []*connection
	partitioned map[addressPair]bool
	killed      map[string]bool
}

type addressPair struct{ from, to string }

// connection is a connection from one process to another.
type connection struct {
	addresses addressPair
	mux       *Mux
}

// NewNetwork returns a network with a one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, listeners: make(map[string]*Listener), partitioned: make(map[addressPair]bool), killed: make(map[string]bool)}
}

// Listener accepts connections at an address.
type Listener struct {
	network *Network
	address string
	accept  chan *Mux
	done    chan struct{}
	once    sync.Once
}

// Listen starts listening at an address. It also revives a process that was killed.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{network: n, address: address, accept: make(chan *Mux, acceptBacklog), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	delete(n.killed, address)
	return l
}

// Accept waits for a connection.
func (l *Listener) Accept() (*Mux, error) {
	select {
	case <-l.done:
		return nil, net.ErrClosed
	case mux := <-l.accept:
		return mux, nil
	}
}

// Close stops listening.
func (l *Listener) Close() {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
}

// Dial connects the process at address from to the listener at address to.
func (n *Network) Dial(ctx context.Context, from, to string) (*Mux, error) {
	timer := time.NewTimer(n.delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	if l == nil || n.killed[from] || n.partitioned[addressPair{from, to}] || n.partitioned[addressPair{to, from}] {
		return nil, ErrRefused
	}
	local, remote := NewMuxPair(from, to, n.delay)
	select {
	case l.accept <- remote:
	default:
		return nil, ErrRefused
	}
	n.connections = append(n.connections, &connection{addresses: addressPair{from, to}, mux: local})
	return local, nil
}

// forEachConnection calls visit for each connection between two processes, in either direction.
func (n *Network) forEachConnection(a, b string, visit func(*Mux)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.connections {
		if (conn.addresses == addressPair{a, b}) || (conn.addresses == addressPair{b, a}) {
			visit(conn.mux)
		}
	}
}

// Reset closes all existing connections between two processes. New connections still work.
func (n *Network) Reset(a, b string) {
	n.forEachConnection(a, b, func(m *Mux) { _ = m.Close() })
}

// PauseConnections permanently pauses all existing connections between two processes. New connections still work.
func (n *Network) PauseConnections(a, b string) {
	n.forEachConnection(a, b, func(m *Mux) { m.SetPaused(true) })
}

// PausedConnections is a set of connections that deliver nothing until Resume is called.
type PausedConnections []*Mux

// PauseProcess pauses all existing connections of a process. Data sent while they are paused is delivered after Resume.
func (n *Network) PauseProcess(address string) PausedConnections {
	n.mu.Lock()
	defer n.mu.Unlock()
	var paused PausedConnections
	for _, conn := range n.connections {
		if conn.addresses.from == address || conn.addresses.to == address {
			conn.mux.SetPaused(true)
			paused = append(paused, conn.mux)
		}
	}
	return paused
}

// Resume resumes the connections and delivers the data sent while they were paused.
func (p PausedConnections) Resume() {
	for _, mux := range p {
		mux.SetPaused(false)
	}
}

// Partition partitions two processes: their existing connections are paused permanently and new ones are refused until
// Heal.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	n.partitioned[addressPair{a, b}] = true
	n.mu.Unlock()
	n.PauseConnections(a, b)
}

// Heal allows new connections between two partitioned processes.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, addressPair{a, b})
	delete(n.partitioned, addressPair{b, a})
}

// Kill simulates a crash of a process: it closes its listener and all its connections.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	n.killed[address] = true
	l := n.listeners[address]
	var affected []*Mux
	for _, conn := range n.connections {
		if conn.addresses.from == address || conn.addresses.to == address {
			affected = append(affected, conn.mux)
		}
	}
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, mux := range affected {
		_ = mux.Close()
	}
}
