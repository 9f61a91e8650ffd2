package call

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

// Observer is the generation of streams that only read the answer, besides the stream that delivers it to the caller.
const Observer = 0

// MaxBufferedBytes is the limit of unacknowledged answer bytes of one call, above which Emit blocks.
const MaxBufferedBytes = 1 << 20

const (
	// MaxKeptBytes is the size up to which an answer is kept for repeated requests. A larger one is not sent again.
	MaxKeptBytes = 4 << 20
	// keptMemoryBytes is the size of all kept answers together, apart from the first keptUncountedBytes of each. Ordinary answers are therefore
	// kept whatever the others take.
	keptMemoryBytes    = 32 << 20
	keptUncountedBytes = 4 << 10
)

// Errors of a Call.
var (
	// ErrSuperseded means that the stream no longer delivers the answer: a newer one has taken over, or it was detached.
	ErrSuperseded = errors.New("a newer stream delivers the answer")
	// ErrFramesDropped means that the requested frame is no longer kept.
	ErrFramesDropped = errors.New("frames no longer kept")
	// ErrEntryLost is the cancellation cause of a call whose entry did not reconnect within the resume window.
	ErrEntryLost = errors.New("entry lost")
	// ErrCancelled is the cancellation cause of a call that its entry cancelled.
	ErrCancelled = errors.New("cancelled by entry")
	// ErrStalled is the cancellation cause of a call whose upstream makes no progress.
	ErrStalled = errors.New("upstream makes no progress")
	// ErrStopping is the cancellation cause of a call that was cut by a second stop signal to the process.
	ErrStopping = errors.New("process is stopping")
)

// Call is one running or finished call with its buffered answer.
type Call struct {
	ID ID
	// Account is the client account that the call runs for.
	Account string

	ctx    context.Context
	cancel context.CancelCauseFunc
	// resumeWindow is how long the call goes on without an attached stream; 0 means until it ends.
	resumeWindow time.Duration

	mu sync.Mutex // guards the fields below
	// keepFrames is set if acknowledged frames are kept to deliver the answer again to a repeated request. keptBytes is their size; what is
	// above keptUncountedBytes is taken from keptMemory.
	keepFrames   bool
	keptBytes    int
	keptMemory   *membudget.Budget
	frames       []*wirev1.Frame
	firstNumber  uint64 // number of frames[0]
	ackedNumber  uint64
	unackedBytes int // size of the frames above ackedNumber
	outcome      *wirev1.Outcome
	finishedAt   time.Time
	generation   int // number of the stream that was attached last
	attached     bool
	detachTimer  *time.Timer
	changed      chan struct{} // closed at the next change; nil while no goroutine waits
}

// newCall returns a call. With a budget, acknowledged frames are kept while it has memory for them.
func newCall(id ID, account string, resumeWindow time.Duration, keptMemory *membudget.Budget) *Call {
	c := &Call{
		ID: id, Account: account, resumeWindow: resumeWindow, keepFrames: keptMemory != nil, keptMemory: keptMemory,
		firstNumber: 1,
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// Context returns a context that ends when the call is cancelled or finished. context.Cause returns the reason.
func (c *Call) Context() context.Context { return c.ctx }

// Cancel cancels the context of the call.
func (c *Call) Cancel(cause error) { c.cancel(cause) }

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (c *Call) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change. The caller holds mu.
func (c *Call) nextChange() <-chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Emit appends a frame to the answer. While the unacknowledged frames would exceed MaxBufferedBytes, it blocks until
// some are acknowledged or the call is cancelled.
func (c *Call) Emit(frame *wirev1.Frame) error {
	size := proto.Size(frame)
	c.mu.Lock()
	for c.unackedBytes > 0 && c.unackedBytes+size > MaxBufferedBytes {
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
	frame.Number = c.firstNumber + uint64(len(c.frames))
	c.frames = append(c.frames, frame)
	c.unackedBytes += size
	c.notify()
}

// Finish appends the outcome as the last frame. Only the first call has an effect.
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

// Outcome returns the outcome of the call, or nil while it runs.
func (c *Call) Outcome() *wirev1.Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome
}

// Ack acknowledges all frames up to number and, unless they are kept for repeats, drops them.
func (c *Call) Ack(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number <= c.ackedNumber || number >= c.firstNumber+uint64(len(c.frames)) {
		return
	}
	acked := 0
	for n := c.ackedNumber + 1; n <= number; n++ {
		acked += proto.Size(c.frames[n-c.firstNumber])
	}
	c.unackedBytes -= acked
	c.ackedNumber = number
	if c.keepFrames && !c.keep(acked) {
		c.forgetKept()
	}
	if !c.keepFrames {
		dropped := number + 1 - c.firstNumber
		clear(c.frames[:dropped]) // frees the frames, as the array stays allocated
		c.frames = c.frames[dropped:]
		if len(c.frames) == 0 && c.outcome != nil {
			c.frames = nil
		}
		c.firstNumber = number + 1
	}
	c.notify()
}

// keep counts further bytes of acknowledged frames. It returns false if there is no memory to keep them. The caller holds mu.
func (c *Call) keep(bytes int) bool {
	before := max(0, c.keptBytes-keptUncountedBytes)
	after := max(0, c.keptBytes+bytes-keptUncountedBytes)
	if c.keptBytes+bytes > MaxKeptBytes || !c.keptMemory.Take(int64(after-before)) {
		return false
	}
	c.keptBytes += bytes
	return true
}

// forgetKept returns the memory of the kept frames, which are not kept any more. The caller holds mu.
func (c *Call) forgetKept() {
	c.keptMemory.Return(int64(max(0, c.keptBytes-keptUncountedBytes)))
	c.keepFrames, c.keptBytes = false, 0
}

// Forget frees the memory of a call that is no longer registered.
func (c *Call) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepFrames {
		c.forgetKept()
	}
}

// Attach registers a new stream as the one that delivers the answer and returns its generation.
func (c *Call) Attach() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	c.attached = true
	if c.detachTimer != nil {
		c.detachTimer.Stop()
	}
	c.notify()
	return c.generation
}

// Detach records that the stream of a generation ended. If the call has a resume window and no other stream attaches
// within it, the call is cancelled, so that the upstream frees its memory.
func (c *Call) Detach(generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation != c.generation || !c.attached {
		return
	}
	c.attached = false
	if c.outcome == nil && c.resumeWindow > 0 {
		c.detachTimer = time.AfterFunc(c.resumeWindow, func() { c.cancelIfDetached(generation) })
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

// Next returns the frame with a number. It waits for the frame until ctx ends or a newer stream supersedes the
// generation.
func (c *Call) Next(ctx context.Context, generation int, number uint64) (*wirev1.Frame, error) {
	c.mu.Lock()
	for {
		if generation != Observer && (generation != c.generation || !c.attached) {
			c.mu.Unlock()
			return nil, ErrSuperseded
		}
		if number < c.firstNumber {
			c.mu.Unlock()
			return nil, ErrFramesDropped
		}
		if index := number - c.firstNumber; index < uint64(len(c.frames)) {
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
