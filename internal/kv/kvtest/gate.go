// Package kvtest lets tests disconnect one process from the key-value service while other processes can still reach it.
package kvtest

import (
	"context"
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// State is the state of a process's connection to the store.
type State int

const (
	// Open passes all calls and watch updates.
	Open State = iota
	// Refused fails calls with kv.ErrUnavailable and closes open watches.
	Refused
	// WatchesStalled fails calls with kv.ErrUnavailable and keeps open watches, but drops their updates.
	WatchesStalled
	// CutOff is like WatchesStalled, but fails lease calls too.
	CutOff
)

// Gate is a kv.Store through which one process reaches a shared store. Its state affects gets, lists, swaps and watches;
// deletes always pass, and lease calls unless the state is CutOff.
type Gate struct {
	kv.Store
	// OnCall, if not nil, is called before and after each get, list, swap and start of a watch, whatever the state. It may
	// block, to simulate a process that is paused.
	OnCall func()

	mu      sync.Mutex // guards the fields below
	state   State
	refused chan struct{} // closed while state is Refused
}

// NewGate returns a gate to store in state Open.
func NewGate(store kv.Store) *Gate { return &Gate{Store: store, refused: make(chan struct{})} }

// Set changes the state of the connection to the store.
func (g *Gate) Set(state State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == Refused && g.state != Refused {
		close(g.refused)
	}
	if state != Refused && g.state == Refused {
		g.refused = make(chan struct{})
	}
	g.state = state
}

func (g *Gate) current() (state State, refused <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state, g.refused
}

func (g *Gate) callHook() {
	if g.OnCall != nil {
		g.OnCall()
	}
}

// callIfOpen runs call if the gate is open, otherwise it returns kv.ErrUnavailable.
func callIfOpen[T any](g *Gate, call func() (T, error)) (T, error) {
	g.callHook()
	defer g.callHook()
	if state, _ := g.current(); state != Open {
		var zero T
		return zero, kv.ErrUnavailable
	}
	return call()
}

// Get implements kv.Store.
func (g *Gate) Get(ctx context.Context, key string) (kv.Pair, error) {
	return callIfOpen(g, func() (kv.Pair, error) { return g.Store.Get(ctx, key) })
}

// GetAt implements kv.HistoryReader.
func (g *Gate) GetAt(ctx context.Context, key string, revision int64) (kv.Pair, error) {
	return callIfOpen(g, func() (kv.Pair, error) { return g.Store.(kv.HistoryReader).GetAt(ctx, key, revision) })
}

// List implements kv.Store.
func (g *Gate) List(ctx context.Context, prefix string) (pairs []kv.Pair, revision int64, err error) {
	pairs, err = callIfOpen(g, func() ([]kv.Pair, error) {
		pairs, revision, err = g.Store.List(ctx, prefix)
		return pairs, err
	})
	return pairs, revision, err
}

// CompareAndSwap implements kv.Store.
func (g *Gate) CompareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (int64, error) {
	return callIfOpen(g, func() (int64, error) { return g.Store.CompareAndSwap(ctx, key, value, revision, lease) })
}

// GrantLease implements kv.Store.
func (g *Gate) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if state, _ := g.current(); state == CutOff {
		return 0, kv.ErrUnavailable
	}
	return g.Store.GrantLease(ctx, ttl)
}

// RenewLease implements kv.Store.
func (g *Gate) RenewLease(ctx context.Context, lease int64) error {
	if state, _ := g.current(); state == CutOff {
		return kv.ErrUnavailable
	}
	return g.Store.RenewLease(ctx, lease)
}

// Watch implements kv.Store.
func (g *Gate) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.WatchUpdate, error) {
	return callIfOpen(g, func() (<-chan kv.WatchUpdate, error) {
		_, refused := g.current()
		ctx, cancel := context.WithCancel(ctx)
		source, err := g.Store.Watch(ctx, prefix, revision)
		if err != nil {
			cancel()
			return nil, err
		}
		updates := make(chan kv.WatchUpdate)
		go func() {
			defer cancel()
			defer close(updates)
			g.forward(ctx, source, updates, refused)
		}()
		return updates, nil
	})
}

// forward copies updates from source to destination until the watch ends or the state becomes Refused.
func (g *Gate) forward(ctx context.Context, source <-chan kv.WatchUpdate, destination chan<- kv.WatchUpdate, refused <-chan struct{}) {
	for {
		select {
		case <-refused:
			return
		case update, ok := <-source:
			if !ok {
				return
			}
			if state, _ := g.current(); state == WatchesStalled || state == CutOff {
				continue
			}
			select {
			case destination <- update:
			case <-refused:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}
