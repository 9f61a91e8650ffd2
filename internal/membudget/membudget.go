// Package membudget limits the memory that the bodies of many requests or answers use together in a process.
//
// It is built for callers or upstreams that send large bodies, or bytes without end, many at once: each is within the limit of one body, but
// together they exceed the memory of the host. The first bytes of each body are not counted, so that ordinary bodies never depend on others.
package membudget

import (
	"io"
	"math"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrExhausted means that the memory for bodies is in use.
var ErrExhausted = errors.New("the memory for bodies is in use")

const (
	// uncountedBytes is the part of each Buffer that is not counted.
	uncountedBytes = 8 << 10
	// minBufferBytes is the smallest capacity of a Buffer with content.
	minBufferBytes = 512
	// fillStepBytes is the least by which Fill enlarges a large buffer when there is no memory to double it.
	fillStepBytes = 32 << 10
)

// Budget is the memory for bodies of one kind. Its methods may be called concurrently. A nil Budget has no limit.
type Budget struct {
	size int64
	used atomic.Int64
}

// New returns a budget of size bytes.
func New(size int64) *Budget { return &Budget{size: size} }

// Take takes n bytes, if there are as many. They must be returned with Return.
func (b *Budget) Take(n int64) bool {
	if b == nil || n <= 0 {
		return true
	}
	if b.used.Add(n) > b.size {
		b.used.Add(-n)
		return false
	}
	return true
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) {
	if b != nil && n > 0 {
		b.used.Add(-n)
	}
}

// Largest returns the size of the largest body that a Buffer can hold.
func (b *Budget) Largest() int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.size + uncountedBytes
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Scarce reports whether more than half of the memory is taken.
func (b *Budget) Scarce() bool { return b != nil && b.used.Load() > b.size/2 }

// Buffer holds the bytes of one body. It is not safe for concurrent use.
type Buffer struct {
	budget *Budget
	data   []byte
	taken  int64
}

// NewBuffer returns an empty buffer. Release must be called when its bytes are no longer used.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{budget: b} }

// Bytes returns the content. It is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the size of the content.
func (b *Buffer) Len() int { return len(b.data) }

// Grow makes room for n more bytes, so that adding them needs no memory. It returns ErrExhausted if the budget has too little.
func (b *Buffer) Grow(n int) error {
	need := len(b.data) + n
	if need <= cap(b.data) {
		return nil
	}
	return b.resize(need)
}

func (b *Buffer) resize(capacity int) error {
	more := max(0, int64(capacity-uncountedBytes)) - b.taken
	if !b.budget.Take(more) {
		return ErrExhausted
	}
	b.taken += max(0, more)
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.data = data
	return nil
}

// growForMore makes room for n more bytes, and for further ones if the budget has enough.
func (b *Buffer) growForMore(n int) error {
	need := len(b.data) + n
	if need <= cap(b.data) {
		return nil
	}
	if b.resize(max(minBufferBytes, need, 2*cap(b.data))) == nil {
		return nil
	}
	return b.resize(need)
}

// Append adds p, or nothing if it returns ErrExhausted.
func (b *Buffer) Append(p []byte) error {
	if err := b.growForMore(len(p)); err != nil {
		return err
	}
	b.data = append(b.data, p...)
	return nil
}

// Fill reads until the buffer has limit bytes or r returns io.EOF; the latter is no error. It reads nothing more once it returns ErrExhausted, and the buffer
// then has all that was read.
func (b *Buffer) Fill(r io.Reader, limit int) error {
	for len(b.data) < limit {
		if len(b.data) == cap(b.data) {
			if err := b.growForMore(min(limit-len(b.data), max(minBufferBytes, min(len(b.data), fillStepBytes)))); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):min(cap(b.data), limit)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Reset removes the content. It returns the memory that was taken.
func (b *Buffer) Reset() {
	b.data = b.data[:0]
	if b.taken > 0 {
		b.Release()
	}
}

// Release removes the content and returns all memory. It may be called more than once.
func (b *Buffer) Release() {
	b.budget.Return(b.taken)
	b.data, b.taken = nil, 0
}
