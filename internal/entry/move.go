package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// A stream is moved to another engine after a silence of silentGaps times its mean token gap, but not before minSilence.
	minSilence = 2 * time.Second
	silentGaps = 20
	// silenceCheckInterval is the interval at which a running call is checked for silence.
	silenceCheckInterval = 50 * time.Millisecond
	// moveRetryInterval is the time between two attempts to find a place for a silent request at another engine.
	moveRetryInterval = 250 * time.Millisecond
	// movePlaceWait is the longest wait of a silent request for a place at another engine.
	movePlaceWait = 100 * time.Millisecond
)

// errMoved is the cancellation cause of a call whose request is moved to another engine.
var errMoved = errors.New("the request is moved to another engine")

// replacement is what the next attempt of a request needs whose engine is silent: a plan with a place for the prefill, and a place for
// the decode.
type replacement struct {
	plan  *plan
	place *reservation
}

// mover moves a request from a silent engine to another one. A silent engine may still answer, so its call is cancelled only when the
// request has got everything that it needs elsewhere; until then both the answer and a place are waited for.
type mover struct {
	c *completion
	// silent reports whether the engine has been silent for so long that the request should be moved.
	silent func() bool
	// find returns a replacement, or nil if there is none now. It must not change the completion.
	find func(ctx context.Context, snapshot *completion) *replacement
}

// run executes a call. If the request was moved, the error is a refusal with REASON_STALLED and c.replacement is set.
func (m *mover) run(x *exchange) (*wirev1.Outcome, error) {
	ctx, cancel := context.WithCancelCause(m.c.ctx)
	var watching sync.WaitGroup
	watching.Go(func() { m.watch(ctx, cancel) })
	outcome, err := x.run(ctx)
	cancel(nil)
	watching.Wait()
	if err != nil && m.c.replacement != nil {
		return nil, mayHaveRun(wirev1.Reason_REASON_STALLED, errMoved.Error())
	}
	m.c.replacement.close() // the call ended at the same time
	m.c.replacement, m.c.moved = nil, false
	return outcome, err
}

// watch moves the request when its engine is silent and a replacement is found. It returns when ctx ends.
func (m *mover) watch(ctx context.Context, cancel context.CancelCauseFunc) {
	for wait.For(ctx, silenceCheckInterval) {
		snapshot := m.c.snapshot()
		if !m.silent() {
			continue
		}
		found := m.find(ctx, snapshot)
		if found != nil && m.c.move(found, len(snapshot.delivered)) {
			cancel(errMoved)
			return
		}
		found.close()
		wait.For(ctx, moveRetryInterval)
	}
}

// close releases the place of a replacement that is not used.
func (r *replacement) close() {
	if r != nil {
		r.place.close()
		r.plan.prefillPlace.close()
	}
}

// snapshot returns a copy with the tokens that are delivered now, for planning while the call goes on.
func (c *completion) snapshot() *completion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &completion{
		request: c.request, model: c.model, params: c.params, promptTokens: c.promptTokens, maxTokens: c.maxTokens,
		delivered: slices.Clip(c.delivered), firstToken: c.firstToken, lastToken: c.lastToken, tokenGapSum: c.tokenGapSum,
	}
}

// move sets the replacement if no token has come since the snapshot with a number of delivered tokens. No token is delivered
// afterwards.
func (c *completion) move(r *replacement, delivered int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.delivered) != delivered {
		return false
	}
	c.replacement, c.moved = r, true
	return true
}

// takeReplacement returns the replacement of a moved request, or nil, and lets tokens be delivered again.
func (c *completion) takeReplacement() *replacement {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.replacement
	c.replacement, c.moved = nil, false
	return r
}

// silenceLimit returns the silence of a stream after which it should be moved.
func (c *completion) silenceLimit() time.Duration {
	gaps := len(c.delivered) - 1
	if gaps < 1 {
		return minSilence
	}
	return max(minSilence, silentGaps*c.tokenGapSum/time.Duration(gaps))
}

// stalled reports whether the sidecar of an upstream says that the upstream makes no progress.
func (u *upstream) stalled() bool {
	session := u.session()
	if session == nil {
		return false
	}
	beat, _ := session.Heartbeat()
	return beat.GetLoad().GetStalled()
}

// decodeMover returns the mover of a decode. The prompt is prefilled again, because nobody but the silent engine knows whether it has
// imported the KV cache, which is then gone.
func (c *completion) decodeMover(place *reservation) *mover {
	begin := time.Now()
	return &mover{
		c: c,
		silent: func() bool {
			s := c.snapshot()
			last := begin
			if s.lastToken.After(begin) {
				last = s.lastToken
			}
			return time.Since(last) >= s.silenceLimit() || place.upstream.stalled()
		},
		find: func(ctx context.Context, s *completion) *replacement { return s.findReplacement(ctx, place.upstream) },
	}
}

// prefillMover returns the mover of a prefill. A prefill gives no sign of progress, so only its sidecar knows that its engine is
// silent.
func (c *completion) prefillMover(p *plan) *mover {
	return &mover{
		c: c, silent: p.prefill.stalled,
		find: func(ctx context.Context, s *completion) *replacement { return s.findReplacement(ctx, nil) },
	}
}

// findReplacement returns everything that another attempt needs: the charge, a place at a prefill engine and one at a decode engine
// other than the excluded one, and a retry within the budget. It returns nil if one of them cannot be had at once, or when ctx ends: the
// answer of a call that has ended waits for it.
func (c *completion) findReplacement(ctx context.Context, excluded *upstream) *replacement {
	if len(c.delivered) >= c.maxTokens || !c.entry.budget.Permits() || c.authorize(ctx, c.chargeTokens()) != nil {
		return nil
	}
	p, err := c.plan(ctx, c.params.Prompt+strings.Join(c.delivered, ""))
	if err != nil {
		return nil
	}
	ready := time.Duration(p.quote.Reply.GetReadyInMs()) * time.Millisecond
	attempt := scheduler.ReservationAttempt{Wait: movePlaceWait, Priority: p.request.PrefillPriority()}
	place, err := c.entry.reserve(ctx, c.decodeCandidates(p.request, excluded), c.decodeReserveRequest(p, ready, attempt))
	if err != nil {
		return nil
	}
	if p.prefillPlace, err = c.reservePrefill(ctx, p, movePlaceWait); err != nil {
		place.close()
		return nil
	}
	p.placeGrantedAt = time.Now()
	found := &replacement{place: place, plan: p}
	if !c.entry.budget.Allow() {
		found.close()
		return nil
	}
	return found
}
