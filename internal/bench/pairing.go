package bench

import (
	"context"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"

	"github.com/fulmardoor/fulmardoor/internal/places"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// lateWait is how long a promised place may be late before other decode engines are asked.
const lateWait = places.DefaultLateLimit

// choosePrefill returns the prefill engine by the policy. For the product's choice it also sets the estimates, and may
// refuse early.
func (a *attempt) choosePrefill() (*sidecar, error) {
	candidates := a.fleet.candidates()
	if a.policy.Choice != ChooseScheduler {
		s := a.naiveChoice(candidates, prefillRole)
		if s == nil {
			return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no prefill engine")
		}
		return s, nil
	}
	var quotes []scheduler.Quote
	var far time.Duration
	for _, c := range a.scheduler.Prefill(a.request, candidates) {
		s := a.fleet.find(c.Upstream)
		reply := s.quote(a.accounts, a.request.PromptTokens, a.call.Blocks)
		quotes = append(quotes, scheduler.Quote{Candidate: c, Reply: reply})
		far = max(far, a.fleet.deployment.latency(a.dataCentre, s.dataCentre))
	}
	time.Sleep(2 * far)
	quote, ok := a.scheduler.ChooseQuote(a.request, quotes)
	if !ok {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no prefill engine")
	}
	a.request.PrefillDataCentre = quote.Candidate.DataCentre
	a.ready = time.Duration(quote.Reply.GetReadyInMs()) * time.Millisecond
	decode := a.scheduler.Decode(a.request, candidates)
	if len(decode) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no decode engine")
	}
	a.estimate = a.scheduler.EstimateFirstToken(a.request, quote, decode[0])
	if a.policy.RefuseEarly && a.delivered.tokens == 0 {
		if refusal := a.scheduler.RefuseEarly(a.request, a.estimate+time.Since(a.arrived)); refusal != nil {
			return nil, refusal
		}
	}
	return a.fleet.find(quote.Candidate.Upstream), nil
}

// refreshPrefill chooses the prefill engine again if the wait for the decode place was long.
func (a *attempt) refreshPrefill(prefill *sidecar, since time.Time) (*sidecar, error) {
	if a.policy.Choice != ChooseScheduler || time.Since(since) < scheduler.RequoteWait {
		return prefill, nil
	}
	return a.choosePrefill()
}

