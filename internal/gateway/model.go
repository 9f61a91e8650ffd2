package gateway

import (
	"context"
	"fmt"
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
	// firstEventMargin is the part of the latency target that is left for the network: the request to the engine and the
	// first event back.
	firstEventMargin = 120 * time.Millisecond
	// resumePriority is more urgent than all priorities of routes and accounts. maxResumeWait is how long an interrupted stream
	// waits for capacity; callers disconnect after about twice as long.
	resumePriority = -1
	maxResumeWait  = 1500 * time.Millisecond
	// minRetryWait is the least time that a request which failed at an engine may wait for another.
	minRetryWait = 250 * time.Millisecond
	// lateAnswerValue is the value of an answer after its latency target, relative to one in time.
	lateAnswerValue = 0.2
	// retryDetectionMargin is by how much the caller's timeout must be shorter than the route's for the request to count as a
	// retry of one that was refused.
	retryDetectionMargin = 400 * time.Millisecond
	// outputMemoryShare is the part of the expected output for which memory is counted. It is less than 1 because requests that
	// run together are at different points of their output.
	outputMemoryShare = 0.6
	// outputGrowthFactor times the output so far is taken as the expected output of a stream once that product exceeds the
	// output for which memory was counted before.
	outputGrowthFactor = 1.2
	// Answers to prefill, reservation and order calls must be shorter than maxControlBodyBytes.
	maxControlBodyBytes = 4 << 10
	// releaseTimeout limits the call that frees an unused KV cache or reservation.
	releaseTimeout = 500 * time.Millisecond
)

// serveModel runs the request at model engines until one attempt succeeds or no other is allowed.
func (r *request) serveModel() error {
	out := &eventWriter{r: r, lastID: r.call.ResumeAfter}
	defer r.dropHandle()
	defer r.dropReplacement()
	localPrefillOnly := out.lastID != ""
	for {
		alloc, err := r.nextAllocation(localPrefillOnly, out)
		if err != nil {
			return out.streamError(r.finalRefusal(verdict.As(err)))
		}
		if !out.headerSent && r.endsTooLate(&alloc.Plan) {
			alloc.release()
			r.recordStep("ends_too_late", alloc.Decode.ID)
			r.excluded[alloc.Decode.ID], r.noTimeLeft = true, true
			continue
		}
		if err := r.enterQuarantine(); err != nil {
			alloc.release()
			return out.streamError(err)
		}
		if r.acquirePermit(r.ctx, alloc.Decode) != nil || !r.reserve(alloc) {
			alloc.release()
			if err := r.ctx.Err(); err != nil {
				return out.streamError(r.finalRefusal(verdict.Refuse(wirev1.Reason_REASON_DEADLINE, "%v while waiting for an engine", err)))
			}
			continue
		}
		err = r.tryModel(alloc, out)
		alloc.dropReservation(r.g)
		alloc.release()
		if err == nil {
			return nil
		}
		if errors.Is(context.Cause(r.ctx), context.Canceled) { // the caller has left, or the process ends
			return out.streamError(r.finalRefusal(verdict.As(err)))
		}
		failure := *verdict.As(err)
		r.recordStep(verdict.ReasonName(failure.Reason), alloc.Decode.ID)
		r.allowReturn(&failure)
		if failure.Reason == wirev1.Reason_REASON_UPSTREAM_LIMITED { // nothing was sent to the engine, and the board leaves it out
			continue
		}
		if failure.Reason == wirev1.Reason_REASON_LEAVING { // nothing was sent to the engine
			r.excluded[alloc.Decode.ID] = true
			continue
		}
		if failure.Reason == wirev1.Reason_REASON_UPSTREAM_BROKE && r.cachedAt == nil {
			// Only the answer was lost, or the engine has ended. If it is still running, it has the prompt's KV cache,
			// so it is not excluded yet.
			r.cachedAt = alloc.Decode
		} else {
			r.excluded[alloc.Decode.ID], r.cachedAt = true, nil
		}
		localPrefillOnly = localPrefillOnly || out.headerSent
		if !out.mayContinue() || !r.mayRetry(&failure) {
			return out.streamError(r.finalRefusal(&failure))
		}
	}
}

