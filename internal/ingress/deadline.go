package ingress

import (
	"net"
	"sync"
	"time"
)

// deadline combines the deadline that the server sets on a connection, for reads or for writes, with that of the limits: the earlier one holds. Zero
// stands for no deadline. mu is not held while a deadline is set on the connection, which has locks of its own; applyRead and applyWrite set it
// again if it was changed meanwhile.
type deadline struct {
	mu          sync.Mutex // guards the fields below
	server, own time.Time
	changes     uint64
}

// setServer sets the deadline of the server, and reports whether it is another one.
func (d *deadline) setServer(t time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.setLocked(&d.server, t)
}

// setOwn sets the deadline of the limits, and reports whether it is another one.
func (d *deadline) setOwn(t time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.setLocked(&d.own, t)
}

// setOwnIfNone sets the deadline of the limits unless there is one, and reports whether it did.
func (d *deadline) setOwnIfNone(t time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own.IsZero() && d.setLocked(&d.own, t)
}

func (d *deadline) setLocked(field *time.Time, t time.Time) (changed bool) {
	if field.Equal(t) {
		return false
	}
	*field = t
	d.changes++
	return true
}

// ownDeadline returns the deadline of the limits.
func (d *deadline) ownDeadline() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.own
}

// current returns the deadline that holds, and the number of changes so far.
func (d *deadline) current() (time.Time, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return earliest(d.own, d.server), d.changes
}

// applyRead sets the deadline on the reads of a connection.
func (d *deadline) applyRead(c net.Conn) error {
	for t, changes := d.current(); ; {
		if err := c.SetReadDeadline(t); err != nil {
			return err
		}
		now, changesNow := d.current()
		if changesNow == changes {
			return nil
		}
		t, changes = now, changesNow
	}
}

// applyWrite sets the deadline on the writes of a connection.
func (d *deadline) applyWrite(c net.Conn) error {
	for t, changes := d.current(); ; {
		if err := c.SetWriteDeadline(t); err != nil {
			return err
		}
		now, changesNow := d.current()
		if changesNow == changes {
			return nil
		}
		t, changes = now, changesNow
	}
}

// nextWriteDeadline returns the deadline of a write that begins now. A current one that leaves at least half of the timeout stays, because an
// answer may have hundreds of small parts.
func nextWriteDeadline(current, answerDeadline, now time.Time, timeout time.Duration) time.Time {
	longest, least := now.Add(timeout), now.Add(timeout/2)
	if !answerDeadline.IsZero() {
		end := answerDeadline
		if end.Before(now) {
			end = now
		}
		longest = earliest(longest, end.Add(answerMargin))
		least = earliest(least, longest)
	}
	if current.Before(least) || current.After(longest) {
		return longest
	}
	return current
}

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
