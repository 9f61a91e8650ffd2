package transport

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// Guards against a session that is closed for what another one leaves unread, and against bytes that count after their session has ended.
func TestSessionWithMostUnreadBytesIsClosed(t *testing.T) {
	unread := newUnreadBytes(1000)
	open := func() (*unreadAccount, net.Conn) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		return unread.account(near), far
	}
	large, largeConn := open()
	small, smallConn := open()
	largeEnded := make(chan error, 1)
	go func() {
		_, err := largeConn.Read(make([]byte, 1))
		large.release()
		largeEnded <- err
	}()
	for i, step := range []struct {
		account *unreadAccount
		length  int64
		want    error
	}{{large, 900, nil}, {small, 90, nil}, {small, 20, nil}, {large, 1, errUnread}, {small, 891, errUnread}} {
		if err := step.account.announce(1, step.length); err != step.want {
			t.Errorf("step %d: %v, want %v", i, err, step.want)
		}
	}
	if err := <-largeEnded; err != io.EOF {
		t.Errorf("the session with most unread bytes: %v", err)
	}
	_ = smallConn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := smallConn.Read(make([]byte, 1)); err == io.EOF {
		t.Error("the other session was closed")
	}
	small.read(1, 5000)
	small.close()
	small.close()
	small.release()
	if unread.total != 0 || unread.totalOfClosed != 0 {
		t.Errorf("%d and %d bytes count after the end of all sessions", unread.total, unread.totalOfClosed)
	}
}

// Guards against sessions that fill the memory of closed ones before these have released it, and against one that waits for that for ever or loses its own
// session.
func TestClosedSessionCountsUntilItsStreamsEnd(t *testing.T) {
	const size, less = 200_000, 5_000
	for _, inTime := range []bool{true, false} {
		handled, ended, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
		end := sync.OnceFunc(func() { close(release) })
		t.Cleanup(end)
		options := testOptions("server", HandlerFunc(func(ctx context.Context, _ *Session, _ *wirev1.StreamOpen, _ *Stream) { // reads nothing
			close(handled)
			<-ctx.Done()
			close(ended)
			<-release
		}))
		options.Limits = NewLimits(10, 2*(2*size-2*less)) // half of it is for unread bytes
		local, remote := net.Pipe()
		session, _ := yamuxSessions(t, local, remote, options)
		sendUnread(t, session, size)
		<-handled
		otherNear, _ := net.Pipe()
		t.Cleanup(func() { _ = otherNear.Close() })
		other, result := options.Limits.unread.account(otherNear), make(chan error, 1)
		go func() { result <- other.announce(1, size-less) }()
		<-ended
		want := errUnread // closed sessions have all the memory, and no other session is open
		if inTime {
			want = nil
			select {
			case err := <-result:
				t.Fatalf("bytes were taken beside those of a stream that has not ended: %v", err)
			case <-time.After(releaseTimeout / 5):
			}
			end()
		}
		select {
		case err := <-result:
			if err != want {
				t.Errorf("released in time %v: %v, want %v", inTime, err, want)
			}
		case <-time.After(4 * releaseTimeout):
			t.Errorf("released in time %v: still waiting", inTime)
		}
	}
}

// Guards against bytes of streams that end without being read and count for ever, which would end sessions that do no harm, and against sessions that
// outlive a ping.
func TestUnreadBytesOfEndedStreams(t *testing.T) {
	const streams, size = 50, 20_000
	limits := NewLimits(1000, 1<<20)
	handled := make(chan struct{}, streams)
	options := testOptions("server", HandlerFunc(
		func(context.Context, *Session, *wirev1.StreamOpen, *Stream) { handled <- struct{}{} }, // returns without reading the rest
	))
	options.Limits = limits
	local, remote := net.Pipe()
	session, _ := yamuxSessions(t, local, remote, options)
	for range streams {
		stream := sendUnread(t, session, size)
		<-handled
		_ = stream.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	left := func() (unread int64, open int) {
		limits.unread.mu.Lock()
		defer limits.unread.mu.Unlock()
		limits.mu.Lock()
		defer limits.mu.Unlock()
		return limits.unread.total, limits.open
	}
	for unread, open := left(); unread > 0 || open > 0; unread, open = left() { // heartbeats may be on their way
		if !wait.For(ctx, time.Millisecond) {
			t.Fatalf("%d bytes and %d streams count after the end of all streams", unread, open)
		}
	}
	select {
	case <-session.Done():
		t.Error("the session has ended")
	default:
	}
}

// sendUnread opens a stream and sends bytes that its handler does not read.
func sendUnread(t *testing.T, session *Session, size int) *Stream {
	t.Helper()
	stream, err := session.Open(&wirev1.StreamOpen{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.conn.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	return stream
}

// Guards against limits that end streams and sessions without a trace, and against messages that take more memory than there is.
func TestLimitsAreReported(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	limits := NewLimits(10, 0)
	limits.Report(prometheus.NewRegistry(), zap.New(core))
	near, far := net.Pipe()
	sender, receiver := newStream(near, nil), newStream(far, limits)
	go func() { _ = sender.Send(&wirev1.Hello{Process: strings.Repeat("x", 1<<20)}) }()
	if err := receiver.Recv(new(wirev1.Hello)); !errors.Is(err, membudget.ErrExhausted) {
		t.Errorf("a message without memory: %v", err)
	}
	_ = far.Close()
	near, far = net.Pipe()
	go func() { // a ping of yamux
		_, _ = far.Write([]byte{0, frameTypePing, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1})
	}()
	conn := frameConn{Conn: near}
	conn.received.account = limits.unread.account(near)
	if _, err := conn.Read(make([]byte, 100)); !errors.Is(err, errPing) {
		t.Errorf("a ping: %v", err)
	}
	causes := map[string]bool{}
	for _, line := range logs.All() {
		causes[line.ContextMap()["cause"].(string)] = true
	}
	if !causes[causeMessageMemory] || !causes[causePing] {
		t.Errorf("log lines of the causes %v", causes)
	}
}
