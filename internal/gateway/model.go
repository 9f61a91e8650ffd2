package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/waitqueue"
)

const (
	// startMargin is kept of the latency target for the way to the engine and the first event's way back.
	startMargin = 120 * time.Millisecond
	// resumePriority is before all priorities of routes and accounts. resumeWait is the longest pause in a stream that is
	// worth filling; callers leave after about twice as long.
	resumePriority = -1
	resumeWait     = 1500 * time.Millisecond
	// againWait is the least time in which a request that an engine failed looks for another.
	againWait = 250 * time.Millisecond
	// lateValue is the worth of an answer that comes after its latency target, against one in time.
	lateValue = 0.2
	// returnMargin is how much less patience than the route's timeout marks a request that was refused before.
	returnMargin = 400 * time.Millisecond
	// outputMemoryShare is the part of the expected output for which memory is set aside. Requests that run together are
	// at different points of their output.
	outputMemoryShare = 0.6
	// growthMargin is how much longer than now an output is expected to become once it is longer than its estimate.
	growthMargin = 1.2
	// maxHandleBytes bounds the answer to a prefill.
	maxHandleBytes = 4 << 10
	// releaseTimeout limits the call that frees an unused KV cache.
	releaseTimeout = 500 * time.Millisecond
)

// serveModel runs the request at model engines.
func (r *request) serveModel() error {
	out := &eventWriter{r: r, lastID: r.call.ResumeAfter}
	defer r.dropHandle()
	selfOnly := out.lastID != ""
	for {
		place, err := r.awaitPlace(selfOnly, out)
		if err != nil {
			return out.failure(r.finalRefusal(verdict.As(err)))
		}
		if !r.reserve(place) {
			place.end()
			if err := r.ctx.Err(); err != nil {
				return verdict.Refuse(wirev1.Reason_REASON_DEADLINE, "%v while looking for room", err)
			}
			continue
		}
		err = r.tryModel(place, out)
		place.dropReservation(r.g)
		place.end()
		if err == nil {
			return nil
		}
		if errors.Is(context.Cause(r.ctx), context.Canceled) {
			return err
		}
		failure := *verdict.As(err)
		r.step(verdict.ReasonName(failure.Reason), place.Decode.ID)
		if failure.Reason == wirev1.Reason_REASON_UPSTREAM_BROKE && r.kept == nil {
			// Only the answer was lost, or the engine ended. If it lives, it still has the prompt's KV cache.
			r.kept = place.Decode
		} else {
			r.excluded[place.Decode.ID], r.kept = true, nil
		}
		selfOnly = selfOnly || out.begun
		if !r.mayRepeat(&failure) {
			return out.failure(r.finalRefusal(&failure))
		}
	}
}

// place is a plan with the room that is counted for it.
type place struct {
	placement.Plan
	decode, prefill *placement.Work
	// memory is what the request is expected to fill at the decode engine, in tokens.
	memory int
	// reservation names the room taken at the decode engine; empty for none.
	reservation string
}

func (p *place) end() {
	p.decode.End()
	if p.prefill != nil {
		p.prefill.End()
	}
}

// returned reports whether the caller was refused before: less patience is left than a first attempt has.
func (r *request) returned() bool {
	return r.call.Patience > 0 && r.route.Timeout > 0 && r.call.Patience < r.route.Timeout-returnMargin
}

// awaitPlace waits for room at the engines while the answer can still be in time.
func (r *request) awaitPlace(selfOnly bool, out *eventWriter) (*place, error) {
	var found *place
	output := float64(r.call.ExpectedOutput())
	item := &waitqueue.Item{
		Priority: r.priority(), Value: 1, Cost: (float64(r.call.PromptTokens) + output/2) * output,
		Until: r.began.Add(r.route.LatencyTarget - startMargin),
	}
	if out.begun {
		// A stream that broke off goes on before others begin: its caller has waited and its memory was spent.
		item.Priority, item.Until = resumePriority, time.Now().Add(resumeWait)
	} else if again := time.Now().Add(againWait); r.sends > 0 && again.After(item.Until) {
		item.Until = again
	}
	if r.returned() {
		item.Value = lateValue
	}
	item.Try = func() bool {
		if r.handle != nil && time.Since(r.handleAt) > handleUse(r.service) {
			r.dropHandle()
		}
		found = r.findPlace(selfOnly)
		return found != nil
	}
	queue := r.g.queue(r.service.Name)
	if queue.Wait(r.ctx, item) {
		return found, nil
	}
	return nil, noUpstream()
}

