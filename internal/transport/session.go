// Package transport connects the processes of fulmardoor: yamux sessions over TCP or TLS with protobuf messages,
// heartbeats that carry nonces and load, and detection of connections that have gone silent.
package transport

import (
	"context"
	"io"
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
	// SilentIntervals is the number of heartbeat intervals without a heartbeat after which a session is closed.
	SilentIntervals = 3
	// HandshakeTimeout limits the exchange of the first messages.
	HandshakeTimeout = 3 * time.Second

	acceptBacklog = 1024
)

// ErrSessionClosed is returned for streams of a session that has ended.
var ErrSessionClosed = errors.New("session closed")

// Handler serves the streams that the other side opens.
type Handler interface {
	// ServeStream handles one stream and may return at any time; the stream is closed afterwards. ctx ends with the session.
	ServeStream(ctx context.Context, session *Session, open *wirev1.StreamOpen, stream *Stream)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, session *Session, open *wirev1.StreamOpen, stream *Stream)

// ServeStream implements Handler.
func (f HandlerFunc) ServeStream(ctx context.Context, session *Session, open *wirev1.StreamOpen, stream *Stream) {
	f(ctx, session, open, stream)
}

// NewHello returns the first message of a new incarnation of a process that listens at an address.
func NewHello(role wirev1.Role, process *configv1.ProcessSettings, address string) *wirev1.Hello {
	return &wirev1.Hello{
		Role: role, Incarnation: NewIncarnation(), Host: process.GetHost(), DataCentre: process.GetDataCentre(),
		Process: process.GetName(), Address: address, ProtocolVersion: ProtocolVersion,
	}
}

// Clock is a Lamport clock. Both methods must not block.
type Clock interface {
	Now() uint64
	Observe(lamport uint64)
}

// Options configure the sessions of one process.
type Options struct {
	// Hello describes this process.
	Hello *wirev1.Hello
	// HeartbeatInterval is the time between heartbeats. Default DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// SilenceLimit is the time without a heartbeat after which a session is closed. Default SilentIntervals intervals.
	SilenceLimit time.Duration
	// Heartbeat returns the next heartbeat to send. Nil sends empty heartbeats.
	Heartbeat func() *wirev1.Heartbeat
	// OnHeartbeat is called for each heartbeat received. It must not block.
	OnHeartbeat func(session *Session, heartbeat *wirev1.Heartbeat)
	// OnOpen and OnClose are called once per session. They must not block.
	OnOpen  func(session *Session)
	OnClose func(session *Session)
	// Clock is the Lamport clock of the process; nil for none.
	Clock Clock
	// Handler serves incoming streams. Nil closes them.
	Handler Handler
	// Traffic counts control messages; nil counts nothing.
	Traffic *Traffic
	// Logger is required.
	Logger *zap.Logger
}

func (o *Options) interval() time.Duration {
	if o.HeartbeatInterval > 0 {
		return o.HeartbeatInterval
	}
	return DefaultHeartbeatInterval
}

// Mux carries streams over one connection. *yamux.Session implements it.
type Mux interface {
	Open() (net.Conn, error)
	Accept() (net.Conn, error)
	Close() error
}

func (o *Options) silenceLimit() time.Duration {
	if o.SilenceLimit > 0 {
		return o.SilenceLimit
	}
	return SilentIntervals * o.interval()
}

// Session is one connection to another process.
type Session struct {
	opts    *Options
	mux     Mux
	control *Stream
	remote  *wirev1.Hello
	ctx     context.Context
	cancel  context.CancelFunc

	mu          sync.Mutex // guards the fields below
	heartbeat   *wirev1.Heartbeat
	heartbeatAt time.Time
	beatNow     chan struct{}
}

// Client performs the handshake on a dialled connection and starts the session.
func Client(conn net.Conn, opts *Options) (*Session, error) {
	mux, err := yamux.Client(&frameConn{Conn: conn}, muxConfig())
	if err != nil {
		return nil, errors.Wrap(err, "start yamux client")
	}
	return ClientMux(mux, opts)
}

// ClientMux performs the handshake of the dialling side and starts the session.
func ClientMux(mux Mux, opts *Options) (*Session, error) {
	return start(mux, opts, mux.Open)
}

// Server performs the handshake on an accepted connection and starts the session.
func Server(conn net.Conn, opts *Options) (*Session, error) {
	mux, err := yamux.Server(&frameConn{Conn: conn}, muxConfig())
	if err != nil {
		return nil, errors.Wrap(err, "start yamux server")
	}
	return ServerMux(mux, opts)
}

