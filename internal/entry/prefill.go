package entry

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// prefilled is a finished prefill whose KV cache the prefill engine still holds.
type prefilled struct {
	upstream *upstream
	link     *link
	call     *wirev1.CallID
	done     *wirev1.PrefillDone
	prompt   string
	at       time.Time
	until    time.Time // eviction
	used     bool
	entry    *Entry
}

// release frees the exported KV cache if no decode engine imported it, which wasted the prefill for the cause. One that was
// imported has been freed at the first token, or at its eviction if that message was lost.
func (p *prefilled) release(cause string) {
	if p.used {
		return
	}
	p.entry.metrics.PrefillWasted(p.upstream.pool, cause, p.done.GetHandle().GetPromptTokens())
	go cancelCall(p.link.peer, p.call)
}

// prefill runs the prompt. decode is the place that is held for its result.
func (c *completion) prefill(p *plan, prompt string, decode *hold) (*prefilled, error) {
	place, err := c.e.reserve(c.ctx, []*upstream{p.prefill}, &wirev1.ReserveRequest{
		Account: c.caller.account, CostTokens: uint64(p.request.PromptTokens), Priority: p.request.PrefillPriority(),
		WaitMs: uint32(max(c.deadline(p.request), 0).Milliseconds()),
	})
	if err != nil {
		return nil, c.waitedInVain(err)
	}
	defer place.close()
	c.e.scheduler.ObserveChoice(p.prefill.name)
	if decode.isLost() {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_RESERVATION, "the decode place was lost before the prefill")
	}
	if err := c.authorize(c.tokens()); err != nil {
		return nil, err
	}
	out := &prefilled{upstream: p.prefill, link: place.link, call: place.request.GetCall(), prompt: prompt, entry: c.e}
	defer place.link.begin()()
	begin := time.Now()
	x := c.exchange(place, &wirev1.Work{Kind: &wirev1.Work_Prefill{Prefill: &wirev1.PrefillWork{
		Model: p.request.Model, Prompt: prompt, Priority: p.request.Priority,
	}}})
	x.onFrame = func(frame *wirev1.Frame) error {
		out.done, out.at = frame.GetPrefillDone(), time.Now()
		out.until = out.at.Add(time.Duration(out.done.GetKeptMs()) * time.Millisecond)
		return nil
	}
	outcome, err := x.run(c.ctx)
	if err == nil {
		err = outcomeError(outcome)
	}
	c.noteFailure(p.prefill.name, err)
	if err != nil {
		c.noteLostPrefill(p.request, err)
		return nil, err
	}
	if out.done == nil {
		return nil, mayHaveRun(wirev1.Reason_REASON_UPSTREAM_ERROR, "the prefill engine returned no KV cache")
	}
	c.e.scheduler.ObservePrefill(p.prefill.name, p.request.PromptTokens-int(out.done.GetCachedTokens()), time.Since(begin))
	c.e.metrics.Prefilled(c.model.GetName(), out.done.GetHandle().GetPromptTokens())
	return out, nil
}

// noteLostPrefill counts a prefill that may have run and left nothing that a decode engine could use.
func (c *completion) noteLostPrefill(request *scheduler.Request, err error) {
	if verdict.As(err).Verdict == verdict.NotRun {
		return
	}
	tokens := uint32(request.PromptTokens)
	c.e.metrics.Prefilled(c.model.GetName(), tokens)
	c.e.metrics.PrefillWasted(c.model.GetName(), c.wasteCause(err), tokens)
}

func (c *completion) exchange(place *hold, work *wirev1.Work) *exchange {
	c.e.events.Record("dispatched", c.name, place.upstream.name, events.Field("call", call.FromWire(place.request.GetCall())))
	return &exchange{
		peer: place.link.peer, logger: c.e.logger, clock: c.e.events, onEvent: c.event(place.upstream.name),
		request: &wirev1.ExecuteRequest{
			Call: place.request.GetCall(), Nonce: place.nonce, Account: c.caller.account, ChargedTokens: c.tokens(), Work: work,
		},
	}
}