// findPlace takes room for the request if there is any now.
func (r *request) findPlace(selfOnly bool) *place {
	output := int(outputMemoryShare * float64(r.call.ExpectedOutput()))
	plan, ok := r.g.Board.Model(placement.Query{
		Service: r.service, Now: time.Now(), Excluded: r.excluded, SelfOnly: selfOnly,
		PromptTokens: r.call.PromptTokens, OutputTokens: output, PauseTarget: r.route.PauseTarget, Prefilled: r.handlePlace(), Kept: r.kept,
	})
	if !ok {
		return nil
	}
	p := &place{Plan: plan, memory: r.call.PromptTokens + output}
	p.decode = r.g.Board.BeginRun(plan.Decode.ID, p.memory)
	if plan.Prefill != nil {
		p.prefill = r.g.Board.BeginRun(plan.Prefill.ID, 0)
		p.prefill.BeginRead(r.call.PromptTokens)
	} else if r.handle == nil {
		p.decode.BeginRead(r.call.PromptTokens)
	}
	return p
}

// handleUse is how long a prefilled KV cache is offered to decode engines: its time to live less the way there.
func handleUse(service *fleet.Service) time.Duration { return service.Engine.HandleTTL * 4 / 5 }

// handlePlace returns the engine that holds the prompt's KV cache; nil if none does.
func (r *request) handlePlace() *fleet.Upstream {
	if r.handle == nil {
		return nil
	}
	return r.prefiller
}

// dropHandle frees a KV cache that is not going to be fetched.
func (r *request) dropHandle() {
	if r.handle != nil {
		r.g.discard(r.g.Protocol.Release(r.handle))
		r.handle = nil
	}
}

// tryModel runs one plan. Its error says whether the decode engine may have run the request.
func (r *request) tryModel(p *place, out *eventWriter) error {
	send := &Send{Upstream: p.Decode, ResumeAfter: out.lastID, From: r.handle}
	if p.Prefill != nil {
		handle, err := r.prefill(p)
		if err != nil && verdict.As(err).Reason == wirev1.Reason_REASON_UPSTREAM_BROKE && r.mayPrefillAgain() {
			handle, err = r.prefill(p) // only the answer was lost; the engine has most of the prompt
		}
		p.prefill.End()
		if err != nil {
			r.step("prefill_"+verdict.ReasonName(verdict.As(err).Reason), p.Prefill.ID)
			if r.ctx.Err() != nil {
				return err
			}
			reached := verdict.As(err).Reason != wirev1.Reason_REASON_UPSTREAM_UNREACHABLE
			if reached && !r.g.Budgets.of(r.service.Name).Allow() {
				// A prefill that was refused or lost has reached an upstream, so what follows is a repeat.
				return verdict.Refuse(wirev1.Reason_REASON_RETRY_BUDGET, "prefill failed and the retry budget is spent")
			}
			r.excluded[p.Prefill.ID] = true
			p.decode.BeginRead(r.call.PromptTokens)
		}
		send.From, r.handle, r.handleAt, r.prefiller = handle, handle, time.Now(), p.Prefill
	}
	send.Reservation, p.reservation = p.reservation, ""
	return r.decode(send, p.decode, out)
}

// mayPrefillAgain decides whether a prefill is repeated, and takes it from the budget.
func (r *request) mayPrefillAgain() bool {
	return r.ctx.Err() == nil && time.Since(r.began) < r.route.LatencyTarget/2 && r.g.Budgets.of(r.service.Name).Allow()
}

