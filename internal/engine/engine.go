// Package engine defines the interface to a model engine.
package engine

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Errors of an Engine.
var (
	// ErrUnreachable means that no connection could be made; the request did not start.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrBroken means that the connection ended before the answer was complete.
	ErrBroken = errors.New("connection to engine broke")
	// ErrEvicted means that the exported KV cache is gone.
	ErrEvicted = errors.New("exported KV cache evicted")
	// ErrBusy means that the engine had no room; the request did not start.
	ErrBusy = errors.New("engine has no room")
	// ErrStaleOrder means that the engine refused an order with an old fencing number.
	ErrStaleOrder = errors.New("fencing number too old")
	// ErrEventsLost means that the engine no longer keeps the requested cache events.
	ErrEventsLost = errors.New("cache events no longer kept")
)

// PrefillResult is a finished prefill.
type PrefillResult struct {
	Handle       *wirev1.KVHandle
	PromptTokens int
	CachedTokens int
}

// DecodeResult is a finished stream.
type DecodeResult struct {
	PromptTokens int
	OutputTokens int
	FinishReason string
}

// Load is the engine's own report; it lags.
type Load struct {
	Running int
	Waiting int
	// KVUsage is the used share of engine memory, 0 to 1.
	KVUsage float64
}

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	Number  uint64
	Hash    uint64
	Removed bool
}

// CacheState is the whole prefix cache after event Number.
type CacheState struct {
	Number uint64
	Hashes []uint64
}

// Order changes what an engine serves.
type Order struct {
	FencingNumber uint64
	Engine        *wirev1.EngineOrder
}

// Engine is one model engine. Cancelling the context of Prefill or Decode makes the engine free the memory of the request.
type Engine interface {
	// Prefill runs the prompt and exports its KV cache under a handle.
	Prefill(ctx context.Context, requestID string, work *wirev1.PrefillWork) (PrefillResult, error)
	// Decode imports the KV cache of work and calls emit for each token in order.
	Decode(ctx context.Context, requestID string, work *wirev1.DecodeWork, emit func(text string) error) (DecodeResult, error)
	// Release frees an exported KV cache. Releasing an unknown handle is not an error.
	Release(ctx context.Context, handle string) error
	// AbortAll ends all requests and exports that the engine still holds.
	AbortAll(ctx context.Context) error
	// Load returns the engine's own load report.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns events after a number, waiting up to wait for the first. Errors: ErrEventsLost.
	CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]CacheEvent, error)
	// CacheState returns the whole prefix cache.
	CacheState(ctx context.Context) (CacheState, error)
	// Order carries out an order. Errors: ErrStaleOrder from engines that check fencing numbers.
	Order(ctx context.Context, order Order) error
}
