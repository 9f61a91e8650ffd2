// Package resettest is an upstream for tests that responds while it receives the body of a request, and then resets the connection.
package resettest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/sendqueue"
)

const (
	// BodyBytes is the size of a request body that does not fit into the buffers of a connection, so that most of it is still to be written
	// when the upstream responds.
	BodyBytes = 8 << 20
	// receiveBufferBytes limits what a connection of the upstream holds without being read.
	receiveBufferBytes = 64 << 10
	// resetDelay is the time between a response and the reset, in which the client reads the response.
	resetDelay = 20 * time.Millisecond
	// receiveTimeout limits the wait until the client received a response.
	receiveTimeout = 5 * time.Second
)

// Framings are the ways in which the end of a response is marked.
var Framings = []string{"close", "chunked", "length"}

// Moments are the parts of the upload after which the upstream responds.
var Moments = map[string]int64{"before the body": 0, "in the middle": BodyBytes / 2, "after the body": BodyBytes}

// Response is a response during an upload.
type Response struct {
	// Head is the status line and the header lines, without those of the framing and without the empty line at the end.
	Head string
	// Framing is one of Framings.
	Framing string
	// Part is the part of the body that is sent. It is the whole body if Whole is set.
	Part  string
	Whole bool
	// Read is the size of the request body that is read before.
	Read int64
}

// Send reads a part of the request, sends the response and resets the connection.
func (r Response) Send(conn net.Conn, in *http.Request) {
	_, _ = io.CopyN(io.Discard, in.Body, r.Read)
	text := r.Head
	switch r.Framing {
	case "chunked":
		text += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(r.Part), r.Part)
		if r.Whole {
			text += "0\r\n\r\n"
		}
	case "length":
		length := len(r.Part)
		if !r.Whole {
			length++
		}
		text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, r.Part)
	default:
		text += "\r\n" + r.Part
	}
	_, _ = io.WriteString(conn, text)
	_ = sendqueue.WaitReceived(conn, receiveTimeout, nil) // a reset discards what the client did not receive
	Reset(conn)
}

// Reset resets a connection after the client had time to read what was sent.
func Reset(conn net.Conn) {
	time.Sleep(resetDelay)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Upstream is a started upstream.
type Upstream struct {
	Address string
	// Requests is the number of requests, and Connections that of connections with a request.
	Requests, Connections atomic.Int64
}

// Start starts an upstream that calls respond when it has the head of a request. number counts the requests of a connection from 1. The
// connection is used again if respond has read the body and left it open.
func Start(t testing.TB, respond func(conn net.Conn, in *http.Request, number int)) *Upstream {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &Upstream{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, respond)
		}
	}()
	return u
}

func (u *Upstream) serve(conn net.Conn, respond func(conn net.Conn, in *http.Request, number int)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 2048)
	for number := 1; ; number++ {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.Requests.Add(1)
		if number == 1 {
			u.Connections.Add(1)
		}
		respond(conn, in, number)
	}
}
