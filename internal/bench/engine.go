package bench

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	errEngineDied    = errors.New("engine died")
	errEngineStalled = errors.New("engine stalled")
	errEvicted       = errors.New("exported KV cache evicted")
	errTransfer      = errors.New("transfer stalled")
)

// fault is the state of an engine or link that a run can spoil.
type fault struct {
	mu    sync.Mutex
	died  chan struct{}
	stall time.Time
}

func newFault() *fault {
	return &fault{died: make(chan struct{})}
}

// die breaks all work in progress.
func (f *fault) die() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.died)
	f.died = make(chan struct{})
}

func (f *fault) stallFor(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stall = time.Now().Add(d)
}

func (f *fault) state() (died <-chan struct{}, stalled time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.died, max(0, time.Until(f.stall))
}

// sleep waits for d, longer during a stall, or until the engine dies or ctx ends.
func (f *fault) sleep(ctx context.Context, died <-chan struct{}, d time.Duration) error {
	for d > 0 {
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-died:
			timer.Stop()
			return errEngineDied
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
		_, d = f.state()
	}
	return nil
}

// export is a finished prefill.
type export struct {
	dataCentre string
	tokens     int
	until      time.Time
	died       <-chan struct{}
}

// prefillEngine works on up to prefillPlaces prompts at the same time, each at an equal part of its speed.
type prefillEngine struct {
	*fault
	speed float64
	cache map[uint64]time.Time
}

// cached returns the tokens of the prompt that are in the prefix cache.
func (e *prefillEngine) cached(blocks []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := 0
	for _, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			break
		}
		tokens += blockTokens
	}
	return tokens
}

func (e *prefillEngine) prefill(ctx context.Context, dataCentre string, prompt int, blocks []uint64) (*export, error) {
	died, _ := e.state()
	uncached := max(1, prompt-e.cached(blocks))
	err := e.sleep(ctx, died, time.Duration(float64(uncached)*prefillPlaces/e.speed*float64(time.Second)))
	if err != nil {
		return nil, err
	}
	e.remember(blocks)
	return &export{dataCentre, prompt, time.Now().Add(evictionTime), died}, nil
}

// remember adds blocks to the cache and evicts the least recently used ones.
func (e *prefillEngine) remember(blocks []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range blocks {
		e.cache[b] = time.Now()
	}
	for len(e.cache) > cacheBlocks {
		var oldest uint64
		for b, at := range e.cache {
			if o, ok := e.cache[oldest]; !ok || at.Before(o) {
				oldest = b
			}
		}
		delete(e.cache, oldest)
	}
}

// decodeEngine streams tokens to up to decodePlaces requests.
type decodeEngine struct {
	*fault
	gap     time.Duration
	running int
}

// chunkTokens is the number of tokens per step of the fake.
const chunkTokens = 4

// decode calls emit with the number of new tokens after each step.
func (e *decodeEngine) decode(ctx context.Context, tokens int, emit func(int)) error {
	died, _ := e.state()
	e.add(1)
	defer e.add(-1)
	step := 1
	for tokens > 0 {
		step = min(step, tokens)
		if err := e.sleep(ctx, died, time.Duration(step)*e.stepGap()); err != nil {
			return err
		}
		emit(step)
		tokens -= step
		step = chunkTokens
	}
	return nil
}

func (e *decodeEngine) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}

// stepGap is the time between tokens; an engine with few requests is faster.
func (e *decodeEngine) stepGap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.gap) * (0.6 + 0.4*float64(e.running)/decodePlaces))
}

// wire is a link that carries one transfer after the other.
type wire struct {
	mu   sync.Mutex
	rate float64
	free time.Time
	hang time.Time
}

// transfer waits for the KV cache of an export. A transfer that starts while the link hangs never ends; the importing
// side gives up when no byte came for the limit.
func (w *wire) transfer(ctx context.Context, x *export, limit time.Duration) error {
	if time.Now().After(x.until) {
		return errEvicted
	}
	w.mu.Lock()
	queue := max(0, time.Until(w.free))
	wait := queue + time.Duration(float64(x.tokens)*bytesPerToken/w.rate*float64(time.Second))
	hangs := time.Now().Before(w.hang)
	if hangs {
		wait = queue + limit
	} else {
		w.free = time.Now().Add(wait)
	}
	w.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.died:
		return errEngineDied
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if hangs {
		return errTransfer
	}
	return nil
}

func (w *wire) hangFor(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hang = time.Now().Add(d)
}

// forget empties the prefix cache, as a restart does.
func (e *prefillEngine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.cache)
}
