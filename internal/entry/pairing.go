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
	estimate time.Duration // from the grant of a decode place to the first token
	granted  time.Time     // of the decode place
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
		Priority: int32(c.in.Priority), Weight: c.e.weight(c.caller.account), Continued: len(c.delivered) > 0,
	}
}

// deadline is the longest useful wait for the next token from now on.
func (c *completion) deadline(request *scheduler.Request) time.Duration {
	if request.Continued {
		return continueLimit - time.Since(c.lastToken)
	}
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
	if len(request.BlockHashes) > 0 {
		c.e.upstreams.reach(c.ctx, request.Model, wirev1.EngineRole_ENGINE_ROLE_PREFILL, request.BlockHashes[0])
	}
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
	p := &plan{prefill: byName(list, []scheduler.Candidate{best.Candidate})[0], quote: best, request: request}
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

// refuseEarly refuses a request that cannot have its first token in time, before it costs a prefill.
func (c *completion) refuseEarly(p *plan) error {
	list := c.e.upstreams.find(p.request.Model, wirev1.EngineRole_ENGINE_ROLE_DECODE)
	chosen := c.e.scheduler.Decode(p.request, candidates(list))
	if len(chosen) == 0 {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no decode engine of %s accepts work now", p.request.Model)
	}
	p.estimate = c.e.scheduler.EstimateFirstToken(p.request, p.quote, chosen[0])
	if p.request.Continued {
		return nil
	}
	if refusal := c.e.scheduler.RefuseEarly(p.request, p.estimate+time.Since(c.begin)); refusal != nil {
		return refusal
	}
	return nil
}
