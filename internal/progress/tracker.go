// Package progress measures how fast an upstream works and detects upstreams that report healthy but make no progress.
package progress

import (
	"sync"
	"time"
)

const (
	// MinStallTimeout is the shortest time without progress that counts as a stall. Shorter ones occur in healthy
	// engines, for example while a long prompt is processed between the tokens of other requests.
	MinStallTimeout = 2 * time.Second
	// StallFactor is the time without progress that counts as a stall, as a multiple of the mean token gap or call
	// time.
	StallFactor = 20
	// promptFactor is the stall timeout while a prompt is processed, as a multiple of its expected processing time.
	promptFactor = 4
	// assumedPrefillSpeed is used for the stall timeout until the first prefill has ended, in tokens per second. It is
	// far below the speed of any engine, because a false stall ends all calls of the upstream.
	assumedPrefillSpeed = 2000
	// minSampleTokens is the least number of computed prompt tokens for a speed sample; fixed costs dominate below it.
	minSampleTokens = 256
	// gapWeight is the weight of a new token gap in the moving average.
	gapWeight = 0.05
	// durationWeight is the weight of a new prefill or call in the moving average.
	durationWeight = 0.2
)

// Kind is the kind of a piece of work.
type Kind int

// Kinds of work.
const (
	// Prefill produces no tokens; only its end counts as progress.
	Prefill Kind = iota
	// Decode produces tokens, each of which counts as progress.
	Decode
	// Call is a call of a plain service; only its end counts as progress.
	Call
)

// WorkID identifies a piece of work within its Tracker.
type WorkID uint64

// Result says how a piece of work ended.
type Result struct {
	// Completed is set if the upstream finished the work. The end of cancelled or failed work is not progress.
	Completed bool
	// ComputedTokens is the number of prompt tokens that a prefill computed, without those found in the prefix cache.
	ComputedTokens int
}

// Tracker monitors the progress of one upstream. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	nextID WorkID
	work   map[WorkID]*work
	// checkedAt is the time up to which timeoutShare is computed.
	checkedAt time.Time
	// timeoutShare is the elapsed share of the stall timeout since the last progress; above 1 the upstream is stalled.
	// It is not reset by cancelled work, so that short cancelled requests cannot hide a stall. It is a share, not a
	// duration, because the timeout changes with the running work.
	timeoutShare float64
	stalled      bool
	// progressed is set if running work has made progress since the stall was detected.
	progressed bool

	tokenGap        average
	callTime        average
	secondsPerToken average
	lastPrefillEnd  time.Time
}

// work is a piece of running work.
type work struct {
	kind Kind
	// tokens is the number of prompt tokens to compute.
	tokens    int
	startedAt time.Time
	// lastTokenAt is zero before the first token.
	lastTokenAt time.Time
}

// average is an exponentially weighted moving average.
type average struct {
	value float64
	known bool
}

func (a *average) add(sample, weight float64) {
	if !a.known {
		a.value = sample
		a.known = true
		return
	}
	a.value += weight * (sample - a.value)
}

// NewTracker returns a tracker without running work and measurements.
func NewTracker() *Tracker {
	return &Tracker{work: make(map[WorkID]*work)}
}

// Begin records that work was sent to the upstream. promptTokens is the number of prompt tokens that it has to compute:
// the whole prompt for a prefill, those whose KV cache is not imported for a decode, zero for a call.
func (t *Tracker) Begin(kind Kind, promptTokens int) WorkID {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.updateStall(now)
	t.nextID++
	t.work[t.nextID] = &work{kind: kind, tokens: promptTokens, startedAt: now}
	return t.nextID
}

// Token records an output token. It has no effect for unknown work.
func (t *Tracker) Token(id WorkID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.work[id]
	if !ok {
		return
	}
	now := time.Now()
	t.updateStall(now)
	if !w.lastTokenAt.IsZero() && !t.stalled {
		t.tokenGap.add(now.Sub(w.lastTokenAt).Seconds(), gapWeight)
	}
	w.lastTokenAt = now
	t.recordProgress(now)
}

