package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/prefix"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// affinityBlockTokens is the length of the blocks whose hashes steer prompts to the same prefill engine.
	affinityBlockTokens = 2048
	quoteTimeout        = 500 * time.Millisecond
	// maxWait limits the wait for a place whatever the patience of a model is.
	maxWait = 2 * time.Minute
)

// plan is the choice of a prefill engine with its estimate.
type plan struct {
	prefill  *upstream
	quote    scheduler.Quote
	request  *scheduler.Request
	estimate time.Duration // from at to the first token
	at       time.Time
}

func candidates(list []*upstream) []scheduler.Candidate {
	out := make([]scheduler.Candidate, len(list))
	for i, u := range list {
		out[i] = u.candidate()
	}
	return out
}

// byName returns the upstreams of the few chosen candidates.
func byName(list []*upstream, chosen []scheduler.Candidate) []*upstream {
	out := make([]*upstream, 0, len(chosen))
	for _, candidate := range chosen {
		i := slices.IndexFunc(list, func(u *upstream) bool { return u.name == candidate.Upstream })
		out = append(out, list[i])
	}
	return out
}

func (c *completion) schedulerRequest(prompt string) *scheduler.Request {
	return &scheduler.Request{
		Account: c.caller.account, Model: c.model.GetName(), PromptTokens: prefix.TokenCount(prompt),
		MaxTokens: c.maxTokens - len(c.delivered), BlockHashes: prefix.BlockHashes(prompt, affinityBlockTokens),
		FirstTokenTarget: c.model.GetFirstTokenTarget().AsDuration(), Patience: c.model.GetPatience(),
		Priority: int32(c.in.Priority),
	}
}

// deadline is the longest useful wait for the first token from now on.
func (c *completion) deadline(request *scheduler.Request) time.Duration {
	return min(request.FirstTokenLimit()-time.Since(c.begin), maxWait)
}

// firstTokenLimit is the longest acceptable time to the first token.
func (c *completion) firstTokenLimit() time.Duration {
	request := scheduler.Request{
		FirstTokenTarget: c.model.GetFirstTokenTarget().AsDuration(), Patience: c.model.GetPatience(),
	}
	return request.FirstTokenLimit()
}

// plan quotes a few prefill engines and takes the one that is ready first, or refuses early.
func (c *completion) plan(prompt string) (*plan, error) {
	request := c.schedulerRequest(prompt)
	list := c.e.upstreams.find(request.Model, wirev1.EngineRole_ENGINE_ROLE_PREFILL)
	chosen := c.e.scheduler.Prefill(request, candidates(list))
	if len(chosen) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no prefill engine of %s accepts work now", request.Model)
	}
	best, ok := c.e.scheduler.ChooseQuote(request, c.quoteAll(byName(list, chosen), chosen, request))
	if !ok {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no prefill engine of %s accepts work now", request.Model)
	}
	request.PrefillDataCentre = best.Candidate.DataCentre
	p := &plan{prefill: byName(list, []scheduler.Candidate{best.Candidate})[0], quote: best, request: request, at: time.Now()}
	if refusal := c.refuseEarly(p); refusal != nil {
		return nil, refusal
	}
	return p, nil
}

func (c *completion) quoteAll(
	list []*upstream, chosen []scheduler.Candidate, request *scheduler.Request,
) []scheduler.Quote {
	ctx, cancel := context.WithTimeout(c.ctx, quoteTimeout)
	defer cancel()
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Quote{Quote: &wirev1.QuoteRequest{
		PromptTokens: uint32(request.PromptTokens), BlockHashes: request.BlockHashes,
	}}}
	quotes := make([]scheduler.Quote, len(chosen))
	var group sync.WaitGroup
	for i, u := range list {
		group.Go(func() {
			quotes[i].Candidate = chosen[i]
			session := u.peer.Session()
			if session == nil {
				return
			}
			reply := new(wirev1.QuoteReply)
			if session.Call(ctx, open, reply) == nil {
				quotes[i].Reply = reply
			}
		})
	}
	group.Wait()
	return quotes
}

// refuseEarly refuses a request that cannot have its first token in time, before it costs a prefill.
func (c *completion) refuseEarly(p *plan) error {
	list := c.e.upstreams.find(p.request.Model, wirev1.EngineRole_ENGINE_ROLE_DECODE)
	chosen := c.e.scheduler.Decode(p.request, candidates(list))
	if len(chosen) == 0 {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no decode engine of %s accepts work now", p.request.Model)
	}
	p.estimate = c.e.scheduler.EstimateFirstToken(p.request, p.quote, chosen[0])
	if refusal := c.e.scheduler.RefuseEarly(p.request, p.estimate+time.Since(c.begin)); refusal != nil {
		return refusal
	}
	return nil
}

// reserveDecode gets a decode place for the moment at which the prefill will be ready.
func (c *completion) reserveDecode(p *plan) (*hold, error) {
	ready := p.quote.Reply.GetReadyInMs()
	wait := c.deadline(p.request) - time.Duration(ready)*time.Millisecond
	if wait <= 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_TARGET_MISSED, "the first token would be too late")
	}
	list := c.e.upstreams.find(p.request.Model, wirev1.EngineRole_ENGINE_ROLE_DECODE)
	chosen := byName(list, c.e.scheduler.Decode(p.request, candidates(list)))
	return c.e.reserve(c.ctx, chosen, &wirev1.ReserveRequest{
		Account: c.caller.account, CostTokens: c.tokens(), ReadyInMs: ready,
		WaitMs: uint32(wait.Milliseconds()), Priority: p.request.Priority, ExpectedOutputTokens: uint32(p.request.MaxTokens),
	})
}