// allocation is a plan together with the work that is counted for it on the board.
type allocation struct {
	placement.Plan
	decodeWork, prefillWork *placement.Work
	// memory is the KV cache that the request is expected to use at the decode engine, in tokens.
	memory int
	// began is when the memory was first counted at the decode engine.
	began time.Time
	// reservation identifies the memory reserved at the decode engine; empty for none.
	reservation string
}

// release stops counting the allocation's work.
func (a *allocation) release() {
	a.decodeWork.End()
	if a.prefillWork != nil {
		a.prefillWork.End()
	}
}

// dropPrefill makes the decode engine process the prompt itself.
func (a *allocation) dropPrefill(promptTokens int) {
	a.prefillWork.End()
	a.Prefill, a.prefillWork = nil, nil
	a.decodeWork.BeginPrefill(promptTokens)
}

// retriedByCaller reports whether this is a caller's retry after a refusal. A retry is recognized by its timeout, which is
// clearly shorter than the route's, because the caller has already spent part of its time.
func (r *request) retriedByCaller() bool {
	return r.call.Timeout > 0 && r.route.Timeout > 0 && r.call.Timeout < r.route.Timeout-retryDetectionMargin
}

// nextAllocation returns the replacement of a silent engine if there is one, and waits for an allocation otherwise. It does not wait in
// a stopping process that had time for a faster engine only.
func (r *request) nextAllocation(localPrefillOnly bool, out *eventWriter) (*allocation, error) {
	if alloc := r.takeReplacement(); alloc != nil {
		return alloc, nil
	}
	if r.noTimeLeft {
		if alloc := r.allocate(localPrefillOnly); alloc != nil {
			return alloc, nil
		}
		return nil, stoppingRefusal()
	}
	return r.waitForAllocation(localPrefillOnly, out)
}

// waitForAllocation waits in the service's queue until the engines have capacity, while the answer can still be in time.
func (r *request) waitForAllocation(localPrefillOnly bool, out *eventWriter) (*allocation, error) {
	var found *allocation
	output := float64(r.call.ExpectedOutput())
	item := &waitqueue.Item{
		Priority: r.priority(), Value: 1, Cost: (float64(r.call.PromptTokens) + output/2) * output, // mean memory times duration
		Level: r.priority(), Deadline: r.began.Add(r.route.LatencyTarget - firstEventMargin),
	}
	sizes := r.query(localPrefillOnly)
	item.Memory = sizes.PromptTokens + sizes.OutputTokens
	if out.headerSent {
		// An interrupted stream continues before other requests start: its caller has waited and memory was spent on it. It
		// counts as demand of its own priority, so that it holds back nothing where all requests have the same.
		item.Priority, item.Deadline = resumePriority, time.Now().Add(maxResumeWait)
	} else if retryUntil := time.Now().Add(minRetryWait); r.sends > 0 && retryUntil.After(item.Deadline) {
		item.Deadline = retryUntil
	}
	if r.retriedByCaller() {
		item.Value = lateAnswerValue
	}
	item.TryAcquire = func() bool {
		if r.handle != nil && time.Since(r.handleAt) > handleUsableTime(r.service) {
			r.dropHandle()
		}
		if !out.headerSent && r.heldBack(localPrefillOnly) {
			return false
		}
		found = r.allocate(localPrefillOnly)
		return found != nil
	}
	if until, limited := r.limitedUntil(time.Now()); limited && until.After(item.Deadline) {
		return nil, r.noCapacity()
	}
	if !r.waited {
		r.waited = true
		if refusal := r.refuseAtOnce(item, out); refusal != nil {
			return nil, refusal
		}
	}
	queue := r.g.queue(r.service.Name)
	if queue.Wait(r.ctx, item) {
		return found, nil
	}
	return nil, r.noCapacity()
}

