package ingress

import (
	"net"
	"sync"
	"testing"
	"time"
)

// recordingConn keeps the last deadline that was set.
type recordingConn struct {
	net.Conn
	mu      sync.Mutex
	read    time.Time
	setting func() // called before a deadline is kept
}

func (c *recordingConn) SetReadDeadline(t time.Time) error {
	if change := c.setting; change != nil {
		c.setting = nil
		change()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = t
	return nil
}

// Guards against a deadline of the server that removes that of the limits, or the other way round.
func TestEarlierDeadlineHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	inner := &recordingConn{}
	c := &conn{Conn: inner}
	for i, step := range []struct {
		set  func()
		want time.Time
	}{
		{func() { c.setOwnRead(now.Add(2)) }, now.Add(2)},
		{func() { _ = c.SetReadDeadline(now.Add(3)) }, now.Add(2)},
		{func() { _ = c.SetReadDeadline(now.Add(1)) }, now.Add(1)},
		{func() { _ = c.SetReadDeadline(time.Time{}) }, now.Add(2)},
		{func() { c.setOwnRead(time.Time{}) }, time.Time{}},
	} {
		if step.set(); !inner.read.Equal(step.want) {
			t.Errorf("step %d: %v, want %v", i, inner.read, step.want)
		}
	}
}

// Guards against an old deadline that is set after a newer one, by another goroutine.
func TestDeadlineChangedWhileItIsSet(t *testing.T) {
	now := time.Unix(1000, 0)
	inner := &recordingConn{}
	c := &conn{Conn: inner}
	inner.setting = func() { c.setOwnRead(now.Add(1)) }
	if err := c.SetReadDeadline(now.Add(5)); err != nil || !inner.read.Equal(now.Add(1)) {
		t.Errorf("%v, %v", inner.read, err)
	}
}
