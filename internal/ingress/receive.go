package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

const (
	// minReceiveBuffer is the smallest receive buffer of a connection; Linux makes smaller ones larger.
	minReceiveBuffer = 4608
	// uploadReceiveBuffer is the receive buffer of a connection whose handler reads a large body, and of a peer. It lets a client
	// 6 ms away send 10 MB/s.
	uploadReceiveBuffer = 64 << 10
	// uploadReceiveShare is the part of the receive memory for the larger buffers.
	uploadReceiveShare = 3
	// kernelBufferFactor is the factor by which Linux enlarges the size in SO_RCVBUF, for its own overhead. With large segments, nearly all of it
	// can be filled.
	kernelBufferFactor = 2
)

// leastReceiveMemory returns the memory that the smallest receive buffers of a number of connections need.
func leastReceiveMemory(connections int) int64 {
	return int64(connections) * minReceiveBuffer * uploadReceiveShare / (uploadReceiveShare - 1)
}

// receiveBuffers divides the receive memory of a listener among its connections. Each has a small buffer; a part of the memory is for larger ones, so
// that uploads are not slow while few clients send them.
type receiveBuffers struct {
	// small is the size of the buffer of a connection in bytes.
	small int
	// uploads is the memory for the larger buffers.
	uploads *membudget.Budget
}

func newReceiveBuffers(l Limits) receiveBuffers {
	uploads := l.ReceiveMemory / uploadReceiveShare
	small := int64(uploadReceiveBuffer)
	if l.MaxConnections > 0 {
		small = min(small, (l.ReceiveMemory-uploads)/int64(l.MaxConnections))
	}
	return receiveBuffers{small: max(minReceiveBuffer, int(small)), uploads: membudget.New(uploads)}
}

// Listen opens a TCP listener whose connections have small receive buffers. The kernel tells the client of them in the handshake, so that setting
// them on accepted connections would come too late.
func (g *Guard) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.receive.small/kernelBufferFactor)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// receiveBuffer is that of one connection. Its methods may be called concurrently.
type receiveBuffer struct {
	buffers receiveBuffers
	// socket is nil for a connection whose buffer cannot be changed.
	socket *net.TCPConn

	mu sync.Mutex // guards the fields below
	// large is set while the buffer has uploadReceiveBuffer. charged is what the connection has taken of the memory.
	large, closed bool
	charged       int64
	// open is what the client may still send because it was told of the large buffer: a receive window is never taken back.
	open int64
}

// enlarge gives the connection a large buffer, if there is memory for it, and reports whether there was too little.
func (b *receiveBuffer) enlarge() (exhausted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.large || b.closed || b.socket == nil {
		return false
	}
	if b.charged == 0 {
		if !b.buffers.uploads.Take(uploadReceiveBuffer) {
			return true
		}
		b.charged = uploadReceiveBuffer
	}
	b.large = b.socket.SetReadBuffer(uploadReceiveBuffer/kernelBufferFactor) == nil
	return false
}

// shrink gives the connection a small buffer again.
func (b *receiveBuffer) shrink() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.large && b.socket.SetReadBuffer(b.buffers.small/kernelBufferFactor) == nil {
		b.large, b.open = false, uploadReceiveBuffer
	}
}

// received is called with the number of bytes that were read. The memory of a large buffer is returned once the client has used the
// window that it had been told.
func (b *receiveBuffer) received(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.large || b.charged == 0 {
		return
	}
	if b.open -= int64(n); b.open <= 0 {
		b.releaseLocked()
	}
}

// close returns the memory when the connection is closed.
func (b *receiveBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.releaseLocked()
}

func (b *receiveBuffer) releaseLocked() {
	b.buffers.uploads.Return(b.charged)
	b.charged = 0
}

// tcpConn returns the TCP connection below TLS and the wrappers of this package; nil for a connection of another kind.
func tcpConn(c net.Conn) *net.TCPConn {
	switch c := c.(type) {
	case *net.TCPConn:
		return c
	case *tls.Conn:
		return tcpConn(c.NetConn())
	case *handshakeConn:
		return tcpConn(c.Conn)
	}
	return nil
}