// heldBack reports whether the request leaves capacity to more urgent ones that wait at other processes. The first time that an
// engine would have taken it is recorded.
func (r *request) heldBack(localPrefillOnly bool) bool {
	query := r.query(localPrefillOnly)
	moreUrgent, held := r.g.Backlog.HeldBack(r.g.Board, query, r.priority())
	if !held || r.wasHeldBack {
		return held
	}
	if _, r.wasHeldBack = r.g.Board.PlanModel(query); r.wasHeldBack {
		r.recordStep(fmt.Sprintf("held_back requests %d memory %d", moreUrgent.Requests, moreUrgent.MemoryTokens), r.service.Name)
		r.g.Metrics.heldBack.WithLabelValues(r.service.Name).Inc()
	}
	return true
}

// allocate chooses engines for the request and counts its work there; nil if no engine has capacity now.
func (r *request) allocate(localPrefillOnly bool) *allocation {
	query := r.query(localPrefillOnly)
	plan, ok := r.g.Board.PlanModel(query)
	if !ok {
		return nil
	}
	return r.begin(query, plan)
}

// query returns the query for engines for the next attempt.
func (r *request) query(localPrefillOnly bool) placement.Query {
	query := placement.Query{
		Service: r.service, Now: time.Now(), Excluded: r.excluded, LocalPrefillOnly: localPrefillOnly,
		PrefilledBy: r.handleEngine(), CachedAt: r.cachedAt,
	}
	r.addSizes(&query)
	return query
}

// addSizes sets the fields of a query that depend on the sizes and targets of the request.
func (r *request) addSizes(query *placement.Query) {
	query.PromptTokens, query.OutputTokens = r.call.PromptTokens, int(outputMemoryShare*float64(r.call.ExpectedOutput()))
	query.PauseTarget = r.route.PauseTarget
}

// begin counts the work of a plan for a query.
func (r *request) begin(query placement.Query, plan placement.Plan) *allocation {
	alloc := &allocation{Plan: plan, memory: query.PromptTokens + query.OutputTokens, began: query.Now}
	alloc.decodeWork = r.g.Board.BeginRun(plan.Decode.ID, alloc.memory)
	if plan.Prefill != nil {
		alloc.prefillWork = r.g.Board.BeginRun(plan.Prefill.ID, 0)
		alloc.prefillWork.BeginPrefill(query.PromptTokens)
	} else if query.PrefilledBy == nil {
		alloc.decodeWork.BeginPrefill(query.PromptTokens)
	}
	return alloc
}

// handleUsableTime is how long a prefilled KV cache is offered to decode engines. It is less than the time to live, to leave
// time for the request and the transfer.
func handleUsableTime(service *fleet.Service) time.Duration { return service.Engine.HandleTTL * 4 / 5 }

// handleEngine returns the prefill engine that holds the prompt's KV cache; nil if none does.
func (r *request) handleEngine() *fleet.Upstream {
	if r.handle == nil {
		return nil
	}
	return r.prefillEngine
}

// dropHandle frees a prefilled KV cache that will not be fetched.
func (r *request) dropHandle() {
	if r.handle != nil {
		r.g.releaseAsync(r.prefillEngine, r.g.Protocol.Release(r.handle))
		r.handle = nil
	}
}

