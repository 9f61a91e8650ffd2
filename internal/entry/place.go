package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// decodeTargets returns the decode engines to ask for a place, without one that has just failed the request.
func (c *completion) decodeTargets(request *scheduler.Request, except *upstream) []*upstream {
	list := c.e.upstreams.find(request.Model, wirev1.EngineRole_ENGINE_ROLE_DECODE)
	options := candidates(list)
	for i := range options {
		if except != nil && options[i].Upstream == except.name {
			options[i].Connected = false
		}
	}
	chosen := c.e.scheduler.Decode(request, options)
	for _, candidate := range chosen {
		c.e.scheduler.ObserveChoice(candidate.Upstream)
	}
	return byName(list, chosen)
}

func (c *completion) decodeRequest(p *plan, ready time.Duration, ask scheduler.Ask) *wirev1.ReserveRequest {
	return &wirev1.ReserveRequest{
		Account: c.caller.account, CostTokens: p.request.DecodeCost(), ReadyInMs: uint32(ready.Milliseconds()),
		WaitMs: uint32(max(0, min(ask.Wait, maxWait)).Milliseconds()), Priority: ask.Priority,
		ExpectedOutputTokens: uint32(max(1, p.request.MaxTokens)),
	}
}

// reserveDecode gets a decode place for the moment at which the prefill will be ready.
func (c *completion) reserveDecode(p *plan) (*hold, error) {
	ready := time.Duration(p.quote.Reply.GetReadyInMs()) * time.Millisecond
	var err error = verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no time left to wait for a place")
	for _, ask := range p.request.DecodeAsks(time.Since(c.begin), p.estimate) {
		var place *hold
		place, err = c.e.reserve(c.ctx, c.decodeTargets(p.request, nil), c.decodeRequest(p, ready, ask))
		if err == nil {
			p.granted = time.Now()
			return place, nil
		}
		if verdict.As(err).Reason != wirev1.Reason_REASON_NO_PLACE {
			break
		}
	}
	return nil, c.waitedInVain(err)
}

// waitedInVain turns a refusal for want of places into one that is not retried: the request has waited as long as it may.
func (c *completion) waitedInVain(err error) error {
	refusal := verdict.As(err)
	if refusal.Reason != wirev1.Reason_REASON_NO_PLACE || len(c.delivered) > 0 {
		return err
	}
	missed := verdict.Refuse(wirev1.Reason_REASON_TARGET_MISSED, "%s", refusal.Detail)
	missed.RetryAfter = refusal.RetryAfter
	return missed
}

// refresh plans again if the wait for the decode place was long, because the quote is too old by then.
func (c *completion) refresh(p *plan, prompt string, asked time.Time) (*plan, error) {
	if time.Since(asked) < scheduler.RequoteWait {
		return p, nil
	}
	fresh, err := c.plan(prompt)
	if err != nil {
		return nil, err
	}
	fresh.granted = p.granted
	return fresh, nil
}

// decodeAnywhere takes the finished prefill to the reserved place. If that place is late, lost or cannot import, it takes the
// first place that another engine gives before the KV cache is evicted, which saves the prefill.
func (c *completion) decodeAnywhere(pl *plan, place *hold, p *prefilled) (*wirev1.Outcome, error) {
	for {
		outcome, err := c.decode(pl, place, p)
		if err == nil || p.used || c.ctx.Err() != nil || !time.Now().Before(p.until) || !mayImportElsewhere(err) {
			return outcome, err
		}
		c.e.events.Record("import_elsewhere", c.name, place.upstream.name, events.Field("reason", reasonOf(err)))
		other, otherErr := c.placeNow(pl, p, place.upstream)
		if otherErr != nil {
			return nil, err
		}
		defer other.close()
		place = other
	}
}

// placeNow asks other decode engines for an immediate place until the KV cache is evicted.
func (c *completion) placeNow(pl *plan, p *prefilled, except *upstream) (*hold, error) {
	ctx, cancel := context.WithDeadline(c.ctx, p.until)
	defer cancel()
	ask := scheduler.Ask{Wait: time.Until(p.until), Priority: pl.request.PrefillPriority()}
	return c.e.reserve(ctx, c.decodeTargets(pl.request, except), c.decodeRequest(pl, 0, ask))
}

// mayImportElsewhere reports whether another engine can still import the KV cache: no token was produced from it.
func mayImportElsewhere(err error) bool {
	var refusal *verdict.Refusal
	if !errors.As(err, &refusal) || !retryable(refusal) {
		return false
	}
	return refusal.Reason != wirev1.Reason_REASON_EVICTED
}

func reasonOf(err error) string { return verdict.ReasonName(verdict.As(err).Reason) }
