// Package transport connects the processes of fulmardoor: yamux sessions over TCP or TLS with protobuf messages,
// heartbeats that carry nonces and load, and a heartbeat timeout that detects connections that have stopped delivering.
package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

const (
	// ProtocolVersion is checked in the first message of a session.
	ProtocolVersion = 1
	// DefaultHeartbeatInterval is the time between two heartbeats.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeoutIntervals is the default heartbeat timeout, in heartbeat intervals.
	HeartbeatTimeoutIntervals = 3
	// HandshakeTimeout limits the exchange of the Hello messages.
	HandshakeTimeout = 3 * time.Second
)

// ErrSessionClosed is returned when a stream is opened on a session that has ended.
var ErrSessionClosed = errors.New("session closed")

// Handler serves the streams that the remote process opens.
type Handler interface {
	// ServeStream handles one stream, which is closed when it returns. ctx ends with the session.
	ServeStream(ctx context.Context, session *Session, open *wirev1.StreamOpen, stream *Stream)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, session *Session, open *wirev1.StreamOpen, stream *Stream)

// ServeStream implements Handler.
func (f HandlerFunc) ServeStream(ctx context.Context, session *Session, open *wirev1.StreamOpen, stream *Stream) {
	f(ctx, session, open, stream)
}

// NewHello returns the Hello of a process that listens at an address, with a new incarnation.
func NewHello(role wirev1.Role, process *configv1.ProcessSettings, address string) *wirev1.Hello {
	return &wirev1.Hello{
		Role: role, Incarnation: NewIncarnation(), Host: process.GetHost(), DataCentre: process.GetDataCentre(),
		Process: process.GetName(), Address: address, ProtocolVersion: ProtocolVersion,
	}
}

// Clock is a Lamport clock. Both methods must not block.
type Clock interface {
	Lamport() uint64
	Observe(lamport uint64)
}

// Options configure the sessions of one process.
type Options struct {
	// Hello describes this process. It is the first message of each session.
	Hello *wirev1.Hello
	// HeartbeatInterval is the time between heartbeats. Default DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which a session is closed. Default
	// HeartbeatTimeoutIntervals times HeartbeatInterval.
	HeartbeatTimeout time.Duration
	// Heartbeat returns the next heartbeat to send. Nil sends empty heartbeats.
	Heartbeat func() *wirev1.Heartbeat
	// HeartbeatTo returns the next heartbeat to send on a session. Nil uses Heartbeat.
	HeartbeatTo func(session *Session) *wirev1.Heartbeat
	// OnHeartbeat is called for each heartbeat received. It must not block.
	OnHeartbeat func(session *Session, heartbeat *wirev1.Heartbeat)
	// OnOpen and OnClose are called once per session. They must not block.
	OnOpen  func(session *Session)
	OnClose func(session *Session)
	// Clock is the Lamport clock of the process; nil if it has none.
	Clock Clock
	// Handler serves incoming streams. Nil closes them after their first message.
	Handler Handler
	// Limits bound what other processes use; nil for no limits.
	Limits *Limits
	// Traffic counts the bytes of control messages. Nil counts nothing.
	Traffic *Traffic
	// Logger is required.
	Logger *zap.Logger
}

func (o *Options) heartbeatInterval() time.Duration {
	if o.HeartbeatInterval > 0 {
		return o.HeartbeatInterval
	}
	return DefaultHeartbeatInterval
}

// Mux multiplexes streams over one connection.
type Mux interface {
	Open() (net.Conn, error)
	Accept() (net.Conn, error)
	Close() error
}

func (o *Options) heartbeatTimeout() time.Duration {
	if o.HeartbeatTimeout > 0 {
		return o.HeartbeatTimeout
	}
	return HeartbeatTimeoutIntervals * o.heartbeatInterval()
}

// Session is a connection to another process that has passed the handshake.
type Session struct {
	opts    *Options
	mux     Mux
	control *Stream
	remote  *wirev1.Hello
	dialled bool
	ctx     context.Context
	cancel  context.CancelFunc
	// readers are the goroutines that read the control stream and the streams that the other process opens.
	readers sync.WaitGroup

	mu              sync.Mutex // guards lastHeartbeat and lastHeartbeatAt
	lastHeartbeat   *wirev1.Heartbeat
	lastHeartbeatAt time.Time
	heartbeatNow    chan struct{} // requests a heartbeat before the end of the interval
}

