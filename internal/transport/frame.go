package transport

import (
	"encoding/binary"
	"net"

	"github.com/go-faster/errors"
)

const (
	// Layout of a yamux frame header: version, type, flags (2), stream (4), length (4).
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameStreamOffset = 4
	frameLengthOffset = 8
	frameTypeData     = 0
	frameTypePing     = 2

	// maxCoalescedBytes is the longest body that is copied behind its header. For longer bodies, a separate segment for the
	// header matters less.
	maxCoalescedBytes = 16 << 10
)

// frameConn writes the header and the body of a yamux data frame in one call. yamux writes them separately, which costs
// two system calls and, with TCP_NODELAY, two segments for each message. It is not safe for concurrent writes; yamux
// writes from a single goroutine.
type frameConn struct {
	net.Conn
	pendingHeader []byte // header of a data frame whose body has not been written yet
	received      frameScanner
}

// errPing is returned for a frame that the processes of this system do not send: yamux starts a goroutine to answer each ping.
var errPing = errors.New("the other process sent a yamux ping")

// Read implements net.Conn. It fails at a frame that exceeds the limits.
func (c *frameConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if scanErr := c.received.scan(b[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// Close implements net.Conn.
func (c *frameConn) Close() error {
	if c.received.account != nil {
		c.received.account.close()
	}
	return c.Conn.Close()
}

// frameScanner follows the frames in what is received.
type frameScanner struct {
	header   [frameHeaderBytes]byte
	length   int   // received bytes of the header
	bodyLeft int64 // bytes of the body that were not received
	// account counts the bytes of the streams that the other process opens; nil for a session that this process opened.
	account *unreadAccount
}

// scan takes what was received before it is given to yamux. An error means that the session must end.
func (s *frameScanner) scan(p []byte) error {
	for len(p) > 0 {
		if s.bodyLeft > 0 {
			n := min(s.bodyLeft, int64(len(p)))
			s.bodyLeft -= n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.length:], p)
		s.length += n
		p = p[n:]
		if s.length < frameHeaderBytes {
			return nil
		}
		s.length = 0
		if err := s.takeHeader(); err != nil {
			return err
		}
	}
	return nil
}

func (s *frameScanner) takeHeader() error {
	switch s.header[frameTypeOffset] {
	case frameTypePing:
		if s.account != nil {
			s.account.of.report(causePing)
		}
		return errPing
	case frameTypeData:
		s.bodyLeft = int64(binary.BigEndian.Uint32(s.header[frameLengthOffset:]))
		stream := binary.BigEndian.Uint32(s.header[frameStreamOffset:])
		if opened := stream%2 == 1; opened && s.account != nil && s.bodyLeft > 0 { // by the process that dialled
			return s.account.announce(stream, s.bodyLeft)
		}
	}
	return nil
}

// Write implements net.Conn.
func (c *frameConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) == 0 {
		if isDataHeader(b) {
			c.pendingHeader = append(c.pendingHeader, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	header := c.pendingHeader
	c.pendingHeader = c.pendingHeader[:0]
	if len(b) > maxCoalescedBytes {
		if _, err := c.Conn.Write(header); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	frame := append(header, b...)
	c.pendingHeader = frame[:0]
	n, err := c.Conn.Write(frame)
	return max(0, n-len(header)), err
}

// isDataHeader reports whether b is the header of a data frame with a non-empty body.
func isDataHeader(b []byte) bool {
	return len(b) == frameHeaderBytes && b[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}