// ServerMux performs the handshake of the accepting side and starts the session.
func ServerMux(mux Mux, opts *Options) (*Session, error) {
	timer := time.AfterFunc(HandshakeTimeout, func() { _ = mux.Close() })
	defer timer.Stop()
	return start(mux, opts, mux.Accept)
}

func muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // heartbeats on the control stream replace it
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

func start(mux Mux, opts *Options, openControl func() (net.Conn, error)) (*Session, error) {
	conn, err := openControl()
	if err != nil {
		_ = mux.Close()
		return nil, errors.Wrap(err, "open control stream")
	}
	control := newStream(conn)
	remote, err := handshake(control, opts.Hello)
	if err != nil {
		_ = mux.Close()
		return nil, err
	}
	control.count = opts.Traffic.kind(trafficHeartbeat)
	s := &Session{opts: opts, mux: mux, control: control, remote: remote, beatNow: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.heartbeatAt = time.Now()
	if opts.OnOpen != nil {
		opts.OnOpen(s)
	}
	go s.sendHeartbeats()
	go s.receiveHeartbeats()
	go s.watchSilence()
	go s.acceptStreams()
	return s, nil
}

func handshake(control *Stream, own *wirev1.Hello) (*wirev1.Hello, error) {
	if err := control.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return nil, errors.Wrap(err, "set handshake deadline")
	}
	if err := control.Send(own); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	remote := new(wirev1.Hello)
	if err := control.Recv(remote); err != nil {
		return nil, errors.Wrap(err, "receive hello")
	}
	if remote.GetProtocolVersion() != own.GetProtocolVersion() {
		return nil, errors.Errorf("protocol version %d of %s, want %d",
			remote.GetProtocolVersion(), remote.GetProcess(), own.GetProtocolVersion())
	}
	if err := control.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clear handshake deadline")
	}
	return remote, nil
}

// Remote returns the first message of the other side.
func (s *Session) Remote() *wirev1.Hello { return s.remote }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Heartbeat returns the newest heartbeat of the other side and when it arrived; nil before the first.
func (s *Session) Heartbeat() (*wirev1.Heartbeat, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeat, s.heartbeatAt
}

// BeatNow sends a heartbeat without waiting for the interval, for news that others wait for.
func (s *Session) BeatNow() {
	select {
	case s.beatNow <- struct{}{}:
	default:
	}
}

// Open starts a stream with its first message.
func (s *Session) Open(open *wirev1.StreamOpen) (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, errors.Wrap(ErrSessionClosed, err.Error())
	}
	stream := newStream(conn)
	stream.count = s.opts.Traffic.stream(open)
	if s.opts.Clock != nil {
		open = &wirev1.StreamOpen{Kind: open.GetKind(), Lamport: s.opts.Clock.Now()}
	}
	if err := stream.Send(open); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Call opens a stream, reads one reply and closes the stream. The call ends with ctx.
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
	ticker := time.NewTicker(s.opts.interval())
	defer ticker.Stop()
	for {
		beat := &wirev1.Heartbeat{}
		if s.opts.Heartbeat != nil {
			beat = s.opts.Heartbeat()
		}
		if err := s.control.Send(beat); err != nil {
			s.Close()
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.beatNow:
		}
	}
}

func (s *Session) receiveHeartbeats() {
	for {
		beat := new(wirev1.Heartbeat)
		if err := s.control.Recv(beat); err != nil {
			s.Close()
			return
		}
		s.mu.Lock()
		s.heartbeat = beat
		s.heartbeatAt = time.Now()
		s.mu.Unlock()
		if s.opts.OnHeartbeat != nil {
			s.opts.OnHeartbeat(s, beat)
		}
	}
}

// watchSilence closes the session when no heartbeat arrives although the connection is open.
func (s *Session) watchSilence() {
	limit := s.opts.silenceLimit()
	ticker := time.NewTicker(s.opts.interval() / 2)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			s.finish()
			return
		case <-ticker.C:
		}
		_, at := s.Heartbeat()
		if time.Since(at) > limit {
			s.opts.Logger.Warn("session silent, closing",
				zap.String("peer", s.remote.GetProcess()), zap.Duration("silence", time.Since(at)))
			s.Close()
		}
	}
}

func (s *Session) finish() {
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
		go s.serve(newStream(conn))
	}
}

func (s *Session) serve(stream *Stream) {
	defer func() { _ = stream.Close() }()
	open := new(wirev1.StreamOpen)
	if err := stream.Recv(open); err != nil {
		return
	}
	stream.count = s.opts.Traffic.stream(open)
	stream.count.addReceived(open)
	if s.opts.Clock != nil {
		s.opts.Clock.Observe(open.GetLamport())
	}
	if s.opts.Handler != nil {
		s.opts.Handler.ServeStream(s.ctx, s, open, stream)
	}
}
