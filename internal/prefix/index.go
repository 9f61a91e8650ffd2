package prefix

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

const (
	// pollWait is the longest wait of one call for events.
	pollWait = 10 * time.Second
	// pollPause is the pause between two calls, so that the events of that time are batched in one answer.
	pollPause = 50 * time.Millisecond
	// errorPause is the pause after a failed call.
	errorPause = time.Second
	// repairAttempts is the number of calls for missing events before the full cache state is loaded.
	repairAttempts = 8
	// maxMissingEvents is the number of missing events above which the full cache state is loaded.
	maxMissingEvents = 1 << 16
)

// Source provides the prefix cache events and the full cache state of an engine. Every engine.Engine is a Source.
type Source interface {
	CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]engine.CacheEvent, error)
	CacheState(ctx context.Context) (engine.CacheState, error)
}

// IndexStats holds the counters of an Index.
type IndexStats struct {
	// Events counts applied events.
	Events uint64
	// Gaps counts events that were found missing.
	Gaps uint64
	// Repairs counts attempts to fetch missing events.
	Repairs uint64
	// Reloads counts loads of the full cache state, including the first.
	Reloads uint64
}

// Index mirrors the contents of one engine's prefix cache. It is safe for concurrent use.
//
// Events are applied as they arrive, even while earlier ones are missing: of two events for a block, the one with the
// higher number takes precedence. Missing events are fetched by number.
type Index struct {
	source      Source
	blockTokens int

	mu sync.Mutex
	// blocks holds the number of the event that added each cached block.
	blocks map[uint64]uint64
	// removed holds the number of the event that removed each block, as a tombstone while earlier events are missing.
	removed map[uint64]uint64
	// highest is the highest event number received.
	highest uint64
	// missing holds the event numbers below highest that were not received.
	missing map[uint64]struct{}
	// loaded is unset until the full cache state was loaded, and after Invalidate.
	loaded bool
	stats  IndexStats
}

// NewIndex returns an empty index; Run fills it. blockTokens is the engine's block size in tokens.
func NewIndex(source Source, blockTokens int) *Index {
	return &Index{
		source:      source,
		blockTokens: blockTokens,
		blocks:      make(map[uint64]uint64),
		removed:     make(map[uint64]uint64),
		missing:     make(map[uint64]struct{}),
	}
}

// CachedTokens returns the number of prompt tokens found in the cache, given the prompt's block hashes.
func (x *Index) CachedTokens(hashes []uint64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, hash := range hashes {
		if _, ok := x.blocks[hash]; !ok {
			return i * x.blockTokens
		}
	}
	return len(hashes) * x.blockTokens
}

// Stats returns the counters since the index was created.
func (x *Index) Stats() IndexStats {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stats
}

// Invalidate makes the index load the full cache state again. It is needed after a restart of the engine, whose event
// numbers then start over.
func (x *Index) Invalidate() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.loaded = false
}

// Run applies the engine's events until ctx ends and returns the error of ctx.
func (x *Index) Run(ctx context.Context) error {
	for {
		pause := pollPause
		if err := x.poll(ctx); err != nil {
			pause = errorPause
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// poll fetches and applies the next events and those found missing, or loads the full cache state.
func (x *Index) poll(ctx context.Context) error {
	after, loaded := x.position()
	if !loaded {
		return x.reload(ctx)
	}
	events, err := x.source.CacheEvents(ctx, after, pollWait)
	if errors.Is(err, engine.ErrEventsLost) {
		return x.reload(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "cache events")
	}
	if !x.apply(events) {
		return x.reload(ctx)
	}
	return x.repair(ctx)
}

func (x *Index) position() (after uint64, loaded bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.highest, x.loaded
}

// repair fetches missing events. It loads the full cache state if some are no longer available or still missing after
// repairAttempts.
func (x *Index) repair(ctx context.Context) error {
	for range repairAttempts {
		first, ok := x.firstMissing()
		if !ok {
			return nil
		}
		events, err := x.source.CacheEvents(ctx, first-1, 0)
		if errors.Is(err, engine.ErrEventsLost) {
			return x.reload(ctx)
		}
		if err != nil {
			return errors.Wrap(err, "missing cache events")
		}
		if !x.apply(events) {
			return x.reload(ctx)
		}
	}
	if _, ok := x.firstMissing(); !ok {
		return nil
	}
	return x.reload(ctx)
}

// firstMissing returns the lowest missing event number and, if there is one, counts a repair.
func (x *Index) firstMissing() (uint64, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.missing) == 0 {
		return 0, false
	}
	first := x.highest
	for number := range x.missing {
		first = min(first, number)
	}
	x.stats.Repairs++
	return first, true
}

// reload replaces the contents of the index by the full cache state of the engine.
func (x *Index) reload(ctx context.Context) error {
	state, err := x.source.CacheState(ctx)
	if err != nil {
		return errors.Wrap(err, "cache state")
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stats.Reloads++
	x.loaded = true
	x.highest = state.Number
	clear(x.missing)
	clear(x.removed)
	x.blocks = make(map[uint64]uint64, len(state.Hashes))
	for _, hash := range state.Hashes {
		x.blocks[hash] = state.Number
	}
	return nil
}

// apply applies the events that were not received before. It returns false if too many are missing.
func (x *Index) apply(events []engine.CacheEvent) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, event := range events {
		if event.Number > x.highest {
			if !x.recordGap(event.Number) {
				return false
			}
			x.highest = event.Number
		} else if _, ok := x.missing[event.Number]; !ok {
			continue
		}
		delete(x.missing, event.Number)
		x.stats.Events++
		x.applyOne(event)
	}
	if len(x.missing) == 0 {
		clear(x.removed)
	}
	return true
}

// recordGap records the events between highest and number as missing. It returns false if too many are missing.
func (x *Index) recordGap(number uint64) bool {
	gap := number - x.highest - 1
	if gap+uint64(len(x.missing)) > maxMissingEvents {
		return false
	}
	x.stats.Gaps += gap
	for n := x.highest + 1; n < number; n++ {
		x.missing[n] = struct{}{}
	}
	return true
}

func (x *Index) applyOne(event engine.CacheEvent) {
	if event.Number < x.blocks[event.Hash] || event.Number < x.removed[event.Hash] {
		return
	}
	if event.Removed {
		delete(x.blocks, event.Hash)
		x.removed[event.Hash] = event.Number
		return
	}
	delete(x.removed, event.Hash)
	x.blocks[event.Hash] = event.Number
}
