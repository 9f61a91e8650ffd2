// Package progress learns how fast an upstream works and finds upstreams that report healthy but make no progress.
package progress

import (
	"sync"
	"time"
)

const (
	// StallFloor is the shortest silence that counts as a stall. Shorter silences occur in sound engines, for example
	// while a long prompt is processed between the tokens of other requests.
	StallFloor = 2 * time.Second
	// StallGaps is the silence that counts as a stall, in learnt token gaps or call times.
	StallGaps = 20
	// promptFactor is the allowance for processing a prompt, in learnt times for its length.
	promptFactor = 4
	// unknownPromptSpeed is assumed for the allowance until the first prefill ends, tokens per second. It is far below
	// the speed of any engine, because a wrong stall ends all calls of the upstream.
	unknownPromptSpeed = 2000
	// minLearnTokens is the shortest computed prompt that is learnt from; the fixed costs dominate shorter ones.
	minLearnTokens = 256
	// gapWeight is the weight of a new token gap.
	gapWeight = 0.05
	// timeWeight is the weight of a new prefill or call.
	timeWeight = 0.2
)

// Kind is the kind of a piece of work.
type Kind int

// Kinds of work.
const (
	// Prefill gives no token; its end is its progress.
	Prefill Kind = iota
	// Decode gives tokens.
	Decode
	// Call is a call of a plain service; its end is its progress.
	Call
)

// WorkID names a piece of work within its Tracker.
type WorkID uint64

// Result says how a piece of work ended.
type Result struct {
	// Completed is set if the upstream finished the work. Cancelled and broken work is no progress.
	Completed bool
	// ComputedTokens is the number of prompt tokens that a prefill computed, without those found in the prefix cache.
	ComputedTokens int
}

// Tracker watches one upstream. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	nextID WorkID
	work   map[WorkID]*work
	// silentSince is the moment up to which silence is included in usedUp.
	silentSince time.Time
	// usedUp is the used share of the silence that the running work explains, 0 to 1. It is kept over cancelled work, so
	// that short cancelled requests cannot hide a stall, and it is a share because the limit depends on the work.
	usedUp  float64
	stalled bool

	gap             average
	callTime        average
	secondsPerToken average
	lastPrefillEnd  time.Time
}

type work struct {
	kind   Kind
	tokens int
	begun  time.Time
	// lastToken is zero before the first token.
	lastToken time.Time
}

// average is an exponentially weighted mean.
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

// NewTracker returns a tracker that knows nothing yet.
func NewTracker() *Tracker {
	return &Tracker{work: make(map[WorkID]*work)}
}

// Begin notes that work was handed to the upstream. promptTokens is the number of prompt tokens that it has to compute:
// the prompt for a prefill, what is not imported for a decode, zero for a call.
func (t *Tracker) Begin(kind Kind, promptTokens int) WorkID {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.check(now)
	t.nextID++
	t.work[t.nextID] = &work{kind: kind, tokens: promptTokens, begun: now}
	return t.nextID
}

// Token notes an output token. Tokens of unknown work are ignored.
func (t *Tracker) Token(id WorkID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.work[id]
	if !ok {
		return
	}
	now := time.Now()
	t.check(now)
	if !w.lastToken.IsZero() && !t.stalled {
		t.gap.add(now.Sub(w.lastToken).Seconds(), gapWeight)
	}
	w.lastToken = now
	t.progress(now)
}

// End notes the end of work. Ending unknown work has no effect.
func (t *Tracker) End(id WorkID, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.work[id]
	if !ok {
		return
	}
	now := time.Now()
	t.check(now)
	delete(t.work, id)
	if result.Completed {
		t.learnEnd(w, result, now)
		t.progress(now)
	}
}

// learnEnd learns from the time that completed work took. The caller holds mu.
func (t *Tracker) learnEnd(w *work, result Result, now time.Time) {
	switch w.kind {
	case Call:
		t.callTime.add(now.Sub(w.begun).Seconds(), timeWeight)
	case Prefill:
		t.learnPrefill(w, result.ComputedTokens, now)
	}
}

// learnPrefill learns the prefill speed. A prefill that waited behind another one counts from the end of that one.
func (t *Tracker) learnPrefill(w *work, tokens int, now time.Time) {
	begun := w.begun
	if t.lastPrefillEnd.After(begun) {
		begun = t.lastPrefillEnd
	}
	t.lastPrefillEnd = now
	if tokens < minLearnTokens {
		return
	}
	if took := now.Sub(begun).Seconds(); took > 0 {
		t.secondsPerToken.add(took/float64(tokens), timeWeight)
	}
}

// Stalled says whether the upstream has had running work for too long without progress. It stays true until Recovered
// is called.
func (t *Tracker) Stalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.check(time.Now())
	return t.stalled
}

// Recovered notes that a probe found the upstream working again.
func (t *Tracker) Recovered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalled = false
	t.progress(time.Now())
}

// PrefillSpeed returns the learnt prefill speed in tokens per second, or 0 while it is unknown.
func (t *Tracker) PrefillSpeed() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.secondsPerToken.known {
		return 0
	}
	return 1 / t.secondsPerToken.value
}

// TokenGap returns the learnt time between two tokens of a stream, or 0 while it is unknown.
func (t *Tracker) TokenGap() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return seconds(t.gap.value)
}

// progress ends the silence. The caller holds mu.
func (t *Tracker) progress(now time.Time) {
	t.silentSince = now
	t.usedUp = 0
}

// check counts the silence up to now and notes a stall. It precedes each change of the running work. The caller holds
// mu.
func (t *Tracker) check(now time.Time) {
	if len(t.work) > 0 {
		t.usedUp += now.Sub(t.silentSince).Seconds() / t.limit().Seconds()
		t.stalled = t.stalled || t.usedUp > 1
	}
	t.silentSince = now
}

// limit returns the longest silence that the running work explains. The caller holds mu.
func (t *Tracker) limit() time.Duration {
	limit := StallFloor
	for _, w := range t.work {
		limit = max(limit, t.allowance(w))
	}
	return limit
}

func (t *Tracker) allowance(w *work) time.Duration {
	switch {
	case w.kind == Call:
		return seconds(StallGaps * t.callTime.value)
	case w.kind == Decode && (w.tokens == 0 || !w.lastToken.IsZero()):
		return seconds(StallGaps * t.gap.value)
	}
	perToken := 1.0 / unknownPromptSpeed
	if t.secondsPerToken.known {
		perToken = t.secondsPerToken.value
	}
	return max(seconds(promptFactor*perToken*float64(w.tokens)), seconds(StallGaps*t.gap.value))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
