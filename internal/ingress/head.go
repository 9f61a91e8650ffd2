package ingress

import (
	"sync"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

const (
	// The heads of a connection cost nothing up to freeHeadBytes and freeHeadLines: an ordinary request never depends on others.
	freeHeadBytes = 1 << 10
	freeHeadLines = 24
	// A stored head takes about headByteCost times its bytes, for the received text and its copies, and headLineCost for each line: the entry of a
	// map, a slice and two strings.
	headByteCost = 2
	headLineCost = 200
	// sessionByteCost is the same for a session that is not established: a frame of 12 bytes opens a stream, which takes some 700 bytes.
	sessionByteCost = 64
)

// headAccount counts one head.
type headAccount struct{ bytes, lines int }

// add counts a further part, and returns the cause for which the head is refused.
func (a *headAccount) add(bytes, lines int, l *Limits) Cause {
	a.bytes += bytes
	a.lines += lines
	switch {
	case a.bytes > l.MaxHeadBytes:
		return CauseHeadSize
	case a.lines > l.MaxHeadLines:
		return CauseHeadLines
	}
	return ""
}

// sessionCost is the memory that what begins a session takes of the budget.
func (a *headAccount) sessionCost() int64 {
	return sessionByteCost * int64(max(0, a.bytes-freeHeadBytes))
}

// cost is the memory that the head takes of the budget.
func (a *headAccount) cost() int64 {
	return headByteCost*int64(max(0, a.bytes-freeHeadBytes)) + headLineCost*int64(max(0, a.lines-freeHeadLines))
}

// charge is what one connection has taken of the memory for heads.
type charge struct {
	budget *membudget.Budget

	mu     sync.Mutex // guards the fields below
	taken  int64
	closed bool
}

// raise takes memory up to a total, and reports whether there was enough.
func (c *charge) raise(total int64) bool {
	if total <= 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if !c.budget.Take(total - c.taken) {
		return false
	}
	c.taken = max(c.taken, total)
	return true
}

// release returns what was taken.
func (c *charge) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Return(c.taken)
	c.taken = 0
}

// close returns what was taken, and refuses to take more.
func (c *charge) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Return(c.taken)
	c.taken, c.closed = 0, true
}