// End records the end of work. It has no effect for unknown work.
func (t *Tracker) End(id WorkID, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.work[id]
	if !ok {
		return
	}
	now := time.Now()
	t.updateStall(now)
	delete(t.work, id)
	if result.Completed {
		t.observeEnd(w, result, now)
		t.recordProgress(now)
	}
}

// observeEnd updates the averages with the duration of completed work. The caller holds mu.
func (t *Tracker) observeEnd(w *work, result Result, now time.Time) {
	switch w.kind {
	case Call:
		t.callTime.add(now.Sub(w.startedAt).Seconds(), durationWeight)
	case Prefill:
		t.observePrefill(w, result.ComputedTokens, now)
	}
}

// observePrefill updates the prefill speed. A prefill that waited for another one to end is measured from the end of
// that one. The caller holds mu.
func (t *Tracker) observePrefill(w *work, tokens int, now time.Time) {
	startedAt := w.startedAt
	if t.lastPrefillEnd.After(startedAt) {
		startedAt = t.lastPrefillEnd
	}
	t.lastPrefillEnd = now
	if tokens < minSampleTokens {
		return
	}
	if elapsed := now.Sub(startedAt).Seconds(); elapsed > 0 {
		t.secondsPerToken.add(elapsed/float64(tokens), durationWeight)
	}
}

// Stalled reports whether the upstream has had running work for too long without progress. It stays true until
// ClearStall is called.
func (t *Tracker) Stalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateStall(time.Now())
	return t.stalled
}

// ClearStall clears the stall, after a probe of the upstream succeeded.
func (t *Tracker) ClearStall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalled = false
	t.recordProgress(time.Now())
}

// EndStallIfProgressed clears the stall if running work has made progress since it was detected, and reports whether it did.
func (t *Tracker) EndStallIfProgressed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateStall(time.Now())
	if !t.stalled || !t.progressed {
		return false
	}
	t.stalled = false
	return true
}

// PrefillSpeed returns the mean prefill speed in tokens per second, or 0 while it is unknown.
func (t *Tracker) PrefillSpeed() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.secondsPerToken.known {
		return 0
	}
	return 1 / t.secondsPerToken.value
}

// TokenGap returns the mean time between two tokens of a stream, or 0 while it is unknown.
func (t *Tracker) TokenGap() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return seconds(t.tokenGap.value)
}

// recordProgress resets the elapsed share of the stall timeout. The caller holds mu.
func (t *Tracker) recordProgress(now time.Time) {
	t.checkedAt = now
	t.timeoutShare = 0
	t.progressed = true
}

// updateStall adds the time since the last call to timeoutShare and sets stalled if the timeout has elapsed. It must be
// called before each change of the running work, which changes the timeout. The caller holds mu.
func (t *Tracker) updateStall(now time.Time) {
	if len(t.work) > 0 {
		t.timeoutShare += now.Sub(t.checkedAt).Seconds() / t.stallTimeout().Seconds()
		if !t.stalled && t.timeoutShare > 1 {
			t.stalled, t.progressed = true, false
		}
	}
	t.checkedAt = now
}

// stallTimeout returns how long the running work may go without progress. The caller holds mu.
func (t *Tracker) stallTimeout() time.Duration {
	timeout := MinStallTimeout
	for _, w := range t.work {
		timeout = max(timeout, t.workTimeout(w))
	}
	return timeout
}

// workTimeout returns how long one piece of work may go without progress. The caller holds mu.
func (t *Tracker) workTimeout(w *work) time.Duration {
	switch {
	case w.kind == Call:
		return seconds(StallFactor * t.callTime.value)
	case w.kind == Decode && (w.tokens == 0 || !w.lastTokenAt.IsZero()):
		return seconds(StallFactor * t.tokenGap.value)
	}
	// A prefill, or a decode that has to compute prompt tokens before its first output token.
	perToken := 1.0 / assumedPrefillSpeed
	if t.secondsPerToken.known {
		perToken = t.secondsPerToken.value
	}
	return max(seconds(promptFactor*perToken*float64(w.tokens)), seconds(StallFactor*t.tokenGap.value))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
