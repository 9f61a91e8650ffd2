package ingress

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

// Options configure a Guard.
type Options struct {
	// Name is the label of the listener in metrics and log lines.
	Name string
	// Limits have no zero values; see Resolve.
	Limits  Limits
	Metrics *Metrics
	Logger  *zap.Logger
	// IdleTimeout is the time for which a connection without a request is kept.
	IdleTimeout time.Duration
	// RequestTimeout is the time within which the body of a request must be complete if its handler sets no deadline; zero for no limit.
	RequestTimeout time.Duration
	// Refuse answers a request that is beyond the limit of requests, which has not run. Nil answers without a body of its own.
	Refuse http.Handler
}

// Guard applies the limits of one listener.
type Guard struct {
	Options
	table      *table
	headMemory *membudget.Budget
	receive    receiveBuffers
	reporter   *reporter
	requests   atomic.Int64
}

// NewGuard returns the guard of one listener.
func NewGuard(options Options) *Guard {
	l := options.Limits
	if options.Refuse == nil {
		options.Refuse = http.HandlerFunc(refuse)
	}
	return &Guard{
		Options: options, table: newTable(l.MaxConnections, l.MaxPerAddress), headMemory: membudget.New(l.HeadMemory),
		receive:  newReceiveBuffers(l),
		reporter: newReporter(options.Name, options.Metrics, options.Logger),
	}
}

// Server is an http.Server with the guarded listener that it serves.
type Server struct {
	*http.Server
	Listener net.Listener
}

// Run serves until the server is closed.
func (s *Server) Run() error { return s.Serve(s.Listener) }

// Server returns a server of handler. The listener may be one of TLS.
func (g *Guard) Server(inner net.Listener, handler http.Handler) *Server {
	return &Server{
		Listener: &listener{Listener: inner, guard: g},
		Server: &http.Server{
			Handler: g.handler(handler), ReadHeaderTimeout: g.Limits.HeadTimeout, IdleTimeout: g.IdleTimeout, MaxHeaderBytes: g.Limits.MaxHeadBytes,
			ErrorLog: log.New(g.reporter, "", 0), ConnState: connState,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		},
	}
}

// Sessions returns a listener for connections that carry no HTTP. Until Established is called on a connection, what it sends counts as its head.
func (g *Guard) Sessions(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g, sessions: true}
}

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// handler tells the connection of each request that the head is complete, and refuses requests beyond the limit.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.beginRequest(r.ContentLength)
			defer g.requests.Add(-1)
			if g.requests.Add(1) > int64(g.Limits.MaxRequests) {
				g.reporter.report(CauseRequests, c.RemoteAddr())
				g.Refuse.ServeHTTP(w, r)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// refuse answers a request that is beyond the limit of requests. It closes the connection, because reading and refusing the requests that are pipelined on
// it allocates faster than the garbage collector frees.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "too many requests are served at the same time", http.StatusServiceUnavailable)
}

// connState tells a connection that a request has ended.
func connState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}

// SetDeadline limits the time until the body of the request with this context is complete, and the time until its answer is taken. Without a
// guarded connection it does nothing.
func SetDeadline(ctx context.Context, deadline time.Time) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.setRequestDeadlines(deadline, deadline)
	}
}

// listener accepts the connections that have a place.
type listener struct {
	net.Listener
	guard    *Guard
	sessions bool
}

// Accept implements net.Listener. It closes connections for which there is no place, so that it never stops to accept.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(inner, l.sessions); c != nil {
			return c, nil
		}
	}
}

// admit returns the guarded connection, or nil after it closed the inner one because there is no place.
func (g *Guard) admit(inner net.Conn, session bool) *conn {
	c := newConn(g, inner, session)
	yields, cause := g.table.add(&c.place)
	if cause != "" {
		g.reporter.report(cause, inner.RemoteAddr())
		closeSocket(inner)
		return nil
	}
	g.reporter.open.Inc()
	if yields != nil {
		g.reporter.report(CauseConnections, yields.conn.RemoteAddr())
		closeSocket(yields.conn.Conn)
	}
	if session {
		c.startHead()
	}
	return c
}

// sourceAddress returns the IP address of the other end; the zero address for connections that have none.
func sourceAddress(c net.Conn) netip.Addr {
	if address, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// closeSocket closes a connection without a TLS alert, which could block. Errors are of no use: the connection is dropped.
func closeSocket(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	_ = c.Close()
}

// Handshakes returns a listener for use below a TLS listener. Once the connections of the TLS listener are guarded, what they send in a
// handshake counts as their head.
func Handshakes(plain net.Listener) net.Listener { return handshakeListener{plain} }

type handshakeListener struct{ net.Listener }

// Accept implements net.Listener.
func (l handshakeListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &handshakeConn{Conn: inner}, nil
}
