package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// answerTimeoutTargets is the time without an answer, in latency targets, after which an upstream counts as unresponsive.
	answerTimeoutTargets = 2
	// firstEventTimeoutTargets is the same for the first event of a stream. It is longer because the prompt may be queued
	// behind others.
	firstEventTimeoutTargets = 3
	// eventTimeoutPauses is the time without an event, in pause targets of the route, after which a stream counts as stalled.
	// Callers disconnect after eight pause targets or later; the rest of that time is left for the prefill at another engine.
	eventTimeoutPauses = 4
)

// errNoResponse cancels an attempt at an upstream that did not answer in time.
var errNoResponse = errors.New("no response from the upstream in time")

// replacementPollInterval is how often a silent attempt looks for a replacement again after it found none.
const replacementPollInterval = 250 * time.Millisecond

// responseTimer runs an action if an upstream sends nothing for a time. A nil timer does nothing.
type responseTimer struct {
	limit time.Duration
	// action reports whether it is to run again after replacementPollInterval if the upstream is still silent; the timer is of no
	// further use otherwise. silence is the time since start. It does not run after stop has returned, until the next start.
	action func(silence time.Duration) (again bool)

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	since   time.Time // when the wait began
	waiting bool
	done    bool
}

// newResponseTimer returns a timer that is not started; nil if there is no limit.
func newResponseTimer(limit time.Duration, action func(silence time.Duration) (again bool)) *responseTimer {
	if limit <= 0 {
		return nil
	}
	return &responseTimer{limit: limit, action: action}
}

func (t *responseTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	silence := time.Since(t.since)
	if !t.waiting || t.done || silence < t.limit { // stopped, or started again, while it fired
		return
	}
	if t.action(silence) {
		t.timer.Reset(replacementPollInterval)
		return
	}
	t.done = true
}

// start begins a wait for the upstream.
func (t *responseTimer) start() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since, t.waiting = time.Now(), true
	if t.timer == nil {
		t.timer = time.AfterFunc(t.limit, t.fire)
	} else {
		t.timer.Reset(t.limit)
	}
}

// stop ends a wait.
func (t *responseTimer) stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	if t.timer != nil {
		t.timer.Stop()
	}
}

// startAnswerTimer limits the time to the answer of an upstream, or to the first event of a stream. When the time is over, it
// records the timeout, so that other requests avoid the upstream, and moves the request if it may run elsewhere.
func (r *request) startAnswerTimer(upstream *fleet.Upstream, cancel context.CancelCauseFunc) *responseTimer {
	limit := answerTimeoutTargets * r.route.LatencyTarget
	if r.route.Kind == fleet.Stream {
		limit = firstEventTimeoutTargets * r.route.LatencyTarget
	}
	recorded := false
	timer := newResponseTimer(limit, func(silence time.Duration) bool {
		if !recorded {
			r.g.Board.RecordTimeout(upstream.ID, time.Now())
			recorded = true
		}
		return !r.moveFromSilent(upstream, silence, cancel)
	})
	timer.start()
	return timer
}

// progressReader reads the body of an answer. After each further part it starts the timer of the attempt again if the rest is expected in time, so
// that an answer which arrives steadily is not given up because it takes long. Without a length there is no estimate.
type progressReader struct {
	r        *request
	response *upstreamconn.Response
	timer    *responseTimer
	// received is the number of bytes so far, and first that of the first part, which arrived at firstAt.
	received, first int64
	firstAt         time.Time
}

func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.response.Body.Read(b)
	p.received += int64(n)
	switch {
	case n > 0 && p.first == 0:
		p.first, p.firstAt = p.received, time.Now()
	case n > 0 && p.endsInTime():
		p.timer.start()
	}
	return n, err
}

// endsInTime reports whether the rest of the answer arrives in time at the rate since the first part, which may have been sent with the head
// and says nothing about the rate.
func (p *progressReader) endsInTime() bool {
	if p.response.Length < 0 {
		return false
	}
	left := float64(p.response.Length-p.received) / float64(p.received-p.first) * float64(time.Since(p.firstAt))
	return left < float64(p.r.timeLeft())
}

// newEventTimer limits the time between two events of a stream in the same way. If the engine still sends data on other
// streams, it is only busy, and the request is not moved.
func (r *request) newEventTimer(upstream *fleet.Upstream, out *eventWriter, cancel context.CancelCauseFunc) *responseTimer {
	var recordedAt time.Time
	return newResponseTimer(eventTimeoutPauses*r.route.PauseTarget, func(silence time.Duration) bool {
		now := time.Now()
		if now.Sub(recordedAt) >= silence { // one silence counts as one timeout
			if !r.g.Board.RecordTimeout(upstream.ID, now) {
				return true
			}
			recordedAt = now
		}
		return !out.mayContinue() || !r.moveFromSilent(upstream, silence, cancel)
	})
}

// timeoutRefusal replaces the error of an attempt that a response timer cancelled after it was sent, and adds a step to the log line of the request. The
// upstream may still be running, but must not get the request again before another one failed to run it (allowReturn), so the reason is
// not REASON_UPSTREAM_BROKE, after which serveModel may try the same engine.
func (r *request) timeoutRefusal(ctx context.Context, upstream *fleet.Upstream, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errNoResponse) || verdict.As(err).Verdict == verdict.NotRun {
		return err
	}
	r.recordStep("no_response", upstream.ID)
	r.leftSilent = upstream.ID
	return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: errNoResponse.Error()}
}
