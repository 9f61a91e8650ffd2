// Package memory is an in-memory kv.Store for tests, benchmarks and the platform stand-in. It behaves like the platform's
// key-value service and can simulate faults, which can be changed at run time. It uses only package time as its clock, so
// that it works in the virtual time of testing/synctest.
package memory

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

const (
	// DefaultProgressInterval is the default time between two progress notifications of a watch.
	DefaultProgressInterval = 500 * time.Millisecond
	// DefaultHistory is the default number of events kept for watches that start at an old revision.
	DefaultHistory = 10000
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20

	// An empty store is at revision 1, as in etcd, so that revision 0 can mean "does not exist".
	firstRevision = 1
)

var (
	// ErrValueTooLarge means that a value is larger than MaxValueBytes; nothing was written.
	ErrValueTooLarge = errors.New("value too large")
	// ErrRateLimited is returned for calls above the rate limit. It wraps kv.ErrUnavailable.
	ErrRateLimited = errors.Wrap(kv.ErrUnavailable, "rate limit")
)

// Options configure a Store. The zero value is usable.
type Options struct {
	// ProgressInterval is the time between progress notifications. Default DefaultProgressInterval.
	ProgressInterval time.Duration
	// History is the number of events kept for watches that start at an old revision. Default DefaultHistory.
	History int
	// Faults are the initial faults.
	Faults Faults
	// Seed is the seed of the random numbers for Jitter and LoseRate.
	Seed uint64
}

// Store implements kv.Store. Create it with New.
type Store struct {
	progressInterval time.Duration
	history          int

	mu       sync.Mutex // guards the fields below
	revision int64
	pairs    map[string]kv.Pair
	leases   map[int64]*lease
	// lastLeaseID is the highest lease ID granted.
	lastLeaseID int64
	// restores counts how often the store went back to a copy.
	restores int64

	// log holds the latest events in the order of their revisions.
	log []kv.Event
	// compactedRevision is the highest revision whose events were dropped from the log.
	compactedRevision int64
	// changed is closed and replaced at every change and at the start of an outage.
	changed chan struct{}
	watches map[*watch]struct{}

	faults Faults
	random *rand.Rand
	// staleList has all pairs, whatever their prefix. List selects from it while Faults.StaleLists is set.
	staleList listing
	// outages counts the outages, so that calls and watches also detect an outage that has already ended.
	outages           uint64
	readLimit         *rate.Limiter
	writeLimit        *rate.Limiter
	calls             Calls
	endedWatchSeconds uint64
}

var (
	_ kv.Store         = (*Store)(nil)
	_ kv.HistoryReader = (*Store)(nil)
)

// New returns an empty store.
func New(options Options) *Store {
	s := &Store{
		progressInterval: options.ProgressInterval,
		history:          options.History,
		revision:         firstRevision,
		pairs:            make(map[string]kv.Pair),
		leases:           make(map[int64]*lease),
		changed:          make(chan struct{}),
		watches:          make(map[*watch]struct{}),
		random:           rand.New(rand.NewPCG(options.Seed, 0)),
	}
	if s.progressInterval <= 0 {
		s.progressInterval = DefaultProgressInterval
	}
	if s.history <= 0 {
		s.history = DefaultHistory
	}
	s.SetFaults(options.Faults)
	return s
}

// Revision returns the store's current revision. It is not counted as a call and also works during an outage.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Pair, error) {
	return call(ctx, s, callRead, func() (kv.Pair, error) {
		pair, ok := s.pairs[key]
		if !ok {
			return kv.Pair{}, kv.ErrNotFound
		}
		return clonePair(pair), nil
	})
}

// GetAt implements kv.HistoryReader.
func (s *Store) GetAt(ctx context.Context, key string, revision int64) (kv.Pair, error) {
	return call(ctx, s, callRead, func() (kv.Pair, error) {
		if revision > s.revision {
			return kv.Pair{}, kv.ErrFutureRevision
		}
		if pair, ok := s.pairs[key]; ok && pair.ModRevision <= revision {
			return clonePair(pair), nil
		}
		for _, event := range slices.Backward(s.log) {
			switch {
			case event.Pair.Key != key || event.Pair.ModRevision > revision:
			case event.Deleted:
				return kv.Pair{}, kv.ErrNotFound
			default:
				return clonePair(event.Pair), nil
			}
		}
		if s.compactedRevision > 0 { // an event that was dropped may have set the value
			return kv.Pair{}, kv.ErrCompacted
		}
		return kv.Pair{}, kv.ErrNotFound
	})
}

