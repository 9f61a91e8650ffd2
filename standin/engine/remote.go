package engine

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// Export describes an exported KV cache.
type Export struct {
	Handle string `json:"handle"`
	// PromptBytes is the length of the prompt that the export covers.
	PromptBytes int `json:"prompt_bytes"`
	Tokens      int `json:"tokens"`
	// Fingerprint identifies model and prompt.
	Fingerprint uint64 `json:"fingerprint"`
}

// Hold keeps an export from being evicted while it is imported.
type Hold struct {
	Export Export
	// Lost is closed when the export goes away nevertheless.
	Lost <-chan struct{}
	// End gives up the hold. With imported set, the exporting engine frees the export.
	End func(imported bool)
}

// Remote is the exporting side of an import.
type Remote interface {
	// Hold returns engine.ErrEvicted for an unknown handle.
	Hold(ctx context.Context, handle string) (*Hold, error)
}

// Network resolves the addresses of Cores of one process.
type Network struct {
	mu    sync.Mutex
	cores map[string]*Core
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{cores: make(map[string]*Core)}
}

// Add creates a Core that is reached under cfg.Address and resolves others over the network.
func (n *Network) Add(cfg Config) *Core {
	cfg.Resolve = n.Resolve
	core := NewCore(cfg)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cores[cfg.Address] = core
	return core
}

// Resolve returns the Core at an address, or nil.
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
	return &Hold{Export: e.info, Lost: e.lost, End: end}, nil
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
