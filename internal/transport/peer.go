package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	dialTimeout    = time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// quickRedialTime is how long a lost connection is dialled with quickRedialDelay at most, because processes that stopped together
	// are back after one to three seconds at slightly different times.
	quickRedialTime  = 5 * time.Second
	quickRedialDelay = 200 * time.Millisecond
	redialGrowth     = 2
	acceptRetryDelay = 50 * time.Millisecond
)

// Message is any protobuf message.
type Message = proto.Message

// Connector opens multiplexed connections to other processes.
type Connector interface {
	Connect(ctx context.Context, address string) (Mux, error)
}

// Dialer opens connections that are not multiplexed. *net.Dialer and *tls.Dialer implement it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is a Connector that runs yamux over the TCP or TLS connections of a Dialer.
type TCP struct{ Dialer Dialer }

// Connect implements Connector.
func (t TCP) Connect(ctx context.Context, address string) (Mux, error) {
	conn, err := t.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	mux, err := newConnMux(yamux.Client, &frameConn{Conn: conn})
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "start yamux client")
	}
	return mux, nil
}

// Peer maintains a session with the process at an address and dials again whenever the session ends.
type Peer struct {
	address   string
	connector Connector
	opts      *Options
	cancel    context.CancelFunc
	done      chan struct{}

	mu             sync.Mutex // guards the fields below
	session        *Session
	sessionChanged chan struct{} // closed and replaced when session changes
}

// NewPeer starts connecting to address in the background. Close stops it.
func NewPeer(address string, connector Connector, opts *Options) *Peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peer{
		address:        address,
		connector:      connector,
		opts:           opts,
		cancel:         cancel,
		done:           make(chan struct{}),
		sessionChanged: make(chan struct{}),
	}
	go p.run(ctx)
	return p
}

// Address returns the address that the peer connects to.
func (p *Peer) Address() string { return p.address }

// Session returns the current session, or nil if there is none.
func (p *Peer) Session() *Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}

// Wait returns the current session. If there is none, it waits for one until ctx ends.
func (p *Peer) Wait(ctx context.Context) (*Session, error) {
	for {
		p.mu.Lock()
		session, changed := p.session, p.sessionChanged
		p.mu.Unlock()
		if session != nil {
			return session, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "wait for session with %s", p.address)
		case <-changed:
		}
	}
}

// Close ends the session and stops dialling.
func (p *Peer) Close() {
	p.cancel()
	<-p.done
}

func (p *Peer) setSession(session *Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session = session
	close(p.sessionChanged)
	p.sessionChanged = make(chan struct{})
}

func (p *Peer) run(ctx context.Context) {
	defer close(p.done)
	delay, lostAt := minRedialDelay, time.Now()
	for ctx.Err() == nil {
		session, err := p.dial(ctx)
		if err != nil {
			p.opts.Logger.Debug("dial failed", zap.String("address", p.address), zap.Error(err))
			wait.For(ctx, jitter(delay))
			delay = min(delay*redialGrowth, maxRedialDelay)
			if time.Since(lostAt) < quickRedialTime {
				delay = min(delay, quickRedialDelay)
			}
			continue
		}
		delay = minRedialDelay
		p.setSession(session)
		select {
		case <-ctx.Done():
			session.Close()
		case <-session.Done():
		}
		p.setSession(nil)
		lostAt = time.Now()
	}
}

func (p *Peer) dial(ctx context.Context) (*Session, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	mux, err := p.connector.Connect(dialCtx, p.address)
	if err != nil {
		return nil, err
	}
	timer := time.AfterFunc(HandshakeTimeout, func() { _ = mux.Close() })
	defer timer.Stop()
	return ClientMux(mux, p.opts)
}

// jitter returns a random duration between 0.5 d and 1.5 d. It spreads the redials of many processes after a common
// failure.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// Serve accepts connections until the listener is closed. Handshakes run concurrently.
func Serve(listener net.Listener, opts *Options) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			opts.Logger.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		go func() {
			if _, err := Server(conn, opts); err != nil {
				opts.Logger.Debug("handshake failed", zap.Error(err))
				_ = conn.Close()
			} else if limited, ok := conn.(interface{ Established() }); ok {
				limited.Established()
			}
		}()
	}
}
