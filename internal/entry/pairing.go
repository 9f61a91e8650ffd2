package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/prefix"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// affinityBlockTokens is the length of the prompt blocks whose hashes route equal prefixes to the same prefill engine.
	affinityBlockTokens = 2048
	quoteTimeout        = 500 * time.Millisecond
	// maxPlaceWait limits the wait for a place, also for a model with a larger patience.
	maxPlaceWait = 2 * time.Minute
)

// plan is the chosen prefill engine of an attempt with its quote and estimates.
type plan struct {
	prefill            *upstream
	quote              scheduler.Quote
	request            *scheduler.Request
	firstTokenEstimate time.Duration // from the grant of the decode place to the first token
	placeGrantedAt     time.Time     // when the decode place was granted
	// prefillPlace is the place for the prefill if it was reserved with the plan.
	prefillPlace *reservation
}

func candidates(list []*upstream) []scheduler.Candidate {
	out := make([]scheduler.Candidate, len(list))
	for i, u := range list {
		out[i] = u.candidate()
	}
	return out
}

// upstreamsOf returns the upstreams in list that were chosen.
func upstreamsOf(list []*upstream, chosen []scheduler.Candidate) []*upstream {
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
		Priority: int32(c.params.Priority), Weight: c.entry.weight(c.caller.account), Continued: len(c.delivered) > 0,
	}
}

// remainingWait returns the time that is left for the next token.
func (c *completion) remainingWait(request *scheduler.Request) time.Duration {
	if request.Continued {
		return maxStreamGap - time.Since(c.lastToken)
	}
	return min(request.FirstTokenLimit()-time.Since(c.startTime), maxPlaceWait)
}

// firstTokenLimit returns the longest acceptable time to the first token.
func (c *completion) firstTokenLimit() time.Duration {
	request := scheduler.Request{
		FirstTokenTarget: c.model.GetFirstTokenTarget().AsDuration(), Patience: c.model.GetPatience(),
	}
	return request.FirstTokenLimit()
}

// plan gets quotes from a few prefill engines and chooses the one that is ready first, or refuses the request early.
func (c *completion) plan(ctx context.Context, prompt string) (*plan, error) {
	request := c.schedulerRequest(prompt)
	if len(request.BlockHashes) > 0 {
		c.entry.upstreams.linkPreferred(ctx, request.Model, wirev1.EngineRole_ENGINE_ROLE_PREFILL, request.BlockHashes[0])
	}
	list := c.entry.upstreams.linkedUpstreams(request.Model, wirev1.EngineRole_ENGINE_ROLE_PREFILL)
	chosen := c.entry.scheduler.Prefill(request, candidates(list))
	if len(chosen) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no prefill engine of %s accepts work now", request.Model)
	}
	best, ok := c.entry.scheduler.ChooseQuote(request, c.quoteAll(ctx, upstreamsOf(list, chosen), chosen, request))
	if !ok {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no prefill engine of %s accepts work now", request.Model)
	}
	request.PrefillDataCentre = best.Candidate.DataCentre
	p := &plan{prefill: upstreamsOf(list, []scheduler.Candidate{best.Candidate})[0], quote: best, request: request}
	if refusal := c.refuseEarly(p); refusal != nil {
		return nil, refusal
	}
	return p, nil
}

// quoteAll requests quotes concurrently. The quote of an engine that does not respond has no reply.
func (c *completion) quoteAll(
	ctx context.Context, list []*upstream, chosen []scheduler.Candidate, request *scheduler.Request,
) []scheduler.Quote {
	ctx, cancel := context.WithTimeout(ctx, quoteTimeout)
	defer cancel()
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Quote{Quote: &wirev1.QuoteRequest{
		PromptTokens: uint32(request.PromptTokens), BlockHashes: request.BlockHashes, Account: request.Account,
	}}}
	quotes := make([]scheduler.Quote, len(chosen))
	var group sync.WaitGroup
	for i, u := range list {
		group.Go(func() {
			quotes[i].Candidate = chosen[i]
			session := u.session()
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

// refuseEarly estimates the time to the first token, and refuses a request that would miss its target before a prefill is
// spent on it.
func (c *completion) refuseEarly(p *plan) error {
	list := c.entry.upstreams.linkedUpstreams(p.request.Model, wirev1.EngineRole_ENGINE_ROLE_DECODE)
	chosen := c.entry.scheduler.Decode(p.request, candidates(list))
	if len(chosen) == 0 {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no decode engine of %s accepts work now", p.request.Model)
	}
	p.firstTokenEstimate = c.entry.scheduler.EstimateFirstToken(p.request, p.quote, chosen[0])
	if p.request.Continued {
		return nil
	}
	if refusal := c.entry.scheduler.RefuseEarly(p.request, p.firstTokenEstimate+time.Since(c.startTime)); refusal != nil {
		return refusal
	}
	return nil
}