// listing is the result of List.
type listing struct {
	pairs    []kv.Pair
	revision int64
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	l, err := call(ctx, s, callRead, func() (listing, error) {
		if s.faults.StaleLists {
			return listing{s.staleListLocked(prefix), s.staleList.revision}, nil
		}
		return listing{s.listLocked(prefix), s.revision}, nil
	})
	return l.pairs, l.revision, err
}

func (s *Store) listLocked(prefix string) []kv.Pair {
	var pairs []kv.Pair
	for key, pair := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			pairs = append(pairs, clonePair(pair))
		}
	}
	slices.SortFunc(pairs, func(a, b kv.Pair) int { return strings.Compare(a.Key, b.Key) })
	return pairs
}

func (s *Store) staleListLocked(prefix string) []kv.Pair {
	var pairs []kv.Pair
	for _, pair := range s.staleList.pairs {
		if strings.HasPrefix(pair.Key, prefix) {
			pairs = append(pairs, clonePair(pair))
		}
	}
	return pairs
}

// CompareAndSwap implements kv.Store. A conflict is reported before a missing lease, as in etcd.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrValueTooLarge
	}
	value = bytes.Clone(value)
	return call(ctx, s, callWrite, func() (int64, error) {
		old := s.pairs[key]
		if old.ModRevision != revision {
			return 0, kv.ErrConflict
		}
		if lease != 0 && !s.leaseValidLocked(lease) {
			return 0, kv.ErrLeaseNotFound
		}
		return s.putLocked(key, value, lease), nil
	})
}

// putLocked writes a pair and returns the new revision.
func (s *Store) putLocked(key string, value []byte, lease int64) int64 {
	s.detachLeaseLocked(s.pairs[key])
	s.revision++
	pair := kv.Pair{Key: key, Value: value, ModRevision: s.revision, LeaseID: lease}
	s.pairs[key] = pair
	if lease != 0 {
		s.leases[lease].keys[key] = struct{}{}
	}
	s.recordLocked(kv.Event{Pair: pair})
	return s.revision
}

// Delete implements kv.Store. As in etcd, revision 0 succeeds on a key that does not exist and changes nothing.
func (s *Store) Delete(ctx context.Context, key string, revision int64) (int64, error) {
	return call(ctx, s, callWrite, func() (int64, error) {
		old, exists := s.pairs[key]
		if old.ModRevision != revision {
			return 0, kv.ErrConflict
		}
		if exists {
			s.deleteLocked(key)
		}
		return s.revision, nil
	})
}

// deleteLocked deletes existing keys in one revision.
func (s *Store) deleteLocked(keys ...string) {
	s.revision++
	events := make([]kv.Event, 0, len(keys))
	for _, key := range keys {
		s.detachLeaseLocked(s.pairs[key])
		delete(s.pairs, key)
		events = append(events, kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision}, Deleted: true})
	}
	s.recordLocked(events...)
}

// recordLocked appends the events of one revision to the log and notifies the watches.
func (s *Store) recordLocked(events ...kv.Event) {
	s.log = append(s.log, events...)
	if excess := len(s.log) - s.history; excess > 0 {
		s.compactLocked(s.log[excess-1].Pair.ModRevision)
	}
	s.notifyWatchesLocked()
}

func (s *Store) notifyWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the events up to revision (inclusive). Watches that still need them end with kv.ErrCompacted.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactLocked(min(revision, s.revision))
	s.notifyWatchesLocked()
}

func (s *Store) compactLocked(revision int64) {
	if revision <= s.compactedRevision {
		return
	}
	s.compactedRevision = revision
	kept := s.logFromLocked(revision + 1)
	clear(s.log[:len(s.log)-len(kept)])
	s.log = kept
}

// logFromLocked returns the events since revision (inclusive).
func (s *Store) logFromLocked(revision int64) []kv.Event {
	first, _ := slices.BinarySearchFunc(s.log, revision, func(e kv.Event, r int64) int {
		return int(e.Pair.ModRevision - r)
	})
	return s.log[first:]
}

func clonePair(pair kv.Pair) kv.Pair {
	pair.Value = bytes.Clone(pair.Value)
	return pair
}

// Compacted returns the highest revision whose events were dropped from the log; 0 if none.
func (s *Store) Compacted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compactedRevision
}