// naiveChoice takes the next upstream in turn, or the one with the least reported load.
func (a *attempt) naiveChoice(candidates []scheduler.Candidate, role wirev1.EngineRole) *sidecar {
	var usable []scheduler.Candidate
	for _, c := range candidates {
		if c.Role == role && c.Load.GetAccepting() {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	best := usable[int(a.turn.Add(1))%len(usable)]
	if a.policy.Choice == ChooseLeastLoad {
		for _, c := range usable {
			if loadOf(c) < loadOf(best) {
				best = c
			}
		}
	}
	return a.fleet.find(best.Upstream)
}

func loadOf(c scheduler.Candidate) int {
	return int(c.Load.GetWaiting()) - int(c.Load.GetPlacesFree())
}

// decodeTargets returns the decode engines to ask.
func (a *attempt) decodeTargets(except *held) []*sidecar {
	candidates := a.fleet.candidates()
	if a.policy.Choice != ChooseScheduler {
		if s := a.naiveChoice(candidates, decodeRole); s != nil {
			return []*sidecar{s}
		}
		return nil
	}
	if except != nil {
		for i, c := range candidates {
			if c.Upstream == except.sidecar.name {
				candidates[i].Connected = false
			}
		}
	}
	var targets []*sidecar
	for _, c := range a.scheduler.Decode(a.request, candidates) {
		targets = append(targets, a.fleet.find(c.Upstream))
	}
	return targets
}

// reserveDecode reserves a decode place for the time when the prefill is ready.
func (a *attempt) reserveDecode(ctx context.Context) (*held, error) {
	ready := a.ready
	if a.policy.Reserve == ReserveAtArrival {
		ready = 0
	}
	var err error = verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "no time left to wait for a place")
	for _, ask := range a.request.DecodeAsks(time.Since(a.arrived), a.estimate) {
		var h *held
		h, err = a.reserveFirst(ctx, a.decodeTargets(nil), a.decodeRequest(ready, ask))
		if err == nil {
			a.granted = time.Now()
			if a.policy.Reserve == ReserveAtArrival {
				return h, h.reservation.Begin(ctx)
			}
			return h, nil
		}
		if verdict.As(err).Reason != wirev1.Reason_REASON_NO_PLACE {
			break
		}
	}
	return nil, a.final(err)
}

// final turns a refusal for want of places into one that is not retried: the call has waited as long as it may.
func (a *attempt) final(err error) error {
	refusal := verdict.As(err)
	if refusal.Reason != wirev1.Reason_REASON_NO_PLACE || a.delivered.tokens > 0 {
		return err
	}
	missed := verdict.Refuse(wirev1.Reason_REASON_TARGET_MISSED, "%s", refusal.Detail)
	missed.RetryAfter = refusal.RetryAfter
	return missed
}

func (a *attempt) decodeRequest(ready time.Duration, ask scheduler.Ask) *wirev1.ReserveRequest {
	return &wirev1.ReserveRequest{
		Account:              a.accounts,
		CostTokens:           a.request.DecodeCost(),
		ReadyInMs:            uint32(ready.Milliseconds()),
		WaitMs:               uint32(max(0, ask.Wait).Milliseconds()),
		Priority:             ask.Priority,
		ExpectedOutputTokens: uint32(max(1, a.request.MaxTokens)),
	}
}

// answer of a sidecar to a reservation.
type answer struct {
	held *held
	err  error
}

// reserveFirst asks all targets at the same time; the first grant wins and the others are withdrawn.
func (a *attempt) reserveFirst(ctx context.Context, targets []*sidecar, req *wirev1.ReserveRequest) (*held, error) {
	if len(targets) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(targets))
	for _, s := range targets {
		a.scheduler.ObserveChoice(s.name)
		hop := a.fleet.deployment.latency(a.dataCentre, s.dataCentre)
		go func() {
			time.Sleep(hop)
			r, err := s.authority.Reserve(ctx, req)
			time.Sleep(hop)
			if err == nil && ctx.Err() != nil {
				r.Release()
				err = ctx.Err()
			}
			answers <- answer{&held{s, r}, err}
		}()
	}
	var last error
	for i := range targets {
		got := <-answers
		if got.err == nil {
			cancel()
			go releaseRest(answers, len(targets)-i-1)
			return got.held, nil
		}
		last = got.err
	}
	return nil, last
}

// releaseRest frees grants that crossed their withdrawal.
func releaseRest(answers <-chan answer, n int) {
	for range n {
		if got := <-answers; got.err == nil {
			got.held.reservation.Release()
		}
	}
}

// place takes a decode place for a finished prefill: the reserved one, or the first that another engine can give before
// the eviction.
func (a *attempt) place(ctx context.Context, x *export, h *held) (*held, error) {
	if a.policy.Reserve == ReserveAtArrival {
		return h, nil
	}
	if h == nil {
		return a.placeBefore(ctx, x, nil)
	}
	ctx, cancel := context.WithDeadline(ctx, x.until)
	defer cancel()
	answers := make(chan answer, 2)
	go func() {
		time.Sleep(a.fleet.deployment.latency(a.dataCentre, h.sidecar.dataCentre))
		answers <- answer{h, h.reservation.Begin(ctx)}
	}()
	timer := time.NewTimer(lateWait)
	defer timer.Stop()
	pending := 1
	var last error
	for pending > 0 {
		select {
		case <-timer.C:
		case got := <-answers:
			if got.err == nil {
				cancel()
				go releaseRest(answers, pending-1)
				return got.held, nil
			}
			last = got.err
			pending--
			if !timer.Stop() {
				continue
			}
		}
		pending++
		a.result.late()
		go func() {
			other, err := a.placeNow(ctx, x, h)
			answers <- answer{other, err}
		}()
	}
	return nil, last
}

// placeBefore is placeNow with the eviction as its limit.
func (a *attempt) placeBefore(ctx context.Context, x *export, except *held) (*held, error) {
	ctx, cancel := context.WithDeadline(ctx, x.until)
	defer cancel()
	return a.placeNow(ctx, x, except)
}

// placeNow asks for an immediate place until the export is evicted.
func (a *attempt) placeNow(ctx context.Context, x *export, except *held) (*held, error) {
	h, err := a.reserveFirst(ctx, a.decodeTargets(except), a.decodeRequest(0, scheduler.Ask{Wait: time.Until(x.until)}))
	if err != nil {
		return nil, err
	}
	if err := h.reservation.Begin(ctx); err != nil {
		return nil, err
	}
	return h, nil
}
