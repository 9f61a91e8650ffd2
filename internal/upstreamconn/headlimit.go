package upstreamconn

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

const (
	// maxHeadBytes limits the status line and headers of a response, including the informational responses before it.
	maxHeadBytes = 64 << 10
	// headStepBytes is the part of a head that needs no memory of the budget. Each further part of that size takes its memory before it is read.
	headStepBytes = 2 << 10
	// headGrowth is the memory of a parsed head in relation to its size, if each line is as short as possible.
	headGrowth = 30
	// headerLineBytes is the memory of a header besides its text.
	headerLineBytes = 100
)

// errHeadLimit is returned by the read that would exceed the limits of a head.
var errHeadLimit = errors.New("head limit")

// headLimit reads from a connection. Between begin and end it limits the size of a head, and takes memory for it.
type headLimit struct {
	source io.Reader
	memory *membudget.Budget
	active bool
	// read is the size of the head so far, permitted the size up to which memory was taken, and taken the memory.
	read, permitted int
	taken           int64
	// exceeded is set if the head was too large, or there was no memory for it.
	exceeded bool
}

// begin starts to limit a head.
func (l *headLimit) begin() {
	l.active, l.exceeded, l.read, l.permitted = true, false, 0, headStepBytes
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.source.Read(p)
	}
	if l.read == l.permitted && !l.extend() {
		l.exceeded = true
		return 0, errHeadLimit
	}
	n, err := l.source.Read(p[:min(len(p), l.permitted-l.read)])
	l.read += n
	return n, err
}

// extend permits a further part of the head.
func (l *headLimit) extend() bool {
	if l.permitted >= maxHeadBytes || !l.memory.Take(headGrowth*headStepBytes) {
		return false
	}
	l.permitted += headStepBytes
	l.taken += headGrowth * headStepBytes
	return true
}

// end stops to limit the head. It keeps the memory that the parsed headers use, which release returns.
func (l *headLimit) end(header http.Header) {
	l.active = false
	if l.taken == 0 {
		return
	}
	used := int64(0)
	for name, values := range header {
		for _, value := range values {
			used += int64(len(name) + len(value) + headerLineBytes)
		}
	}
	used = min(used, l.taken)
	l.memory.Return(l.taken - used)
	l.taken = used
}

// release returns the memory of the headers.
func (l *headLimit) release() {
	l.memory.Return(l.taken)
	l.taken = 0
}