// prefill has the prompt processed by a prefill engine. The call may be repeated and never runs the request.
func (r *request) prefill(plan *place) (*Handle, error) {
	// A prefill that takes far longer than expected is given up for the decode engine's own reading.
	limit := max(3*plan.Expected, r.route.LatencyTarget/2)
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	r.step("prefill", plan.Prefill.ID)
	began := time.Now()
	send := &Send{Upstream: plan.Prefill, PrefillOnly: true}
	response, err := r.send(ctx, send)
	if err != nil {
		r.g.Metrics.Sent("prefill", "failed")
		return nil, err
	}
	defer response.Close()
	body, err := readAllLimited(response)
	if err != nil || response.Status != http.StatusOK {
		r.g.Metrics.Sent("prefill", "failed")
		return nil, &verdict.Refusal{Verdict: verdict.NotRun, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: "prefill failed"}
	}
	if plan.prefill.Alone {
		r.g.Board.Read(plan.Prefill.ID, r.call.PromptTokens, time.Since(began))
	}
	r.g.Metrics.Sent("prefill", "answered")
	handle, err := r.g.Protocol.ReadHandle(send, body)
	if err != nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_ERROR, "%v", err)
	}
	return handle, nil
}

func readAllLimited(response *upstreamconn.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHandleBytes))
	if err == nil && len(body) == maxHandleBytes {
		err = errors.New("answer too long")
	}
	return body, err
}

// decode sends the request to its decode engine and passes the events on.
func (r *request) decode(send *Send, work *placement.Work, out *eventWriter) error {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	answer := r.watchAnswer(send.Upstream, cancel)
	defer answer.stop()
	r.sends++
	what := "decode"
	if send.From == nil {
		what = "decode_self"
	}
	r.step(what, send.Upstream.ID)
	began := time.Now()
	response, err := r.send(ctx, send)
	if err != nil {
		r.g.Metrics.Sent(what, "failed")
		if send.From != nil && verdict.As(err).Reason != wirev1.Reason_REASON_NO_PLACE {
			r.dropHandle()
		}
		return silentFailure(ctx, err)
	}
	r.handle = nil
	defer response.Close()
	if response.Status != http.StatusOK {
		return r.passFailure(response, out)
	}
	var firstAt time.Time
	before := out.events
	var pauses *silenceWatch
	defer func() { pauses.stop() }()
	first := func() {
		answer.stop()
		pauses = r.watchPauses(send.Upstream, cancel)
		firstAt = time.Now()
		if send.From == nil && work.Alone && send.ResumeAfter == "" {
			r.g.Board.Read(send.Upstream.ID, r.call.PromptTokens, time.Since(began))
		}
		work.EndRead()
	}
	out.progress = func(events int) {
		pauses.restart()
		r.g.Board.Alive(send.Upstream.ID, time.Now())
		work.Grow(r.call.PromptTokens + int(growthMargin*float64(events*r.service.Engine.TokensPerEvent)))
	}
	if err := out.pass(response, first); err != nil {
		r.g.Metrics.Sent(what, "cut")
		if r.ctx.Err() == nil {
			r.g.Board.Silent(send.Upstream.ID, time.Now())
		}
		return silentFailure(ctx, err)
	}
	r.g.Board.Streamed(send.Upstream.ID, (out.events-before-1)*r.service.Engine.TokensPerEvent, time.Since(firstAt))
	r.g.Metrics.Sent(what, "answered")
	return nil
}

// passFailure passes on an answer in which the engine itself failed the request.
func (r *request) passFailure(response *upstreamconn.Response, out *eventWriter) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferedAnswer))
	if err != nil {
		return brokenAnswer(err)
	}
	if out.begun || r.route.Repeatable() && r.ran+1 < r.route.Attempts {
		return &verdict.Refusal{Verdict: verdict.Ran, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: "the engine failed"}
	}
	return r.deliver(&plainAnswer{status: response.Status, header: response.Header, body: body})
}

// brokenAnswer is the error of an answer that broke off after its head.
func brokenAnswer(err error) error {
	return &verdict.Refusal{Verdict: verdict.Ran, Reason: wirev1.Reason_REASON_UPSTREAM_BROKE, Detail: "the answer broke off: " + err.Error()}
}
