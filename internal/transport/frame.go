package transport

import (
	"encoding/binary"
	"net"
)

const (
	// Layout of a yamux frame header: version, type, flags (2), stream (4), length (4).
	frameHeaderBytes = 12
	frameTypeOffset  = 1
	frameSizeOffset  = 8
	frameTypeData    = 0

	// maxJoinedBytes is the longest body that is copied behind its header; for longer ones a second segment matters less.
	maxJoinedBytes = 16 << 10
)

// frameConn joins the header of a yamux data frame with its body. yamux writes them one after the other, which costs two
// system calls and, without delay, two segments for each message. Writes come from one goroutine of yamux only.
type frameConn struct {
	net.Conn
	buf []byte // header that waits for its body
}

// Write implements net.Conn.
func (c *frameConn) Write(b []byte) (int, error) {
	if len(c.buf) == 0 {
		if isDataHeader(b) {
			c.buf = append(c.buf, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	header := c.buf
	c.buf = c.buf[:0]
	if len(b) > maxJoinedBytes {
		if _, err := c.Conn.Write(header); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	joined := append(header, b...)
	c.buf = joined[:0]
	n, err := c.Conn.Write(joined)
	return max(0, n-len(header)), err
}

// isDataHeader reports whether b is the header of a data frame that has a body.
func isDataHeader(b []byte) bool {
	return len(b) == frameHeaderBytes && b[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(b[frameSizeOffset:]) > 0
}