// Client starts yamux on a dialled connection, performs the handshake and starts the session.
func Client(conn net.Conn, opts *Options) (*Session, error) {
	mux, err := newConnMux(yamux.Client, &frameConn{Conn: conn})
	if err != nil {
		return nil, errors.Wrap(err, "start yamux client")
	}
	return ClientMux(mux, opts)
}

// ClientMux performs the handshake of the dialling process and starts the session.
func ClientMux(mux Mux, opts *Options) (*Session, error) {
	return startSession(mux, opts, true, mux.Open)
}

// Server starts yamux on an accepted connection, performs the handshake and starts the session.
func Server(conn net.Conn, opts *Options) (*Session, error) {
	if opts.Limits == nil {
		return serve(&frameConn{Conn: conn}, opts)
	}
	account := opts.Limits.unread.account(conn)
	session, err := serve(&frameConn{Conn: conn, received: frameScanner{account: account}}, opts)
	if err != nil {
		account.close()
		account.release()
		return nil, err
	}
	go func() {
		session.readers.Wait()
		account.release()
	}()
	return session, nil
}

func serve(conn *frameConn, opts *Options) (*Session, error) {
	mux, err := newConnMux(yamux.Server, conn)
	if err != nil {
		return nil, errors.Wrap(err, "start yamux server")
	}
	if account := conn.received.account; account != nil {
		return ServerMux(accountedMux{mux, account}, opts)
	}
	return ServerMux(mux, opts)
}

// ServerMux performs the handshake of the accepting process and starts the session.
func ServerMux(mux Mux, opts *Options) (*Session, error) {
	timer := time.AfterFunc(HandshakeTimeout, func() { _ = mux.Close() })
	defer timer.Stop()
	return startSession(mux, opts, false, mux.Accept)
}

func startSession(mux Mux, opts *Options, dialled bool, openControl func() (net.Conn, error)) (*Session, error) {
	conn, err := openControl()
	if err != nil {
		_ = mux.Close()
		return nil, errors.Wrap(err, "open control stream")
	}
	control := newStream(conn, opts.Limits)
	remote, err := handshake(control, opts.Hello)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	control.counter = opts.Traffic.counter(trafficHeartbeat)
	s := &Session{opts: opts, mux: mux, control: control, remote: remote, dialled: dialled, heartbeatNow: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.lastHeartbeatAt = time.Now()
	if opts.OnOpen != nil {
		opts.OnOpen(s)
	}
	go s.sendHeartbeats()
	s.readers.Go(s.receiveHeartbeats)
	go s.closeOnHeartbeatTimeout()
	s.readers.Go(s.acceptStreams)
	return s, nil
}

func handshake(control *Stream, local *wirev1.Hello) (*wirev1.Hello, error) {
	if err := control.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "set handshake deadline")
	}
	if err := control.Send(local); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	remote := new(wirev1.Hello)
	if err := control.Recv(remote); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if remote.GetProtocolVersion() != local.GetProtocolVersion() {
		return nil, errors.Errorf("protocol version %d of %s, want %d",
			remote.GetProtocolVersion(), remote.GetProcess(), local.GetProtocolVersion())
	}
	if err := control.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clear handshake deadline")
	}
	return remote, nil
}

// Remote returns the Hello of the remote process.
func (s *Session) Remote() *wirev1.Hello { return s.remote }

// Dialled reports whether this process opened the connection.
func (s *Session) Dialled() bool { return s.dialled }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Heartbeat returns the latest heartbeat received and its arrival time. Before the first heartbeat, it returns nil and
// the start time of the session.
func (s *Session) Heartbeat() (*wirev1.Heartbeat, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHeartbeat, s.lastHeartbeatAt
}

// TriggerHeartbeat makes the session send a heartbeat immediately, for changes that the remote process should see before
// the next interval.
func (s *Session) TriggerHeartbeat() {
	select {
	case s.heartbeatNow <- struct{}{}:
	default:
	}
}

