package engine

import (
	"container/list"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// prefixCache is an LRU cache of block hashes with a numbered log of its changes.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	order    *list.List // front is the most recently used hash
	elements map[uint64]*list.Element

	delay   time.Duration
	loss    float64
	random  *rand.Rand
	logSize int
	log     []loggedEvent
	last    uint64
	changed chan struct{}
}

type loggedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newPrefixCache(cfg *Config) *prefixCache {
	return &prefixCache{
		capacity: cfg.CacheBlocks,
		order:    list.New(),
		elements: make(map[uint64]*list.Element),
		delay:    cfg.EventDelay,
		loss:     cfg.EventLoss,
		random:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		logSize:  cfg.EventLog,
		changed:  make(chan struct{}),
	}
}

// match returns the number of leading blocks in the cache and marks them as used.
func (p *prefixCache) match(hashes []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, hash := range hashes {
		element, ok := p.elements[hash]
		if !ok {
			return i
		}
		p.order.MoveToFront(element)
	}
	return len(hashes)
}

// insert adds the blocks, evicting the least recently used ones. The last block is inserted first, so that the first
// blocks of a prompt, without which the later ones are useless, are evicted last.
func (p *prefixCache) insert(hashes []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(hashes) > p.capacity {
		hashes = hashes[:p.capacity]
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		p.insertOne(hashes[i])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *prefixCache) insertOne(hash uint64) {
	if element, ok := p.elements[hash]; ok {
		p.order.MoveToFront(element)
		return
	}
	if p.order.Len() >= p.capacity {
		oldest := p.order.Back()
		removed := p.order.Remove(oldest).(uint64)
		delete(p.elements, removed)
		p.append(removed, true)
	}
	p.elements[hash] = p.order.PushFront(hash)
	p.append(hash, false)
}

func (p *prefixCache) append(hash uint64, removed bool) {
	p.last++
	event := engine.CacheEvent{Number: p.last, Hash: hash, Removed: removed}
	p.log = append(p.log, loggedEvent{CacheEvent: event, at: time.Now()})
	if len(p.log) > p.logSize {
		p.log = p.log[len(p.log)-p.logSize:]
	}
}

// events returns the events after a number that are old enough to be sent, waiting up to wait for the first.
func (p *prefixCache) events(ctx context.Context, after uint64, wait time.Duration) ([]engine.CacheEvent, error) {
	deadline := time.Now().Add(wait)
	for {
		events, sendable, next, changed, err := p.sendable(after)
		if err != nil || sendable {
			return events, err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return nil, nil
		}
		if next > 0 {
			left = min(left, next)
		}
		if err := waitChange(ctx, left, changed); err != nil {
			return nil, err
		}
	}
}

// sendable returns the events after a number without those that get lost, whether there were any, and the time until
// the next one may be sent (zero if there is none).
func (p *prefixCache) sendable(after uint64) ([]engine.CacheEvent, bool, time.Duration, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after > p.last {
		return nil, false, 0, p.changed, engine.ErrEventsLost
	}
	if len(p.log) > 0 && after+1 < p.log[0].Number {
		return nil, false, 0, p.changed, engine.ErrEventsLost
	}
	now := time.Now()
	var events []engine.CacheEvent
	found := false
	for _, e := range p.log[len(p.log)-int(p.last-after):] {
		if due := p.delay - now.Sub(e.at); due > 0 {
			return events, found, due, p.changed, nil
		}
		found = true
		if p.loss > 0 && p.random.Float64() < p.loss {
			continue
		}
		events = append(events, e.CacheEvent)
	}
	return events, found, 0, p.changed, nil
}

func (p *prefixCache) state() engine.CacheState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := engine.CacheState{Number: p.last, Hashes: make([]uint64, 0, len(p.elements))}
	for e := p.order.Front(); e != nil; e = e.Next() {
		state.Hashes = append(state.Hashes, e.Value.(uint64))
	}
	return state
}
