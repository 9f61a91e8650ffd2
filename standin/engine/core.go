package engine

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// Errors that a Core returns in addition to those of package engine.
var (
	// ErrAborted is the error of a request ended by AbortAll.
	ErrAborted = errors.New("request aborted")
	// ErrBadRequest means that the engine does not serve the model or this kind of work, or that the prompt does not
	// fit its memory.
	ErrBadRequest = errors.New("bad request")
)

var _ engine.Engine = (*Core)(nil)

// Core simulates a model engine. It is safe for concurrent use.
type Core struct {
	cfg          Config
	cache        *prefixCache
	importLink   *link
	computeSlots *slots

	mu     sync.Mutex
	role   wirev1.EngineRole
	models map[string]bool
	dead   bool
	faults Faults
	// changed is closed and replaced when memory is freed or the faults change.
	changed              chan struct{}
	requests             map[*request]struct{}
	decodeCount          int
	blocksHeld           int
	exports              map[string]*export
	exportCount          uint64
	highestFencingNumber uint64
	load                 loadHistory
	audit                auditLog
}

// Values of Kind in the audit.
const (
	kindPrefill = "prefill"
	kindDecode  = "decode"
	kindExport  = "export"
)

// request is a prefill or decode in progress.
type request struct {
	id      string
	account string
	kind    string
	blocks  int
	started time.Time
	// waiting is set until the request holds memory.
	waiting bool
	cancel  context.CancelCauseFunc
}

// NewCore returns an idle engine.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg:          cfg,
		cache:        newPrefixCache(&cfg),
		importLink:   newLink(cfg.LinkBytesPerSecond),
		computeSlots: newSlots(cfg.PrefillSlots, cfg.QueueLimit),
		role:         cfg.Role,
		models:       make(map[string]bool),
		changed:      make(chan struct{}),
		requests:     make(map[*request]struct{}),
		exports:      make(map[string]*export),
		audit:        newAuditLog(),
	}
	for _, model := range cfg.Models {
		c.models[model] = true
	}
	return c
}

// Prefill implements engine.Engine.
func (c *Core) Prefill(ctx context.Context, requestID string, work *wirev1.PrefillWork) (engine.PrefillResult, error) {
	ctx, r, err := c.begin(ctx, kindPrefill, requestID, work.GetModel())
	if err != nil {
		return engine.PrefillResult{}, err
	}
	result, err := c.prefill(ctx, r, work)
	c.end(r, err)
	return result, err
}

func (c *Core) prefill(ctx context.Context, r *request, work *wirev1.PrefillWork) (engine.PrefillResult, error) {
	tokens := tokenCount(work.GetPrompt())
	blocks := c.blocksFor(tokens)
	if blocks > c.cfg.MemoryBlocks {
		return engine.PrefillResult{}, errors.Wrap(ErrBadRequest, "prompt exceeds the engine's memory")
	}
	release, err := c.computeSlots.acquire(ctx, work.GetPriority())
	if err != nil {
		return engine.PrefillResult{}, err
	}
	defer release()
	if err := c.waitForMemory(ctx, r, blocks); err != nil {
		return engine.PrefillResult{}, err
	}
	c.recordPrefill(r, tokens)
	cached, err := c.computePrompt(ctx, work.GetPrompt(), 0)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	handle, err := c.newExport(ctx, r, work, tokens)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	return engine.PrefillResult{Handle: handle, PromptTokens: tokens, CachedTokens: cached}, nil
}

// computePrompt simulates the prefill of the part of a prompt that is neither in the prefix cache nor imported. The
// parameter imported is the number of imported tokens, counted from the start of the prompt. The caller must hold a
// compute slot. computePrompt returns the number of tokens found in the prefix cache.
func (c *Core) computePrompt(ctx context.Context, prompt string, imported int) (int, error) {
	hashes := blockHashes(prompt, c.cfg.BlockTokens)
	cached := c.cache.match(hashes) * c.cfg.BlockTokens
	// The last prompt token is always computed, because its output is the first token of the answer.
	tokens := max(1, tokenCount(prompt)-max(cached, imported))
	seconds := float64(tokens) / c.cfg.PrefillTokensPerSecond
	if err := c.simulateWork(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
		return 0, err
	}
	c.cache.insert(hashes)
	return cached, nil
}

// Decode implements engine.Engine. work.MaxTokens limits the whole answer, including the tokens delivered earlier.
func (c *Core) Decode(ctx context.Context, requestID string, work *wirev1.DecodeWork, emit func(text string) error) (engine.DecodeResult, error) {
	ctx, r, err := c.begin(ctx, kindDecode, requestID, work.GetModel())
	if err != nil {
		return engine.DecodeResult{}, err
	}
	result, err := c.decode(ctx, r, work, emit)
	c.end(r, err)
	return result, err
}

func (c *Core) decode(ctx context.Context, r *request, work *wirev1.DecodeWork, emit func(text string) error) (engine.DecodeResult, error) {
	prompt := fullPrompt(work)
	tokens := tokenCount(prompt)
	remaining := max(0, int(work.GetMaxTokens())-len(work.GetDelivered()))
	if err := c.allocateMemory(r, c.blocksFor(tokens+remaining)); err != nil {
		return engine.DecodeResult{}, err
	}
	imported, err := c.importPrompt(ctx, work, prompt)
	if err != nil {
		return engine.DecodeResult{}, err
	}
	if imported < tokens {
		if err := c.recompute(ctx, r, work, prompt, imported); err != nil {
			return engine.DecodeResult{}, err
		}
	}
	output, reason, err := c.generate(ctx, r, newGenerator(work.GetModel(), prompt, c.cfg.MeanOutputTokens), remaining, emit)
	if err != nil {
		return engine.DecodeResult{}, err
	}
	return engine.DecodeResult{PromptTokens: tokens, OutputTokens: output, FinishReason: reason}, nil
}

