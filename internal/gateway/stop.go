package gateway

import (
	"strconv"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// streamTimeFactor covers outputs that are longer than the caller's estimate, and engines that are slower than most.
	streamTimeFactor = 1.5
	// plainTimeTargets is the time that a plain request must have before the process ends, in latency targets of its route. One
	// that takes longer is answered when the process ends, as one that may have run.
	plainTimeTargets = 3
	// upstreamEndMargin is how much longer than the process an upstream may work on a request. An upstream that ended a request
	// before the process does would look like one that failed, and the request would be sent to another.
	upstreamEndMargin = 200 * time.Millisecond
	// stoppingRetryAfter is the delay before a caller refused by a stopping process retries. It is short, as another process
	// can serve the caller at once.
	stoppingRetryAfter = 200 * time.Millisecond
)

// shutdown is the schedule of a graceful shutdown.
type shutdown struct {
	// streamsUntil is when new streams are no longer accepted. The time from then to end is left for those that run.
	streamsUntil time.Time
	// end is when the process ends.
	end time.Time
}

// Stop begins a graceful shutdown of a process that ends at end. Every further answer closes its connection, so that callers
// move to other processes. New requests are still served, because in a rolling restart all processes may be stopping at once
// and callers have no other to go to: plain ones until Drain reports true, and streams until streamsUntil, if they are
// expected to finish in time.
func (g *Gateway) Stop(streamsUntil, end time.Time) {
	g.shutdown.Store(&shutdown{streamsUntil: streamsUntil, end: end})
}

// Drain reports whether a stopping process has nothing left to do: new streams are no longer accepted, none is running, and
// neither is any other request. From its first call after the last stream has ended, all new requests are refused, as the
// process would otherwise never become idle.
func (g *Gateway) Drain() bool {
	s := g.shutdown.Load()
	if s == nil || time.Now().Before(s.streamsUntil) || g.streams.Load() > 0 {
		return false
	}
	g.drained.Store(true)
	return g.Running() == 0
}

// End refuses new requests and cancels all that still run. Those without any part of an answer yet are answered with a refusal.
func (g *Gateway) End() {
	g.drained.Store(true)
	g.end()
}

// writeHeader sends the status and headers of an answer. A stopping process announces that it closes the connection, so that the
// caller moves to another process.
func (r *request) writeHeader(status int) {
	if r.g.shutdown.Load() != nil {
		r.w.Header().Set("Connection", "close")
	}
	r.w.WriteHeader(status)
}

// checkStopping refuses a request that a stopping process does not accept.
func (r *request) checkStopping() error {
	s := r.g.shutdown.Load()
	if s == nil {
		return nil
	}
	now := time.Now()
	tooLate := now.Add(r.expectedTime()).After(s.end)
	streamTooLate := r.mayStream() && now.After(s.streamsUntil)
	if r.g.drained.Load() || tooLate || streamTooLate {
		return stoppingRefusal()
	}
	return nil
}

// mayStream reports whether the answer may be a stream: an engine answers with one whatever the kind of the route.
func (r *request) mayStream() bool { return r.route.Kind == fleet.Stream || r.runsModel() }

// recordAcceptedStopping adds a step to the log line of a request that a stopping process accepts.
func (r *request) recordAcceptedStopping() {
	if s := r.g.shutdown.Load(); s != nil {
		r.recordStep("accepted_stopping", "needed_ms "+strconv.FormatInt(r.expectedTime().Milliseconds(), 10)+
			" left_ms "+strconv.FormatInt(time.Until(s.end).Milliseconds(), 10))
	}
}

// stoppingRefusal refuses a request that has not run at a process that is stopping.
func stoppingRefusal() *verdict.Refusal {
	refusal := verdict.Refuse(wirev1.Reason_REASON_STOPPING, "this process is stopping")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// expectedTime estimates how long the request takes. For a stream it is the time to the first event and that of the expected
// output.
func (r *request) expectedTime() time.Duration {
	if !r.mayStream() {
		return plainTimeTargets * r.route.LatencyTarget
	}
	output := streamTimeFactor * float64(r.call.ExpectedOutput()) * float64(r.tokenTime())
	return r.route.LatencyTarget + time.Duration(output)
}

// tokenTime returns the time per output token at most engines, or that with which a stream just meets its pause target while no
// engine was measured; zero if the route has no such target either.
func (r *request) tokenTime() time.Duration {
	if r.service.Engine == nil {
		return 0
	}
	if measured := r.g.Board.MedianTokenTime(r.service.Name); measured > 0 {
		return measured
	}
	return r.route.PauseTarget / time.Duration(r.service.Engine.TokensPerEvent)
}

// endsTooLate reports whether a stopping process is expected to end before the rest of a stream at the engines that were chosen for it.
func (r *request) endsTooLate(plan *placement.Plan) bool {
	s := r.g.shutdown.Load()
	if s == nil {
		return false
	}
	perToken := r.g.Board.TokenTime(plan.Decode.ID)
	if perToken == 0 {
		perToken = r.tokenTime()
	}
	needed := plan.Expected + time.Duration(streamTimeFactor*float64(r.remainingOutput())*float64(perToken))
	return time.Now().Add(needed).After(s.end)
}

// remainingOutput returns the expected number of output tokens that the caller does not have yet.
func (r *request) remainingOutput() int {
	received := int(r.events.Load()) * r.service.Engine.TokensPerEvent
	return max(r.call.ExpectedOutput(), int(outputGrowthFactor*float64(received))) - received
}

// endedRefusal returns the refusal, and the outcome, of a request that was cancelled because the process ends.
func (r *request) endedRefusal(refusal verdict.Refusal) (verdict.Refusal, string) {
	if refusal.Verdict == verdict.NotRun {
		refusal = *stoppingRefusal()
	}
	refusal.Reason = wirev1.Reason_REASON_STOPPING
	name := verdict.ReasonName(refusal.Reason)
	if r.written {
		name += "_midway"
	}
	return refusal, name
}