// tryModel makes one attempt with an allocation. The verdict of its error says whether the decode engine may have run the
// request.
func (r *request) tryModel(alloc *allocation, out *eventWriter) error {
	attempt := &Attempt{Upstream: alloc.Decode, ResumeAfter: out.lastID, KVHandle: r.handle, Permitted: true}
	if alloc.Prefill != nil && !r.mayPrefill() {
		alloc.dropPrefill(r.call.PromptTokens)
	}
	if alloc.Prefill != nil {
		handle, err := r.prefill(alloc)
		if err != nil && verdict.As(err).Reason == wirev1.Reason_REASON_UPSTREAM_BROKE && r.mayRetryPrefill() {
			handle, err = r.prefill(alloc) // only the answer was lost; the engine still has most of the prompt's KV cache
		}
		alloc.prefillWork.End()
		if err != nil {
			r.recordStep("prefill_"+verdict.ReasonName(verdict.As(err).Reason), alloc.Prefill.ID)
			if r.ctx.Err() != nil {
				return err
			}
			if wasSent(err) && !r.chargeRetry() {
				// A prefill that was refused or lost has reached an upstream, so going on counts as a retry.
				return verdict.Refuse(wirev1.Reason_REASON_RETRY_BUDGET, "prefill failed and the retry budget is spent")
			}
			r.excluded[alloc.Prefill.ID] = true
			alloc.decodeWork.BeginPrefill(r.call.PromptTokens)
		}
		attempt.KVHandle, r.handle, r.handleAt, r.prefillEngine = handle, handle, time.Now(), alloc.Prefill
		if err := r.checkQuarantine(); err != nil {
			return err
		}
	}
	if !out.headerSent && r.endsTooLate(&alloc.Plan) { // the prefill took long
		return stoppingRefusal()
	}
	if !r.g.Board.Accepts(alloc.Decode) { // it may have left during the prefill
		return verdict.Refuse(wirev1.Reason_REASON_LEAVING, "%s is leaving", alloc.Decode.ID)
	}
	if r.g.isPaused(alloc.Decode) { // it may have turned another request away during the prefill
		return verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_LIMITED, "%s wants no requests", alloc.Decode.ID)
	}
	attempt.Reservation, alloc.reservation = alloc.reservation, ""
	err := r.decode(attempt, alloc.decodeWork, out)
	if err == nil {
		r.recordFinished(alloc)
	}
	return err
}

// mayPrefill reports whether a prefill engine may process the prompt. Only the first of these calls is free; a later one arrives in
// addition to the retry for which it is made, and is charged to the retry budget.
func (r *request) mayPrefill() bool {
	return r.prefills == 0 || r.g.Budgets.forService(r.service.Name).Allow()
}

// mayRetryPrefill reports whether a failed prefill may be retried, and charges the retry budget if so.
func (r *request) mayRetryPrefill() bool {
	return r.ctx.Err() == nil && time.Since(r.began) < r.route.LatencyTarget/2 && r.g.Budgets.forService(r.service.Name).Allow()
}

// prefill makes a prefill engine process the prompt and returns the handle of its KV cache. It never runs the request itself,
// so it may be repeated.
func (r *request) prefill(alloc *allocation) (*Handle, error) {
	// If the prefill takes far longer than expected, the decode engine processes the prompt instead.
	limit := max(3*alloc.Expected, r.route.LatencyTarget/2)
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	timer := newResponseTimer(limit, func(silence time.Duration) bool {
		if !r.chargeMove() && silence < maxSoundSilence {
			return true
		}
		cancel(errNoResponse)
		return false
	})
	timer.start()
	defer timer.stop()
	r.recordStep("prefill", alloc.Prefill.ID)
	began := time.Now()
	attempt := &Attempt{Upstream: alloc.Prefill, PrefillOnly: true}
	response, err := r.send(ctx, attempt)
	if err == nil || wasSent(err) {
		r.prefills++
	}
	if err != nil {
		r.g.Metrics.CountSend("prefill", "failed")
		return nil, err
	}
	defer response.Close()
	body, err := readAllLimited(response)
	if err != nil && r.ctx.Err() == nil {
		r.g.Board.MarkSuspect(alloc.Prefill.ID, time.Now())
	}
	if err != nil || response.Status != http.StatusOK {
		r.g.Metrics.CountSend("prefill", "failed")
		return nil, &verdict.Refusal{Verdict: verdict.NotRun, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: "prefill failed"}
	}
	if alloc.prefillWork.SolePrefill {
		r.g.Board.RecordPrefillTime(alloc.Prefill.ID, r.call.PromptTokens, time.Now(), time.Since(began))
	}
	r.g.Metrics.CountSend("prefill", "answered")
	handle, err := r.g.Protocol.ReadHandle(attempt, body)
	if err != nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_UPSTREAM_ERROR, "%v", err)
	}
	return handle, nil
}

// readAllLimited reads an answer body of less than maxControlBodyBytes.
func readAllLimited(response *upstreamconn.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxControlBodyBytes))
	if err == nil && len(body) == maxControlBodyBytes {
		err = errors.New("answer exceeds the size limit")
	}
	return body, err
}