// recompute prefills the part of the prompt that was not imported. The parameter imported is the number of imported
// tokens.
func (c *Core) recompute(ctx context.Context, r *request, work *wirev1.DecodeWork, prompt string, imported int) error {
	release, err := c.computeSlots.acquire(ctx, work.GetPriority())
	if err != nil {
		return err
	}
	defer release()
	c.recordRecompute(r, tokenCount(prompt)-imported)
	_, err = c.computePrompt(ctx, prompt, imported)
	return err
}

func (c *Core) generate(ctx context.Context, r *request, g *generator, remaining int, emit func(string) error) (int, string, error) {
	for n := range remaining {
		if err := c.simulateWork(ctx, c.cfg.TokenGap); err != nil {
			return n, "", err
		}
		text, ok := g.next()
		if !ok {
			return n, "stop", nil
		}
		c.recordOutput(r)
		if err := emit(text); err != nil {
			return n, "", err
		}
	}
	return remaining, "length", nil
}

// importPrompt transfers the KV cache referenced by work.Handle and returns the number of tokens it covers. Without a
// handle it returns 0.
func (c *Core) importPrompt(ctx context.Context, work *wirev1.DecodeWork, prompt string) (int, error) {
	handle := work.GetHandle()
	if handle.GetHandle() == "" {
		return 0, nil
	}
	hold, err := c.holdRemote(ctx, handle)
	if err != nil {
		return 0, err
	}
	imported := false
	defer func() { hold.Release(imported) }()
	info := &hold.Export
	if info.PromptBytes > len(prompt) || promptFingerprint(work.GetModel(), prompt[:info.PromptBytes]) != info.Fingerprint {
		c.recordMismatch()
		return 0, errors.Wrap(ErrBadRequest, "exported KV cache belongs to another prompt")
	}
	transferCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-hold.Lost:
			cancel(errors.Wrap(engine.ErrEvicted, "during transfer"))
		case <-stop:
		}
	}()
	if err := c.importLink.transferBytes(transferCtx, uint64(info.Tokens)*uint64(c.cfg.KVBytesPerToken)); err != nil {
		return 0, err
	}
	imported = true
	return info.Tokens, nil
}

// holdRemote takes a hold on an export of another engine. It also returns engine.ErrEvicted if that engine is unknown
// or cannot be reached, because the KV cache is then lost for this request as well.
func (c *Core) holdRemote(ctx context.Context, handle *wirev1.KVHandle) (*Hold, error) {
	var remote Remote
	if c.cfg.Resolve != nil {
		remote = c.cfg.Resolve(handle.GetEngineAddress())
	}
	if remote == nil {
		return nil, errors.Wrapf(engine.ErrEvicted, "no engine at address %q", handle.GetEngineAddress())
	}
	hold, err := remote.Hold(ctx, handle.GetHandle())
	if err == nil {
		return hold, nil
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if errors.Is(err, engine.ErrEvicted) {
		return nil, err
	}
	return nil, errors.Wrapf(engine.ErrEvicted, "engine %q: %v", handle.GetEngineAddress(), err)
}

// begin registers a request. If the engine ends the request, the returned context is cancelled with engine.ErrBroken or
// ErrAborted as its cause.
func (c *Core) begin(ctx context.Context, kind, id, model string) (context.Context, *request, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.admit(kind, model); err != nil {
		return nil, nil, err
	}
	account := engine.AccountFrom(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	r := &request{id: id, account: account, kind: kind, started: time.Now(), waiting: true, cancel: cancel}
	c.requests[r] = struct{}{}
	if kind == kindDecode {
		c.decodeCount++
	}
	c.recordLoad()
	return ctx, r, nil
}

// admit returns an error if a new request must be rejected. The caller must hold mu.
func (c *Core) admit(kind, model string) error {
	switch {
	case c.dead:
		return engine.ErrUnreachable
	case c.faults.Refuse:
		return errors.Wrap(engine.ErrBusy, "injected fault refuses all requests")
	case kind == kindPrefill && c.role == wirev1.EngineRole_ENGINE_ROLE_DECODE,
		kind == kindDecode && c.role == wirev1.EngineRole_ENGINE_ROLE_PREFILL:
		return errors.Wrapf(ErrBadRequest, "engine role does not include %s", kind)
	case len(c.models) > 0 && !c.models[model]:
		return errors.Wrapf(ErrBadRequest, "model %q is not loaded", model)
	case kind == kindDecode && c.decodeCount >= c.cfg.Places:
		return errors.Wrap(engine.ErrBusy, "all decode places taken")
	}
	return nil
}

// end unregisters a request and frees the memory that it still holds.
func (c *Core) end(r *request, err error) {
	r.cancel(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, r)
	if r.kind == kindDecode {
		c.decodeCount--
	}
	c.blocksHeld -= r.blocks
	r.blocks = 0
	c.audit.end(r, err)
	c.broadcast()
}

// simulateWork waits for d, scaled by the speed settings, and then until the engine is not stalled.
func (c *Core) simulateWork(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(c.scaled(d))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	for {
		stalled, changed := c.stalled()
		if !stalled {
			return nil
		}
		if err := waitForChange(ctx, -1, changed); err != nil {
			return err
		}
	}
}

func (c *Core) scaled(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(float64(d) / c.cfg.SpeedFactor * max(1, c.faults.SlowCompute))
}

func (c *Core) stalled() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Stall, c.changed
}

// broadcast wakes all requests that wait for memory or for the end of a stall, and records the load. The caller must
// hold mu.
func (c *Core) broadcast() {
	close(c.changed)
	c.changed = make(chan struct{})
	c.recordLoad()
}
