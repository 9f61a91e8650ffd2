package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/prefix"
)

// export is the KV cache of a finished prefill, kept until another engine imports it.
type export struct {
	info    Export
	request string
	account string
	blocks  int
	created time.Time
	holds   int
	// expired is set if the lifetime ended while the export was held.
	expired bool
	// lost is closed when the export is removed.
	lost        chan struct{}
	expiryTimer *time.Timer
}

// exportOutcome is the reason why an export was removed.
type exportOutcome int

const (
	exportImported exportOutcome = iota
	exportReleased
	exportEvicted
	exportAborted
)

func tokenCount(text string) int {
	return prefix.TokenCount(text)
}

func blockHashes(prompt string, blockTokens int) []uint64 {
	return prefix.BlockHashes(prompt, blockTokens)
}

// fullPrompt returns the prompt followed by the output tokens delivered earlier.
func fullPrompt(work *wirev1.DecodeWork) string {
	prompt := work.GetPrompt()
	size := len(prompt)
	for _, text := range work.GetDelivered() {
		size += len(text)
	}
	full := make([]byte, 0, size)
	full = append(full, prompt...)
	for _, text := range work.GetDelivered() {
		full = append(full, text...)
	}
	return string(full)
}

func (c *Core) blocksFor(tokens int) int {
	return (tokens + c.cfg.BlockTokens - 1) / c.cfg.BlockTokens
}

// allocateMemory allocates memory for a request, or returns engine.ErrBusy if not enough is free.
func (c *Core) allocateMemory(r *request, blocks int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tryAllocate(r, blocks) {
		return errors.Wrap(engine.ErrBusy, "not enough free memory")
	}
	return nil
}

// waitForMemory waits until enough memory is free and allocates it for a request.
func (c *Core) waitForMemory(ctx context.Context, r *request, blocks int) error {
	for {
		c.mu.Lock()
		taken := c.tryAllocate(r, blocks)
		changed := c.changed
		c.mu.Unlock()
		if taken {
			return nil
		}
		if err := waitForChange(ctx, -1, changed); err != nil {
			return err
		}
	}
}

// tryAllocate allocates memory and marks the request as started if enough is free. The caller must hold mu.
func (c *Core) tryAllocate(r *request, blocks int) bool {
	if c.blocksHeld+blocks > c.cfg.MemoryBlocks {
		return false
	}
	c.blocksHeld += blocks
	r.blocks = blocks
	r.waiting = false
	c.audit.begin(r)
	c.recordLoad()
	return true
}

// newExport moves the memory of a finished prefill to a new export. If ctx has ended it creates none, because the
// client that would import or release it has left.
func (c *Core) newExport(ctx context.Context, r *request, work *wirev1.PrefillWork, tokens int) (*wirev1.KVHandle, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	c.exportCount++
	e := &export{
		info: Export{
			Handle:      fmt.Sprintf("%s-%d", c.cfg.Name, c.exportCount),
			PromptBytes: len(work.GetPrompt()),
			Tokens:      tokens,
			Fingerprint: promptFingerprint(work.GetModel(), work.GetPrompt()),
		},
		request: r.id,
		account: r.account,
		blocks:  r.blocks,
		created: time.Now(),
		lost:    make(chan struct{}),
	}
	r.blocks = 0
	e.expiryTimer = time.AfterFunc(c.cfg.ExportLifetime, func() { c.expire(e) })
	c.exports[e.info.Handle] = e
	c.audit.counts.ExportsCreated++
	return &wirev1.KVHandle{
		EngineAddress: c.cfg.Address,
		Handle:        e.info.Handle,
		PromptTokens:  uint32(tokens),
		Bytes:         uint64(tokens) * uint64(c.cfg.KVBytesPerToken),
	}, nil
}

// expire evicts an export at the end of its lifetime. A held export is evicted when its last hold is released.
func (c *Core) expire(e *export) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exports[e.info.Handle] != e {
		return
	}
	if e.holds > 0 {
		e.expired = true
		return
	}
	c.removeExport(e, exportEvicted)
}

// removeExport frees the memory of an export. The caller must hold mu.
func (c *Core) removeExport(e *export, outcome exportOutcome) {
	delete(c.exports, e.info.Handle)
	e.expiryTimer.Stop()
	close(e.lost)
	c.blocksHeld -= e.blocks
	c.audit.recordExportOutcome(e, outcome)
	c.broadcast()
}

// Release implements engine.Engine.
func (c *Core) Release(_ context.Context, handle string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.ErrUnreachable
	}
	if e, ok := c.exports[handle]; ok {
		c.removeExport(e, exportReleased)
	}
	return nil
}

// AbortAll implements engine.Engine.
func (c *Core) AbortAll(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.ErrUnreachable
	}
	c.endAll(ErrAborted)
	return nil
}

// endAll ends all requests with a cause and frees all exports. The caller must hold mu.
func (c *Core) endAll(cause error) {
	for r := range c.requests {
		r.cancel(cause)
	}
	for _, e := range c.exports {
		c.removeExport(e, exportAborted)
	}
}
