package upstreamconn

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

// readBufferBytes is enough for the headers of most responses. Larger headers take several reads.
const readBufferBytes = 2048

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	// received limits what reader reads from Conn while it reads a head.
	received *headLimit
	reader   *bufio.Reader
	// expires is when the connection must no longer be reused.
	expires time.Time
	// writeStarted is set once any byte of the current request may have been written to the connection.
	writeStarted bool
	// responded is set once a response was received on the connection.
	responded bool
}

func newConn(raw net.Conn, address string, memory *membudget.Budget) *conn {
	c := &conn{Conn: raw, address: address, received: &headLimit{source: raw, memory: memory}}
	c.reader = bufio.NewReaderSize(c.received, readBufferBytes)
	return c
}

// idleAndOpen reports whether an idle connection can be reused: the upstream has neither closed it nor sent bytes that
// belong to no request.
func (c *conn) idleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(descriptor), one[:])
		nothingToRead = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && nothingToRead
}

// setExpiry sets how long the connection may stay idle, from the Keep-Alive header of the last response.
func (c *conn) setExpiry(header http.Header) {
	idleTimeout := defaultIdleTimeout
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	c.expires = time.Now().Add(idleTimeout)
}
