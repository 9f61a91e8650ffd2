package call

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Observer is the generation of streams that read the answer beside the one that delivers it.
const Observer = 0

// MaxBufferedBytes is the limit of unacknowledged answer bytes of one call; beyond it Emit waits.
const MaxBufferedBytes = 1 << 20

// Errors of a Call.
var (
	// ErrSuperseded means that a newer stream took over the delivery of the answer.
	ErrSuperseded = errors.New("a newer stream delivers the answer")
	// ErrFramesDropped means that a frame was asked for that is no longer kept.
	ErrFramesDropped = errors.New("frames no longer kept")
	// ErrEntryLost is the cancellation cause of a call whose entry did not come back in time.
	ErrEntryLost = errors.New("entry lost")
	// ErrCancelled is the cancellation cause of a call that its entry cancelled.
	ErrCancelled = errors.New("cancelled by entry")
	// ErrStalled is the cancellation cause of a call whose upstream makes no progress.
	ErrStalled = errors.New("upstream makes no progress")
	// ErrStopping is the cancellation cause of a call that a second stop signal cut.
	ErrStopping = errors.New("process stops")
)

// Call is one running or finished call.
type Call struct {
	// ID of the call.
	ID ID
	// Account that the call runs for.
	Account string

	ctx    context.Context
	cancel context.CancelCauseFunc
	// resumeWindow is the time that the call goes on without a stream; 0 means until it ends.
	resumeWindow time.Duration
	keepFrames   bool

	mu         sync.Mutex // guards the fields below
	frames     []*wirev1.Frame
	first      uint64 // number of frames[0]
	acked      uint64
	bytes      int // size of the frames above acked
	outcome    *wirev1.Outcome
	finishedAt time.Time
	generation int
	attached   bool
	detachTime *time.Timer
	changed    chan struct{} // closed at the next change; nil while nobody waits
}

func newCall(id ID, account string, resumeWindow time.Duration, keepFrames bool) *Call {
	c := &Call{
		ID: id, Account: account, resumeWindow: resumeWindow, keepFrames: keepFrames,
		first: 1,
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// Context ends when the call is cancelled; context.Cause gives the reason.
func (c *Call) Context() context.Context { return c.ctx }

// Cancel ends the work of the call.
func (c *Call) Cancel(cause error) { c.cancel(cause) }

// notify wakes waiters. The caller holds mu.
func (c *Call) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// nextChange returns a channel that the next change closes. The caller holds mu.
func (c *Call) nextChange() <-chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Emit appends a frame to the answer. It waits while too much is unacknowledged, until the call is cancelled.
func (c *Call) Emit(frame *wirev1.Frame) error {
	size := proto.Size(frame)
	c.mu.Lock()
	for c.bytes > 0 && c.bytes+size > MaxBufferedBytes {
		changed := c.nextChange()
		c.mu.Unlock()
		select {
		case <-c.ctx.Done():
			return context.Cause(c.ctx)
		case <-changed:
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	c.append(frame, size)
	return nil
}

func (c *Call) append(frame *wirev1.Frame, size int) {
	frame.Number = c.first + uint64(len(c.frames))
	c.frames = append(c.frames, frame)
	c.bytes += size
	c.notify()
}

// Finish appends the last frame. Later calls have no effect.
func (c *Call) Finish(outcome *wirev1.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcome != nil {
		return
	}
	c.outcome = outcome
	c.finishedAt = time.Now()
	frame := &wirev1.Frame{Body: &wirev1.Frame_Outcome{Outcome: outcome}}
	c.append(frame, proto.Size(frame))
	c.cancel(nil)
}

// Outcome returns the end of the call, nil while it runs.
func (c *Call) Outcome() *wirev1.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome
}

// Ack drops all frames up to number.
func (c *Call) Ack(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number <= c.acked || number >= c.first+uint64(len(c.frames)) {
		return
	}
	for n := c.acked + 1; n <= number; n++ {
		c.bytes -= proto.Size(c.frames[n-c.first])
	}
	c.acked = number
	if !c.keepFrames {
		dropped := number + 1 - c.first
		clear(c.frames[:dropped]) // the array outlives them
		c.frames = c.frames[dropped:]
		if len(c.frames) == 0 && c.outcome != nil {
			c.frames = nil
		}
		c.first = number + 1
	}
	c.notify()
}

// Attach makes a new stream the one that delivers the answer and returns its generation.
func (c *Call) Attach() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	c.attached = true
	if c.detachTime != nil {
		c.detachTime.Stop()
	}
	c.notify()
	return c.generation
}

// Detach says that the stream of a generation ended. Unless another attaches within the resume window, the call is
// cancelled, so that the upstream frees its memory.
func (c *Call) Detach(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation != c.generation || !c.attached {
		return
	}
	c.attached = false
	if c.outcome == nil && c.resumeWindow > 0 {
		c.detachTime = time.AfterFunc(c.resumeWindow, func() { c.cancelIfDetached(generation) })
	}
	c.notify()
}

func (c *Call) cancelIfDetached(generation int) {
	c.mu.Lock()
	lost := generation == c.generation && !c.attached
	c.mu.Unlock()
	if lost {
		c.Cancel(ErrEntryLost)
	}
}

// Next returns the frame with a number, waiting for it until ctx ends or the stream's generation is superseded.
func (c *Call) Next(ctx context.Context, generation int, number uint64) (*wirev1.Frame, error) {
	c.mu.Lock()
	for {
		if generation != Observer && (generation != c.generation || !c.attached) {
			c.mu.Unlock()
			return nil, ErrSuperseded
		}
		if number < c.first {
			c.mu.Unlock()
			return nil, ErrFramesDropped
		}
		if index := number - c.first; index < uint64(len(c.frames)) {
			frame := c.frames[index]
			c.mu.Unlock()
			return frame, nil
		}
		changed := c.nextChange()
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
		c.mu.Lock()
	}
}
