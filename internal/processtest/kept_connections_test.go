package processtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// keptConnection sends bookings on one connection, each after the answer to the one before, until an answer announces the close of
// the connection.
type keptConnection struct {
	// answered is the number of whole answers.
	answered atomic.Int32
	// err is the error of a booking that was sent and got no whole answer.
	err error
}

func (k *keptConnection) run(t *testing.T, address, key string, number int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		_, err := fmt.Fprintf(conn, "POST /bookings HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Booking-Id: c%d-%d\r\nContent-Length: 2\r\n\r\n{}",
			address, key, number, i)
		if err != nil {
			return // the connection was closed before the booking was sent
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			k.err = err
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			k.err = err
			return
		}
		k.answered.Add(1)
		if response.Close {
			return
		}
	}
}

// Guards against bookings that a planned stop drops without an answer because a kept connection is closed without an announcement:
// its caller has already sent the next booking and cannot know whether that ran.
func TestEntryStopLosesNoRequestOnKeptConnections(t *testing.T) {
	t.Parallel()
	// The callers begin at different times, so that some bookings are on the way to the process at any time.
	const callers, delay, stagger = 16, 200 * time.Millisecond, 25 * time.Millisecond
	d := deploy(t, deploymentSpec{entries: 2, services: 1, latency: time.Millisecond})
	network := startRelay(t, d.entries[0].callerAddress)
	network.setDelay(delay)
	connections := make([]keptConnection, callers)
	var running sync.WaitGroup
	for i := range connections {
		running.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			connections[i].run(t, network.address, d.keys[0], i)
		})
	}
	eventually(t, "bookings on each connection", func() string {
		for i := range connections {
			if n := connections[i].answered.Load(); n < 3 {
				return fmt.Sprintf("connection %d: %d", i, n)
			}
		}
		return ""
	})
	d.entries[0].signal(syscall.SIGTERM)
	status := d.entries[0].waitExit()
	running.Wait()
	lost := 0
	for i := range connections {
		if err := connections[i].err; err != nil {
			lost++
			t.Logf("connection %d: no answer to a booking after %d answers: %v", i, connections[i].answered.Load(), err)
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d connections were closed with a booking on the way; exit status %d", lost, callers, status)
	}
}
