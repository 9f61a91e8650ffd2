// Package upstreamconn sends HTTP/1.1 requests to upstreams over persistent connections. Unlike http.Transport it never
// retries a request by itself, and its errors tell whether any byte of the request was sent.
package upstreamconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

const (
	// dialTimeout limits the wait for a new connection. It normally takes one round trip, but a lost SYN packet is
	// retransmitted only after a second.
	dialTimeout = 1200 * time.Millisecond
	// maxIdlePerUpstream limits the idle connections per address. Requests beyond it open new connections.
	maxIdlePerUpstream = 64
	// defaultIdleTimeout is how long an idle connection is kept if the upstream announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the upstream announces, so that no request is sent while the
	// upstream closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes: a connection whose peer stopped responding fails within
	// about three seconds.
	keepAliveInterval = time.Second
)

// ErrNotSent marks failures before any byte of the request was sent.
var ErrNotSent = errors.New("request was not sent")

// ErrMalformed marks failures because an upstream sent bytes that are no response, as opposed to a connection that ended.
var ErrMalformed = errors.New("malformed response")

// Dialer opens connections; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds idle connections by address. Its methods may be called concurrently.
type Pool struct {
	// HeadMemory bounds the memory of all large heads of responses at a time; nil for no bound. It is set before the first request.
	HeadMemory *membudget.Budget

	dialer Dialer

	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// New returns an empty pool. With a nil dialer it uses TCP with frequent keep-alive probes.
func New(dialer Dialer) *Pool {
	if dialer == nil {
		dialer = &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
		}}
	}
	return &Pool{dialer: dialer, idle: make(map[string][]*conn)}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseExpired closes connections that have been idle for longer than their upstream keeps them open.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.expires) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// get returns an idle connection that is still usable, or a new one. With onlyNew it always returns a new one.
func (p *Pool) get(ctx context.Context, address string, onlyNew bool) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	for !onlyNew {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.idleAndOpen() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(errors.Join(ErrNotSent, err), "dial")
	}
	return newConn(raw, address, p.HeadMemory), nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return last
}

// put adds a connection to the idle ones, or closes it if there are too many.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}