// Open opens a stream and sends its first message.
func (s *Session) Open(open *wirev1.StreamOpen) (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, errors.Wrap(ErrSessionClosed, err.Error())
	}
	stream := newStream(conn, s.opts.Limits)
	stream.counter = s.opts.Traffic.streamCounter(open)
	if s.opts.Clock != nil {
		open = &wirev1.StreamOpen{Kind: open.GetKind(), Lamport: s.opts.Clock.Lamport()}
	}
	if err := stream.Send(open); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Call opens a stream, reads one reply and closes the stream. It returns the error of ctx if ctx ends before the reply.
func (s *Session) Call(ctx context.Context, open *wirev1.StreamOpen, reply Message) error {
	stream, err := s.Open(open)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer func() { _ = stream.Close() }()
	if err := stream.Recv(reply); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return errors.Wrap(err, "receive reply")
	}
	return nil
}

// Close ends the session and all its streams.
func (s *Session) Close() {
	s.cancel()
	_ = s.mux.Close()
}

func (s *Session) sendHeartbeats() {
	ticker := time.NewTicker(s.opts.heartbeatInterval())
	defer ticker.Stop()
	for {
		if err := s.control.Send(s.nextHeartbeat()); err != nil {
			s.Close()
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.heartbeatNow:
		}
	}
}

func (s *Session) nextHeartbeat() *wirev1.Heartbeat {
	switch {
	case s.opts.HeartbeatTo != nil:
		return s.opts.HeartbeatTo(s)
	case s.opts.Heartbeat != nil:
		return s.opts.Heartbeat()
	}
	return &wirev1.Heartbeat{}
}

func (s *Session) receiveHeartbeats() {
	for {
		heartbeat := new(wirev1.Heartbeat)
		if err := s.control.Recv(heartbeat); err != nil {
			s.Close()
			return
		}
		s.mu.Lock()
		s.lastHeartbeat = heartbeat
		s.lastHeartbeatAt = time.Now()
		s.mu.Unlock()
		if s.opts.OnHeartbeat != nil {
			s.opts.OnHeartbeat(s, heartbeat)
		}
	}
}

// closeOnHeartbeatTimeout closes the session when no heartbeat arrives within the timeout although the connection is
// open. When the session has ended for any reason, it calls Options.OnClose and returns.
func (s *Session) closeOnHeartbeatTimeout() {
	limit := s.opts.heartbeatTimeout()
	ticker := time.NewTicker(s.opts.heartbeatInterval() / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			s.notifyClosed()
			return
		case <-ticker.C:
		}
		_, receivedAt := s.Heartbeat()
		if time.Since(receivedAt) > limit {
			s.opts.Logger.Warn("heartbeat timeout, closing session",
				zap.String("peer", s.remote.GetProcess()), zap.Duration("silence", time.Since(receivedAt)))
			s.Close()
		}
	}
}

func (s *Session) notifyClosed() {
	if s.opts.OnClose != nil {
		s.opts.OnClose(s)
	}
}

func (s *Session) acceptStreams() {
	defer s.Close()
	for {
		conn, err := s.mux.Accept()
		if err != nil {
			return
		}
		if excess := s.opts.Limits.openStream(s); excess != nil {
			s.opts.Limits.report(causeStreams)
			excess.Close()
		}
		s.readers.Go(func() {
			defer s.opts.Limits.closeStream(s)
			s.serveStream(newStream(conn, s.opts.Limits))
		})
	}
}

func (s *Session) serveStream(stream *Stream) {
	defer func() {
		_ = stream.Close()
		stream.discard()
	}()
	open := new(wirev1.StreamOpen)
	if err := s.recvFirst(stream, open); err != nil {
		return
	}
	stream.counter = s.opts.Traffic.streamCounter(open)
	stream.counter.addReceived(open)
	if s.opts.Clock != nil {
		s.opts.Clock.Observe(open.GetLamport())
	}
	if s.opts.Handler != nil {
		s.opts.Handler.ServeStream(s.ctx, s, open, stream)
	}
}

// recvFirst reads the first message of a stream that the other process opened. With limits, it must be complete within firstMessageTimeout.
func (s *Session) recvFirst(stream *Stream, open *wirev1.StreamOpen) error {
	if s.opts.Limits == nil {
		return stream.Recv(open)
	}
	if err := stream.SetDeadline(time.Now().Add(firstMessageTimeout)); err != nil {
		return err
	}
	if err := stream.Recv(open); err != nil {
		return err
	}
	return stream.SetDeadline(time.Time{})
}
