package memnet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused is returned when nothing listens at an address or the way to it is cut.
var ErrRefused = errors.New("connection refused")

// Network connects processes by address. The address of the dialling process is given by From.
type Network struct {
	delay time.Duration

	mu        sync.Mutex // guards the fields below
	listeners map[string]*Listener
	links     []*established
	cut       map[pair]bool
	dead      map[string]bool
}

type pair struct{ from, to string }

// established is a connection between two processes.
type established struct {
	pair pair
	mux  *Mux
}

// NewNetwork returns a network with a one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, listeners: make(map[string]*Listener), cut: make(map[pair]bool), dead: make(map[string]bool)}
}

// Listener accepts connections at an address.
type Listener struct {
	network *Network
	address string
	accept  chan *Mux
	done    chan struct{}
	once    sync.Once
}

// Listen opens an address.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{network: n, address: address, accept: make(chan *Mux, muxBacklog), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	delete(n.dead, address)
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

// Dial connects a process to an address.
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
	if l == nil || n.dead[from] || n.cut[pair{from, to}] || n.cut[pair{to, from}] {
		return nil, ErrRefused
	}
	near, far := NewMuxPair(from, to, n.delay)
	select {
	case l.accept <- far:
	default:
		return nil, ErrRefused
	}
	n.links = append(n.links, &established{pair: pair{from, to}, mux: near})
	return near, nil
}

// between calls visit for the connections between two processes, in either direction.
func (n *Network) between(a, b string, visit func(*Mux)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		if (link.pair == pair{a, b}) || (link.pair == pair{b, a}) {
			visit(link.mux)
		}
	}
}

// Reset closes all present connections between two processes; new ones can be made.
func (n *Network) Reset(a, b string) {
	n.between(a, b, func(m *Mux) { _ = m.Close() })
}

// Silence makes all present connections between two processes deliver nothing any more; new ones work.
func (n *Network) Silence(a, b string) {
	n.between(a, b, func(m *Mux) { m.SetSilent(true) })
}

// Silenced is a set of connections that deliver nothing until Resume.
type Silenced []*Mux

// SilenceForNow makes all present connections of a process silent; what is sent meanwhile is delivered late.
func (n *Network) SilenceForNow(address string) Silenced {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list Silenced
	for _, link := range n.links {
		if link.pair.from == address || link.pair.to == address {
			link.mux.SetSilent(true)
			list = append(list, link.mux)
		}
	}
	return list
}

// Resume delivers what was sent meanwhile.
func (s Silenced) Resume() {
	for _, mux := range s {
		mux.SetSilent(false)
	}
}

// Cut makes present connections silent and refuses new ones until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cut[pair{a, b}] = true
	n.mu.Unlock()
	n.Silence(a, b)
}

// Heal permits new connections between two processes.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, pair{a, b})
	delete(n.cut, pair{b, a})
}

// Kill closes the listener of a process and all its connections, as the death of the process does.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	n.dead[address] = true
	l := n.listeners[address]
	var own []*Mux
	for _, link := range n.links {
		if link.pair.from == address || link.pair.to == address {
			own = append(own, link.mux)
		}
	}
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, mux := range own {
		_ = mux.Close()
	}
}
