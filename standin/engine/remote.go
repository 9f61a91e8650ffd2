package engine

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// Export describes an exported KV cache to the engine that imports it.
type Export struct {
	Handle string `json:"handle"`
	// PromptBytes is the length of the prompt that the export covers.
	PromptBytes int `json:"prompt_bytes"`
	Tokens      int `json:"tokens"`
	// Fingerprint is a hash of the model and the prompt.
	Fingerprint uint64 `json:"fingerprint"`
}

// Hold keeps an export from being evicted while it is imported.
type Hold struct {
	Export Export
	// Lost is closed when the export is removed despite the hold, for example because its engine was killed.
	Lost <-chan struct{}
	// Release ends the hold. If imported is set, the exporting engine frees the export.
	Release func(imported bool)
}

// Remote is an engine from which another engine imports a KV cache.
type Remote interface {
	// Hold takes a hold on an export. It returns engine.ErrEvicted if the handle is unknown.
	Hold(ctx context.Context, handle string) (*Hold, error)
}

// Network resolves the addresses of the Cores in one process.
type Network struct {
	mu    sync.Mutex
	cores map[string]*Core
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{cores: make(map[string]*Core)}
}

// Add creates a Core, registers it at cfg.Address, and lets it resolve the other Cores of the network.
func (n *Network) Add(cfg Config) *Core {
	cfg.Resolve = n.Resolve
	core := NewCore(cfg)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cores[cfg.Address] = core
	return core
}

// Resolve returns the Core at an address, or nil if there is none.
func (n *Network) Resolve(address string) Remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	if core, ok := n.cores[address]; ok {
		return core
	}
	return nil
}

// Hold implements Remote.
func (c *Core) Hold(_ context.Context, handle string) (*Hold, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return nil, engine.ErrUnreachable
	}
	e, ok := c.exports[handle]
	if !ok {
		return nil, errors.Wrapf(engine.ErrEvicted, "handle %q", handle)
	}
	e.holds++
	var once sync.Once
	end := func(imported bool) {
		once.Do(func() { c.endHold(e, imported) })
	}
	return &Hold{Export: e.info, Lost: e.lost, Release: end}, nil
}

func (c *Core) endHold(e *export, imported bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.holds--
	if c.exports[e.info.Handle] != e {
		return
	}
	switch {
	case imported:
		c.removeExport(e, exportImported)
	case e.expired && e.holds == 0:
		c.removeExport(e, exportEvicted)
	}
}
