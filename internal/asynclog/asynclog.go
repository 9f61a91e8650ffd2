// Package asynclog writes log lines from a bounded queue, so that a process that stops reading the log never blocks a
// request. When the queue is full, new lines are dropped; the next batch that is written reports how many.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines that may be queued.
	queueCapacity = 1024
	// maxQueuedBytes bounds the lines that are queued or being written: a line can quote most of a request head.
	maxQueuedBytes = 1 << 20
	// batchDelay is how long the first line of a batch waits for more lines, to save system calls.
	batchDelay = 100 * time.Millisecond
)

// Writer implements zapcore.WriteSyncer. Create it with New.
type Writer struct {
	out      io.Writer
	queue    chan []byte
	dropped  atomic.Int64
	queued   atomic.Int64 // bytes
	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}
}

// New starts a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.enqueue(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) enqueue(line []byte) bool {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.queued.Add(-size)
		return false
	}
	select {
	case w.queue <- append([]byte(nil), line...):
		return true
	default:
		w.queued.Add(-size)
		return false
	}
}

// Sync does nothing. Queued lines are written in the background and by Close.
func (w *Writer) Sync() error { return nil }

// Close writes the queued lines and stops the writer. It returns after timeout even if the lines are not written yet.
func (w *Writer) Close(timeout time.Duration) {
	w.stopOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.flush(w.collectBatch(line))
		case <-w.stop:
			w.flush(w.drainQueue(nil))
			return
		}
	}
}

// collectBatch waits up to batchDelay for more lines and appends them to batch.
func (w *Writer) collectBatch(batch []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.stop:
	}
	return w.drainQueue(batch)
}

// drainQueue appends all queued lines to batch without waiting.
func (w *Writer) drainQueue(batch []byte) []byte {
	for {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

func (w *Writer) flush(batch []byte) {
	defer w.queued.Add(-int64(len(batch)))
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(batch) > 0 {
		_, _ = w.out.Write(batch) // a failure to write the log cannot be logged
	}
}