// decode sends the request to its decode engine and forwards the events to the caller.
func (r *request) decode(attempt *Attempt, work *placement.Work, out *eventWriter) error {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	r.sends++
	answerTimer := r.startAnswerTimer(attempt.Upstream, cancel)
	defer answerTimer.stop()
	purpose := "decode"
	if attempt.KVHandle == nil {
		purpose = "decode_self"
	}
	r.recordStep(purpose, attempt.Upstream.ID)
	began := time.Now()
	response, err := r.send(ctx, attempt)
	if err != nil {
		r.g.Metrics.CountSend(purpose, "failed")
		if r.mayBeCrash(ctx, err) {
			r.recordCrash(attempt.Upstream)
		}
		err = r.timeoutRefusal(ctx, attempt.Upstream, err)
		if attempt.KVHandle != nil && !keepsHandle(err) {
			r.dropHandle()
		}
		return err
	}
	r.handle = nil
	defer response.Close()
	if response.Status != http.StatusOK {
		answer, err := r.readAnswer(response, attempt.Upstream, work, purpose, answerTimer)
		if err != nil {
			if r.mayBeCrash(ctx, err) {
				r.recordCrash(attempt.Upstream)
			}
			return r.timeoutRefusal(ctx, attempt.Upstream, err)
		}
		return r.forwardEngineError(answer, out)
	}
	var firstAt time.Time
	eventsBefore := r.events.Load()
	out.eventTimer = nil
	defer func() { out.eventTimer.stop() }()
	onFirst := func() {
		answerTimer.stop()
		out.eventTimer = r.newEventTimer(attempt.Upstream, out, cancel)
		firstAt = time.Now()
		r.recordSurvival()
		if attempt.KVHandle == nil && work.SolePrefill && attempt.ResumeAfter == "" {
			r.g.Board.RecordPrefillTime(attempt.Upstream.ID, r.call.PromptTokens, time.Now(), time.Since(began))
		}
		work.EndPrefill()
	}
	out.onEvent = func(events int) {
		r.g.Board.RecordActivity(attempt.Upstream.ID, time.Now())
		work.GrowMemory(r.call.PromptTokens + int(outputGrowthFactor*float64(events*r.service.Engine.TokensPerEvent)))
	}
	if err := out.forward(response, onFirst); err != nil {
		r.g.Metrics.CountSend(purpose, "cut")
		if r.ctx.Err() == nil {
			r.g.Board.MarkSuspect(attempt.Upstream.ID, time.Now())
		}
		if firstAt.IsZero() && r.mayBeCrash(ctx, err) {
			r.recordCrash(attempt.Upstream)
		}
		return r.timeoutRefusal(ctx, attempt.Upstream, err)
	}
	r.g.Board.RecordDecodeTime(attempt.Upstream.ID, int(r.events.Load()-eventsBefore-1)*r.service.Engine.TokensPerEvent, time.Since(firstAt))
	r.g.Metrics.CountSend(purpose, "answered")
	return nil
}

// keepsHandle reports whether a KV cache can still be fetched by another engine after an attempt with it failed: the engine refused
// the request or was not reached.
func keepsHandle(err error) bool {
	switch verdict.As(err).Reason {
	case wirev1.Reason_REASON_NO_PLACE, wirev1.Reason_REASON_UPSTREAM_UNREACHABLE:
		return true
	}
	return false
}

// forwardEngineError delivers an engine's error answer to the caller, or returns an error if the request can be retried or the
// stream has already started.
func (r *request) forwardEngineError(answer *plainAnswer, out *eventWriter) error {
	if out.headerSent || r.route.Repeatable() && r.possibleRuns+1 < r.route.Attempts {
		answer.body.Release()
		return &verdict.Refusal{Verdict: verdict.Ran, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: "the engine answered with an error"}
	}
	return r.deliver(answer)
}

// truncatedAnswer returns the error of an answer that was cut off after its headers.
func truncatedAnswer(err error) error {
	return &verdict.Refusal{Verdict: verdict.Ran, Reason: failureReason(err), Detail: "the answer was cut off: " + err.Error()}
}
