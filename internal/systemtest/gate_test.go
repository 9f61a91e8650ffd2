package systemtest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

// gate is one process's way to the store; closing it cuts that process off alone.
type gate struct {
	kv.Store

	mu   sync.Mutex // guards the fields below
	down bool
	cut  chan struct{} // closed when the gate goes down
}

func newGate(store kv.Store) *gate { return &gate{Store: store, cut: make(chan struct{})} }

func (g *gate) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if down && !g.down {
		close(g.cut)
	}
	if !down && g.down {
		g.cut = make(chan struct{})
	}
	g.down = down
}

func (g *gate) check() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return kv.ErrUnavailable
	}
	return nil
}

func (g *gate) Get(ctx context.Context, key string) (kv.Pair, error) {
	if err := g.check(); err != nil {
		return kv.Pair{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gate) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if err := g.check(); err != nil {
		return nil, 0, err
	}
	return g.Store.List(ctx, prefix)
}

func (g *gate) CompareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (int64, error) {
	if err := g.check(); err != nil {
		return 0, err
	}
	return g.Store.CompareAndSwap(ctx, key, value, revision, lease)
}

func (g *gate) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.WatchUpdate, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	g.mu.Lock()
	cut := g.cut
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	source, err := g.Store.Watch(ctx, prefix, revision)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan kv.WatchUpdate)
	go func() {
		defer cancel()
		defer close(out)
		for {
			select {
			case <-cut:
				return
			case update, ok := <-source:
				if !ok {
					return
				}
				select {
				case out <- update:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return out, nil
}

// storeDown takes the store away from every process, or gives it back.
func (w *world) storeDown(down bool) {
	w.store.SetFaults(memory.Faults{Down: down})
}

func sortCharges(charges []charge) {
	slices.SortFunc(charges, func(a, b charge) int { return a.at.Compare(b.at) })
}

// auditSpan is the time that one record of the engine's audit covers.
const auditSpan = 100 * time.Millisecond
