package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/prefix"
	"github.com/fulmardoor/fulmardoor/internal/progress"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	releaseTimeout     = time.Second
	abortTimeout       = 5 * time.Second
	abortRetryInterval = 500 * time.Millisecond
	// assumedPrefillSpeed, in tokens per second, is used until the speed of the engine was measured.
	assumedPrefillSpeed = 10000
	probeID             = "probe"
	probePrompt         = "probe"
	// A stream is ended after a silence of maxSilenceGaps times the mean token gap, but not before minMaxSilence. Entries move a
	// silent stream earlier if another engine has a place for it.
	minMaxSilence  = 10 * time.Second
	maxSilenceGaps = 20
)

// ModelConfig configures a ModelUpstream.
type ModelConfig struct {
	Model  string
	Engine engine.Engine
	// BlockTokens is the number of tokens in a KV block.
	BlockTokens int
	// Eviction is the time after which the engine evicts an export.
	Eviction time.Duration
	Logger   *zap.Logger
}

// ModelUpstream runs prefills and decodes on one model engine.
type ModelUpstream struct {
	cfg     ModelConfig
	tracker *progress.Tracker
	index   *prefix.Index

	mu      sync.Mutex         // guards exports
	exports map[call.ID]string // handles of the exported KV caches of prefills
}

// NewModelUpstream returns the upstream of one engine.
func NewModelUpstream(cfg ModelConfig) *ModelUpstream {
	return &ModelUpstream{
		cfg: cfg, tracker: progress.NewTracker(), index: prefix.NewIndex(cfg.Engine, cfg.BlockTokens),
		exports: make(map[call.ID]string),
	}
}

