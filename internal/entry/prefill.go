package entry

import (
	"context"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// prefilled is a finished prefill whose KV cache is held by the prefill engine until it is imported or evicted.
type prefilled struct {
	upstream   *upstream
	link       *link
	call       *wirev1.CallID
	done       *wirev1.PrefillDone
	prompt     string
	finishedAt time.Time
	evictedAt  time.Time // when the prefill engine evicts the KV cache
	imported   bool
	entry      *Entry
}

// release frees the exported KV cache if no decode engine imported it, and counts the prefill as wasted for a cause. An
// imported cache was already freed at the first token, or is freed by its eviction if that message was lost.
func (p *prefilled) release(cause string) {
	if p.imported {
		return
	}
	p.entry.metrics.PrefillWasted(p.upstream.pool, cause, p.done.GetHandle().GetPromptTokens())
	go cancelCall(p.link.peer, p.call)
}

// prefill runs the prefill of a prompt. decodePlace is the place that is reserved for the decode.
func (c *completion) prefill(p *plan, prompt string, decodePlace *reservation) (*prefilled, error) {
	place := p.prefillPlace
	if place == nil {
		var err error
		if place, err = c.reservePrefill(c.ctx, p, c.remainingWait(p.request)); err != nil {
			return nil, c.placeWaitExpired(err)
		}
	}
	defer place.close()
	c.entry.scheduler.ObserveChoice(p.prefill.name)
	if decodePlace.isRevoked() {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_RESERVATION, "the place at the decode engine was revoked before the prefill")
	}
	if err := c.authorize(c.ctx, c.chargeTokens()); err != nil {
		return nil, err
	}
	result := &prefilled{upstream: p.prefill, link: place.link, call: place.request.GetCall(), prompt: prompt, entry: c.entry}
	endCall, err := place.link.beginCall()
	if err != nil {
		return nil, err
	}
	defer endCall()
	if err := c.enterQuarantine(); err != nil {
		return nil, err
	}
	begin := time.Now()
	x := c.newExchange(place, &wirev1.Work{Kind: &wirev1.Work_Prefill{Prefill: &wirev1.PrefillWork{
		Model: p.request.Model, Prompt: prompt, Priority: p.request.Priority,
	}}})
	x.onFrame = func(frame *wirev1.Frame) error {
		result.done, result.finishedAt = frame.GetPrefillDone(), time.Now()
		result.evictedAt = result.finishedAt.Add(time.Duration(result.done.GetKeptMs()) * time.Millisecond)
		return nil
	}
	outcome, err := c.prefillMover(p).run(x)
	if err == nil {
		err = outcomeError(outcome)
	}
	c.reportUpstreamFailure(p.prefill.name, err)
	c.recordCrash(p.prefill.name, outcome)
	if err != nil {
		c.recordLostPrefill(p.request, err)
		return nil, err
	}
	if result.done == nil {
		return nil, mayHaveRun(wirev1.Reason_REASON_UPSTREAM_ERROR, "the prefill engine returned no KV cache")
	}
	c.entry.scheduler.ObservePrefill(p.prefill.name, p.request.PromptTokens-int(result.done.GetCachedTokens()), time.Since(begin))
	c.entry.metrics.Prefilled(c.model.GetName(), result.done.GetHandle().GetPromptTokens())
	return result, nil
}

// reservePrefill reserves the place for the prefill of a plan.
func (c *completion) reservePrefill(ctx context.Context, p *plan, wait time.Duration) (*reservation, error) {
	return c.entry.reserve(ctx, []*upstream{p.prefill}, &wirev1.ReserveRequest{
		Account: c.caller.account, CostTokens: uint64(p.request.PromptTokens), Priority: p.request.PrefillPriority(),
		WaitMs: uint32(max(wait, 0).Milliseconds()),
	})
}

// recordLostPrefill counts a prefill that may have run but left no KV cache for a decode engine.
func (c *completion) recordLostPrefill(request *scheduler.Request, err error) {
	if verdict.As(err).Verdict == verdict.NotRun {
		return
	}
	tokens := uint32(request.PromptTokens)
	c.entry.metrics.Prefilled(c.model.GetName(), tokens)
	c.entry.metrics.PrefillWasted(c.model.GetName(), c.wasteCause(err), tokens)
}

func (c *completion) newExchange(place *reservation, work *wirev1.Work) *exchange {
	c.recordDispatch(place.upstream.name, place.request.GetCall())
	return &exchange{
		peer: place.link.peer, logger: c.entry.logger, clock: c.entry.events, onEvent: c.eventRecorder(place.upstream.name),
		request: &wirev1.ExecuteRequest{
			Call: place.request.GetCall(), Nonce: place.nonce, Account: c.caller.account, ChargedTokens: c.chargeTokens(), Work: work,
		},
	}
}
