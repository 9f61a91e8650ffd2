package transport

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
)

// errUnread ends a session that has more unread bytes than all others when there are too many.
var errUnread = errors.New("too many bytes of the other process are not read")

// releaseTimeout is how long a session waits for the memory of closed ones. It is less than the heartbeat timeout.
const releaseTimeout = 500 * time.Millisecond

// unreadBytes bounds what yamux keeps for streams until it is read, over all accepted sessions: it grants 256 KiB to each stream, and allocates what the
// header of a frame announces. A closed session counts until its streams have ended, because its buffers stay in memory until then.
type unreadBytes struct {
	most int64
	// report is called with the cause for which a session is closed.
	report func(cause string)

	mu    sync.Mutex // guards the fields below and those of the accounts
	total int64
	// totalOfClosed is the part of total that closed sessions have.
	totalOfClosed int64
	open          map[*unreadAccount]struct{}
	// changed is signalled when total falls or a session is closed.
	changed *sync.Cond
}

// unreadAccount has the unread bytes of the streams that the other process of a session opened.
type unreadAccount struct {
	of      *unreadBytes
	conn    net.Conn
	closed  bool
	streams map[uint32]unreadStream
	total   int64
}

// unreadStream has the unread bytes of a stream, and the most that there were since its buffer was released.
type unreadStream struct{ bytes, most int64 }

// keptBufferBytes is the largest buffer that yamux may keep for an open stream of which all is read.
const keptBufferBytes = 16 << 10

func newUnreadBytes(most int64) *unreadBytes {
	u := &unreadBytes{most: most, report: func(string) {}, open: make(map[*unreadAccount]struct{})}
	u.changed = sync.NewCond(&u.mu)
	return u
}

// account returns the account of an accepted session. When the session has ended, close and then release must be called.
func (u *unreadBytes) account(conn net.Conn) *unreadAccount {
	a := &unreadAccount{of: u, conn: conn, streams: make(map[uint32]unreadStream)}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open[a] = struct{}{}
	return a
}

// announce counts a frame whose header has arrived, before yamux allocates its memory. While open sessions have too many unread bytes, it closes the one
// that has most. It then waits for the memory of closed sessions. An error means that the session of the account was closed.
func (a *unreadAccount) announce(stream uint32, length int64) error {
	u := a.of
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.closed {
		return errUnread
	}
	unread := a.streams[stream]
	unread.bytes += length
	unread.most = max(unread.most, unread.bytes)
	a.streams[stream] = unread
	a.total += length
	u.total += length
	for u.total-u.totalOfClosed > u.most {
		u.closeLargest(a)
	}
	if !a.closed && u.total > u.most {
		u.awaitRelease(a)
	}
	if a.closed {
		return errUnread
	}
	return nil
}

// awaitRelease waits until closed sessions have released what exceeds the limit, or the session of the account is closed. If they do not release it in
// time, it closes one more session. mu must be held; it is not held during the wait.
func (u *unreadBytes) awaitRelease(a *unreadAccount) {
	late := false
	timer := time.AfterFunc(releaseTimeout, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		late = true
		u.changed.Broadcast()
	})
	defer timer.Stop()
	for !a.closed && u.total > u.most && !late {
		u.changed.Wait()
	}
	if !a.closed && u.total > u.most {
		u.closeLargest(a)
	}
}

// closeLargest closes the open session that has most unread bytes; that of the caller's account ends by an error. mu must be held.
func (u *unreadBytes) closeLargest(caller *unreadAccount) {
	var largest *unreadAccount
	for a := range u.open {
		if largest == nil || a.total > largest.total {
			largest = a
		}
	}
	if largest == nil {
		return
	}
	u.report(causeUnreadBytes)
	largest.closeLocked()
	if largest != caller {
		go func() { _ = largest.conn.Close() }() // with TLS, it may block
	}
}

// read counts bytes of a stream that were read. It reports whether the buffer of the stream is empty and large.
func (a *unreadAccount) read(stream uint32, n int64) (release bool) {
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	unread := a.streams[stream]
	n = min(n, unread.bytes)
	unread.bytes -= n
	a.subtract(n)
	if unread.bytes > 0 {
		a.streams[stream] = unread
		return false
	}
	delete(a.streams, stream)
	return unread.most > keptBufferBytes
}

// forget is called when a stream has ended and what was not read of it is lost.
func (a *unreadAccount) forget(stream uint32) {
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	a.subtract(a.streams[stream].bytes)
	delete(a.streams, stream)
}

// subtract must be called with mu held.
func (a *unreadAccount) subtract(n int64) {
	u := a.of
	a.total -= n
	u.total -= n
	if a.closed {
		u.totalOfClosed -= n
	}
	u.changed.Broadcast()
}

// close is called when the session ends. It may be called more than once.
func (a *unreadAccount) close() {
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	a.closeLocked()
}

func (a *unreadAccount) closeLocked() {
	if a.closed {
		return
	}
	a.closed = true
	delete(a.of.open, a)
	a.of.totalOfClosed += a.total
	a.of.changed.Broadcast()
}

// release is called when nothing uses the streams of a closed session any more.
func (a *unreadAccount) release() {
	a.of.mu.Lock()
	defer a.of.mu.Unlock()
	a.subtract(a.total)
	clear(a.streams)
}

// accountedMux is an accepted session whose streams count what is read of them.
type accountedMux struct {
	connMux
	account *unreadAccount
}

// Accept implements Mux.
func (m accountedMux) Accept() (net.Conn, error) {
	stream, err := m.AcceptStream()
	if err != nil {
		return nil, err
	}
	return &accountedStream{muxStream: m.wrap(stream), account: m.account}, nil
}

type accountedStream struct {
	*muxStream
	account *unreadAccount
}

// Read implements net.Conn.
func (s *accountedStream) Read(p []byte) (int, error) {
	n, err := s.muxStream.Read(p)
	if n > 0 && s.account.read(s.StreamID(), int64(n)) {
		s.Shrink()
	}
	if err != nil && !errors.Is(err, yamux.ErrTimeout) {
		s.account.forget(s.StreamID())
	}
	return n, err
}
