package engine

import (
	"container/list"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// prefixCache is an LRU cache of block hashes with a log of numbered insert and remove events.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	recency  *list.List // block hashes; the front is the most recently used one
	elements map[uint64]*list.Element

	// delay is the minimum age of an event before it is sent, lossShare the probability that an event is dropped.
	delay      time.Duration
	lossShare  float64
	random     *rand.Rand
	logSize    int
	log        []loggedEvent
	lastNumber uint64
	// changed is closed and replaced after each insert.
	changed chan struct{}
}

type loggedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newPrefixCache(cfg *Config) *prefixCache {
	return &prefixCache{
		capacity:  cfg.CacheBlocks,
		recency:   list.New(),
		elements:  make(map[uint64]*list.Element),
		delay:     cfg.EventDelay,
		lossShare: cfg.EventLoss,
		random:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		logSize:   cfg.EventLog,
		changed:   make(chan struct{}),
	}
}

// match returns how many leading blocks of a prompt are cached, and marks these blocks as recently used.
func (p *prefixCache) match(hashes []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, hash := range hashes {
		element, ok := p.elements[hash]
		if !ok {
			return i
		}
		p.recency.MoveToFront(element)
	}
	return len(hashes)
}

// insert adds the blocks of a prompt and evicts the least recently used blocks. It inserts the last block first, so
// that the first blocks of the prompt are evicted last: a later block cannot be used without all blocks before it.
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
		p.recency.MoveToFront(element)
		return
	}
	if p.recency.Len() >= p.capacity {
		oldest := p.recency.Back()
		removed := p.recency.Remove(oldest).(uint64)
		delete(p.elements, removed)
		p.append(removed, true)
	}
	p.elements[hash] = p.recency.PushFront(hash)
	p.append(hash, false)
}

func (p *prefixCache) append(hash uint64, removed bool) {
	p.lastNumber++
	event := engine.CacheEvent{Number: p.lastNumber, Hash: hash, Removed: removed}
	p.log = append(p.log, loggedEvent{CacheEvent: event, at: time.Now()})
	if len(p.log) > p.logSize {
		p.log = p.log[len(p.log)-p.logSize:]
	}
}

// events returns the events with numbers above after that are at least delay old. If there are none, it waits up to
// wait for the first one.
func (p *prefixCache) events(ctx context.Context, after uint64, wait time.Duration) ([]engine.CacheEvent, error) {
	deadline := time.Now().Add(wait)
	for {
		events, found, untilDue, changed, err := p.dueEvents(after)
		if err != nil || found {
			return events, err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return nil, nil
		}
		if untilDue > 0 {
			left = min(left, untilDue)
		}
		if err := waitForChange(ctx, left, changed); err != nil {
			return nil, err
		}
	}
}

// dueEvents returns the events with numbers above after that are at least delay old. It leaves out those dropped by the
// simulated event loss; the second result says whether there were any events, including dropped ones. The third result
// is the time until the next event is old enough, zero if there is none, and the channel is closed at the next insert.
// The error is engine.ErrEventsLost if the log no longer reaches back to after, or if after is above the last event
// number.
func (p *prefixCache) dueEvents(after uint64) ([]engine.CacheEvent, bool, time.Duration, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after > p.lastNumber {
		return nil, false, 0, p.changed, engine.ErrEventsLost
	}
	if len(p.log) > 0 && after+1 < p.log[0].Number {
		return nil, false, 0, p.changed, engine.ErrEventsLost
	}
	now := time.Now()
	var events []engine.CacheEvent
	found := false
	for _, e := range p.log[len(p.log)-int(p.lastNumber-after):] {
		if untilDue := p.delay - now.Sub(e.at); untilDue > 0 {
			return events, found, untilDue, p.changed, nil
		}
		found = true
		if p.lossShare > 0 && p.random.Float64() < p.lossShare {
			continue
		}
		events = append(events, e.CacheEvent)
	}
	return events, found, 0, p.changed, nil
}

func (p *prefixCache) state() engine.CacheState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := engine.CacheState{Number: p.lastNumber, Hashes: make([]uint64, 0, len(p.elements))}
	for e := p.recency.Front(); e != nil; e = e.Next() {
		state.Hashes = append(state.Hashes, e.Value.(uint64))
	}
	return state
}
