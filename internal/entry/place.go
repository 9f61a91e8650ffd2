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

// decodeCandidates returns the decode engines to request a place from, except the excluded one, which has just failed the
// request.
func (c *completion) decodeCandidates(request *scheduler.Request, excluded *upstream) []*upstream {
	list := c.entry.upstreams.linkedUpstreams(request.Model, wirev1.EngineRole_ENGINE_ROLE_DECODE)
	options := candidates(list)
	for i := range options {
		if excluded != nil && options[i].Upstream == excluded.name {
			options[i].Connected = false
		}
	}
	chosen := c.entry.scheduler.Decode(request, options)
	for _, candidate := range chosen {
		c.entry.scheduler.ObserveChoice(candidate.Upstream)
	}
	return upstreamsOf(list, chosen)
}

func (c *completion) decodeReserveRequest(p *plan, ready time.Duration, attempt scheduler.ReservationAttempt) *wirev1.ReserveRequest {
	return &wirev1.ReserveRequest{
		Account: c.caller.account, CostTokens: p.request.DecodeCost(), ReadyInMs: uint32(ready.Milliseconds()),
		WaitMs: uint32(max(0, min(attempt.Wait, maxPlaceWait)).Milliseconds()), Priority: attempt.Priority,
		ExpectedOutputTokens: uint32(max(1, p.request.MaxTokens)),
	}
}

// reserveDecode reserves a place at a decode engine for the time at which the prefill is expected to be ready.
func (c *completion) reserveDecode(p *plan) (*reservation, error) {
	ready := time.Duration(p.quote.Reply.GetReadyInMs()) * time.Millisecond
	var err error = verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "the latency target leaves no time to wait for a place")
	for _, attempt := range p.request.DecodeAttempts(time.Since(c.startTime), p.firstTokenEstimate) {
		var place *reservation
		place, err = c.entry.reserve(c.ctx, c.decodeCandidates(p.request, nil), c.decodeReserveRequest(p, ready, attempt))
		if err == nil {
			p.placeGrantedAt = time.Now()
			return place, nil
		}
		if verdict.As(err).Reason != wirev1.Reason_REASON_NO_PLACE {
			break
		}
	}
	return nil, c.placeWaitExpired(err)
}

// placeWaitExpired turns a refusal for lack of places into REASON_TARGET_MISSED, which is not retried, because the request
// has waited as long as its latency target permits. A request that has delivered tokens keeps the refusal and may be retried.
func (c *completion) placeWaitExpired(err error) error {
	refusal := verdict.As(err)
	if refusal.Reason != wirev1.Reason_REASON_NO_PLACE || len(c.delivered) > 0 {
		return err
	}
	targetMissed := verdict.Refuse(wirev1.Reason_REASON_TARGET_MISSED, "%s", refusal.Detail)
	targetMissed.RetryAfter = refusal.RetryAfter
	return targetMissed
}

// replanIfStale plans again if the wait for the decode place was so long that the quote is out of date.
func (c *completion) replanIfStale(p *plan, prompt string, reserveStart time.Time) (*plan, error) {
	if time.Since(reserveStart) < scheduler.QuoteMaxAge {
		return p, nil
	}
	replanned, err := c.plan(c.ctx, prompt)
	if err != nil {
		return nil, err
	}
	replanned.placeGrantedAt = p.placeGrantedAt
	return replanned, nil
}

// decodeWithFallback runs the decode at the reserved place. If that place is not free in time, was revoked, or its engine
// cannot import the KV cache, it uses the first place that another engine grants before the KV cache is evicted, so the prefill
// is not wasted. An engine that may have run the decode makes it a retry.
func (c *completion) decodeWithFallback(p *plan, place *reservation, prefill *prefilled) (*wirev1.Outcome, error) {
	for {
		outcome, err := c.decode(p, place, prefill)
		if c.replacement != nil {
			return outcome, err
		}
		if err == nil || prefill.imported || c.ctx.Err() != nil || !time.Now().Before(prefill.evictedAt) || !canImportElsewhere(err) {
			return outcome, err
		}
		mayHaveRun := verdict.As(err).Verdict != verdict.NotRun
		if mayHaveRun && !c.entry.budget.Permits() {
			return nil, err
		}
		c.entry.events.Record("import_elsewhere", c.name, place.upstream.name, events.Field("reason", reasonName(err)))
		fallback, fallbackErr := c.reserveElsewhere(c.ctx, p, prefill, place.upstream)
		if fallbackErr != nil {
			return nil, err
		}
		defer fallback.close()
		if mayHaveRun && !c.entry.budget.Allow() {
			return nil, err
		}
		c.ranEarlier = c.ranEarlier || mayHaveRun
		place = fallback
	}
}

// reserveElsewhere requests an immediate place from the other decode engines until the KV cache is evicted.
func (c *completion) reserveElsewhere(
	ctx context.Context, p *plan, prefill *prefilled, excluded *upstream,
) (*reservation, error) {
	ctx, cancel := context.WithDeadline(ctx, prefill.evictedAt)
	defer cancel()
	attempt := scheduler.ReservationAttempt{Wait: time.Until(prefill.evictedAt), Priority: p.request.PrefillPriority()}
	return c.entry.reserve(ctx, c.decodeCandidates(p.request, excluded), c.decodeReserveRequest(p, 0, attempt))
}

// canImportElsewhere reports whether, after an error of a decode that produced no token, another engine can still import the
// KV cache.
func canImportElsewhere(err error) bool {
	var refusal *verdict.Refusal
	if !errors.As(err, &refusal) || !isRetryable(refusal) {
		return false
	}
	return refusal.Reason != wirev1.Reason_REASON_EVICTED
}

func reasonName(err error) string { return verdict.ReasonName(verdict.As(err).Reason) }