// Start implements Upstream. Before any new work it aborts the requests that an earlier sidecar process left running at the
// engine, because nobody waits for their results any more.
func (u *ModelUpstream) Start(ctx context.Context) error {
	for {
		abortCtx, cancel := context.WithTimeout(ctx, abortTimeout)
		err := u.cfg.Engine.AbortAll(abortCtx)
		cancel()
		if err == nil {
			break
		}
		u.cfg.Logger.Warn("engine does not respond", zap.Error(err))
		wait.For(ctx, abortRetryInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	go func() { _ = u.index.Run(ctx) }()
	return nil
}

// Run implements Upstream.
func (u *ModelUpstream) Run(c *call.Call, work *wirev1.Work, progress func(tokens int)) *wirev1.Outcome {
	switch kind := work.GetKind().(type) {
	case *wirev1.Work_Prefill:
		return u.prefill(c, kind.Prefill)
	case *wirev1.Work_Decode:
		return u.decode(c, kind.Decode, progress)
	default:
		return notRun(wirev1.Reason_REASON_MALFORMED, "the upstream is a model engine")
	}
}

func (u *ModelUpstream) prefill(c *call.Call, work *wirev1.PrefillWork) *wirev1.Outcome {
	begin := time.Now()
	id := u.tracker.Begin(progress.Prefill, prefix.TokenCount(work.GetPrompt()))
	result, err := u.cfg.Engine.Prefill(engine.WithAccount(c.Context(), c.Account), c.ID.String(), work)
	u.tracker.End(id, progress.Result{Completed: err == nil, ComputedTokens: result.PromptTokens - result.CachedTokens})
	if err != nil {
		return u.failedOutcome(c, err)
	}
	u.trackExport(c.ID, result.Handle.GetHandle())
	done := &wirev1.PrefillDone{
		Handle: result.Handle, CachedTokens: uint32(result.CachedTokens),
		ElapsedMs: uint32(time.Since(begin).Milliseconds()), KeptMs: uint32(u.cfg.Eviction.Milliseconds()),
	}
	if err := c.Emit(&wirev1.Frame{Body: &wirev1.Frame_PrefillDone{PrefillDone: done}}); err != nil {
		u.Release(c.ID)
		return u.failedOutcome(c, err)
	}
	return &wirev1.Outcome{Verdict: verdict.Ran.Wire(), PromptTokens: uint32(result.PromptTokens)}
}

func (u *ModelUpstream) decode(c *call.Call, work *wirev1.DecodeWork, report func(tokens int)) *wirev1.Outcome {
	id := u.tracker.Begin(progress.Decode, 0)
	tokens := 0
	ctx := engine.WithAccount(c.Context(), c.Account)
	watchdog := time.AfterFunc(u.maxSilence(), func() { c.Cancel(call.ErrStalled) })
	defer watchdog.Stop()
	result, err := u.cfg.Engine.Decode(ctx, c.ID.String(), work, func(text string) error {
		tokens++
		watchdog.Reset(u.maxSilence())
		u.tracker.Token(id)
		report(tokens)
		return c.Emit(&wirev1.Frame{Body: &wirev1.Frame_Token{Token: &wirev1.Token{Text: text}}})
	})
	u.tracker.End(id, progress.Result{Completed: err == nil})
	if err != nil {
		outcome := u.failedOutcome(c, err)
		outcome.OutputTokens = uint32(tokens)
		if tokens > 0 {
			outcome.Verdict = verdict.Ran.Wire()
		}
		return outcome
	}
	return &wirev1.Outcome{
		Verdict: verdict.Ran.Wire(), PromptTokens: uint32(result.PromptTokens),
		OutputTokens: uint32(result.OutputTokens), FinishReason: result.FinishReason,
	}
}

// maxSilence returns the longest wait for the next token of one stream, after which the engine is not expected to go on.
func (u *ModelUpstream) maxSilence() time.Duration {
	return max(minMaxSilence, maxSilenceGaps*u.tracker.TokenGap())
}

// failedOutcome returns the outcome of work that ended with an error.
func (u *ModelUpstream) failedOutcome(c *call.Call, err error) *wirev1.Outcome {
	if c.Context().Err() != nil {
		reason, detail := cancelReason(c.Context())
		return &wirev1.Outcome{Verdict: verdict.MayHaveRun.Wire(), Reason: reason, Detail: detail}
	}
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		return notRun(wirev1.Reason_REASON_UPSTREAM_UNREACHABLE, "no connection to the engine")
	case errors.Is(err, engine.ErrBusy):
		return notRun(wirev1.Reason_REASON_NO_PLACE, "the engine has no free capacity")
	case errors.Is(err, engine.ErrEvicted):
		return notRun(wirev1.Reason_REASON_EVICTED, "the KV cache was evicted before its import")
	case errors.Is(err, engine.ErrBroken):
		return &wirev1.Outcome{
			Verdict: verdict.MayHaveRun.Wire(), Reason: wirev1.Reason_REASON_UPSTREAM_BROKE,
			Detail: "the engine closed the connection before it finished",
		}
	default:
		u.cfg.Logger.Warn("engine error", zap.Stringer("call", c.ID), zap.Error(err))
		return &wirev1.Outcome{
			Verdict: verdict.MayHaveRun.Wire(), Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: "the engine returned an error",
		}
	}
}

// trackExport remembers the exported KV cache of a prefill until it is released. The engine evicts an export that nobody imports; one
// that is being imported is kept for as long as a decode engine may be silent.
func (u *ModelUpstream) trackExport(id call.ID, handle string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.exports[id] = handle
	time.AfterFunc(u.cfg.Eviction+u.maxSilence(), func() { u.Release(id) })
}

// Release implements Upstream: it frees the exported KV cache of a prefill, unless that was already done.
func (u *ModelUpstream) Release(id call.ID) {
	u.mu.Lock()
	handle, ok := u.exports[id]
	delete(u.exports, id)
	u.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := u.cfg.Engine.Release(ctx, handle); err != nil {
		u.cfg.Logger.Debug("export not released; the engine will evict it", zap.Error(err))
	}
}

// Quote implements Upstream.
func (u *ModelUpstream) Quote(req *wirev1.QuoteRequest, load *wirev1.Load) *wirev1.QuoteReply {
	cachedTokens := u.index.CachedTokens(req.GetBlockHashes())
	uncachedTokens := max(int(req.GetPromptTokens())-cachedTokens, 1)
	speed := u.tracker.PrefillSpeed()
	if speed == 0 {
		speed = assumedPrefillSpeed
	}
	readyInMs := float64(load.GetQueueMs()) + float64(uncachedTokens)/speed*1000
	return &wirev1.QuoteReply{WaitMs: load.GetQueueMs(), CachedTokens: uint32(cachedTokens), ReadyInMs: uint32(readyInMs)}
}

// FillLoad implements Upstream.
func (u *ModelUpstream) FillLoad(load *wirev1.Load) {
	load.PrefillTokensPerSecond = u.tracker.PrefillSpeed()
	load.TokenGapMs = float64(u.tracker.TokenGap()) / float64(time.Millisecond)
}

// Stalled implements Upstream.
func (u *ModelUpstream) Stalled() bool { return u.tracker.Stalled() }

// Probe implements Upstream: the engine must generate one token, or prefill a short prompt if it accepts no decodes. It tries
// both, because orders change the role of an engine. An engine whose running work has made progress needs no probe, and may have no
// place for one.
func (u *ModelUpstream) Probe(ctx context.Context) error {
	if u.tracker.EndStallIfProgressed() {
		return nil
	}
	work := &wirev1.DecodeWork{Model: u.cfg.Model, Prompt: probePrompt, MaxTokens: 1}
	_, err := u.cfg.Engine.Decode(ctx, probeID, work, func(string) error { return nil })
	if err != nil && ctx.Err() == nil {
		err = u.probePrefill(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	u.tracker.ClearStall()
	return nil
}

func (u *ModelUpstream) probePrefill(ctx context.Context) error {
	result, err := u.cfg.Engine.Prefill(ctx, probeID, &wirev1.PrefillWork{Model: u.cfg.Model, Prompt: probePrompt})
	if err != nil {
		return err
	}
	return u.cfg.Engine.Release(ctx, result.Handle.GetHandle())
}

// Order implements Upstream.
func (u *ModelUpstream) Order(ctx context.Context, fencingNumber uint64, order *wirev1.EngineOrder) error {
	return u.cfg.Engine.Order(ctx, engine.Order{FencingNumber: fencingNumber, Engine: order})
}