// prefilled is a finished prefill whose KV cache the prefill engine still holds.
type prefilled struct {
	upstream *upstream
	call     *wirev1.CallID
	done     *wirev1.PrefillDone
	prompt   string
	at       time.Time
	used     bool
	entry    *Entry
}

// release frees the exported KV cache. One that no decode engine imported was wasted for the cause.
func (p *prefilled) release(cause string) {
	if !p.used {
		p.entry.metrics.PrefillWasted(p.upstream.pool, cause, p.done.GetHandle().GetPromptTokens())
	}
	go cancelCall(p.upstream.peer, p.call)
}

func (c *completion) prefill(p *plan, prompt string) (*prefilled, error) {
	place, err := c.e.reserve(c.ctx, []*upstream{p.prefill}, &wirev1.ReserveRequest{
		Account: c.caller.account, CostTokens: uint64(p.request.PromptTokens), Priority: p.request.Priority,
		WaitMs: uint32(max(c.deadline(p.request), 0).Milliseconds()),
	})
	if err != nil {
		return nil, err
	}
	defer place.close()
	c.e.scheduler.ObserveChoice(p.prefill.name)
	if err := c.authorize(c.tokens()); err != nil {
		return nil, err
	}
	out := &prefilled{upstream: p.prefill, call: place.request.GetCall(), prompt: prompt, entry: c.e}
	p.prefill.calls.Add(1)
	defer p.prefill.calls.Add(-1)
	begin := time.Now()
	x := c.exchange(place, &wirev1.Work{Kind: &wirev1.Work_Prefill{Prefill: &wirev1.PrefillWork{
		Model: p.request.Model, Prompt: prompt, Priority: p.request.Priority,
	}}})
	x.onFrame = func(frame *wirev1.Frame) error {
		out.done, out.at = frame.GetPrefillDone(), time.Now()
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
	c.e.events.Record("dispatched", c.name, place.upstream.name, field("call", call.FromWire(place.request.GetCall())))
	return &exchange{
		peer: place.upstream.peer, logger: c.e.logger, clock: c.e.events, onEvent: c.event(place.upstream.name),
		request: &wirev1.ExecuteRequest{
			Call: place.request.GetCall(), Nonce: place.nonce, Account: c.caller.account, ChargedTokens: c.tokens(), Work: work,
		},
	}
}

// decode imports the KV cache and passes the tokens on.
func (c *completion) decode(pl *plan, place *hold, p *prefilled) (*wirev1.Outcome, error) {
	session := place.upstream.peer.Session()
	if session == nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "the decode engine was lost during the prefill")
	}
	nonce, err := freshNonce(c.ctx, session)
	if err != nil {
		return nil, err
	}
	place.nonce = nonce
	if err := c.e.recheck(c.caller); err != nil {
		return nil, err
	}
	x := c.exchange(place, &wirev1.Work{Kind: &wirev1.Work_Decode{Decode: &wirev1.DecodeWork{
		Model: c.model.GetName(), Prompt: p.prompt, Handle: p.done.GetHandle(),
		MaxTokens: uint32(c.maxTokens - len(c.delivered)), Priority: int32(c.in.Priority),
	}}})
	x.onFrame = func(frame *wirev1.Frame) error { return c.onToken(frame, pl, place, p) }
	from, to, tokens := pl.quote.Candidate.DataCentre, session.Remote().GetDataCentre(), pl.request.PromptTokens
	c.e.scheduler.StartTransfer(from, to, tokens)
	outcome, err := x.run(c.ctx)
	if !p.used {
		c.e.scheduler.AbandonTransfer(from, to, tokens)
	}
	if err == nil {
		err = outcomeError(outcome)
	}
	c.noteFailure(place.upstream.name, err)
	return outcome, err
}

func (c *completion) onToken(frame *wirev1.Frame, pl *plan, place *hold, p *prefilled) error {
	token := frame.GetToken()
	if token == nil {
		return nil
	}
	now := time.Now()
	if !p.used {
		p.used = true
		c.e.scheduler.ObserveTransfer(
			pl.quote.Candidate.DataCentre, place.upstream.dataCentre(), pl.request.PromptTokens, now.Sub(p.at))
		go cancelCall(p.upstream.peer, p.call)
	}
	if c.firstToken.IsZero() {
		c.firstToken = now
		c.e.scheduler.ObserveFirstToken(pl.estimate, now.Sub(pl.at))
		c.e.events.Record("first_token", c.name, place.upstream.name,
			field("elapsed_ms", now.Sub(c.begin).Milliseconds()))
		c.e.metrics.FirstToken(c.model.GetName(), now.Sub(c.begin))
	} else {
		c.gapSum += now.Sub(c.lastToken)
		c.e.metrics.TokenGap(c.model.GetName(), now.Sub(c.lastToken))
	}
	c.lastToken = now
	if err := c.writer.Token(token.GetText()); err != nil {
		return err
	}
	c.delivered = append(c.delivered, token.GetText())
	return nil
}
