package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// recordPrefix is the key prefix of the shard records; the shard number follows.
const recordPrefix = "/fulmardoor/ledger/"

// record is the value of a shard's key. It is changed only by compare-and-swap, and each change raises the epoch.
type record struct {
	Owner     string `json:"owner"`
	Successor string `json:"successor"`
	Epoch     uint64 `json:"epoch"`
	// Writer is unique to one write, so that a writer recognises its own write when the answer was lost.
	Writer string `json:"writer"`
}

func recordKey(shard uint32) string {
	return recordPrefix + strconv.FormatUint(uint64(shard), 10)
}

// shardOfKey returns the shard number of a key; ok is false for other keys.
func shardOfKey(key string, shards int) (shard uint32, ok bool) {
	number, err := strconv.ParseUint(strings.TrimPrefix(key, recordPrefix), 10, 32)
	if err != nil || number >= uint64(shards) {
		return 0, false
	}
	return uint32(number), true
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and an integer always marshal
	}
	return value
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, errors.Wrap(err, "decode shard record")
	}
	return r, nil
}

// ranked orders processes by rendezvous hash for a shard, best first.
func ranked(members []string, shard uint32) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(members))
	for i, name := range members {
		list[i] = scored{name: name, score: xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, name))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.name, b.name))
	})
	names := make([]string, len(list))
	for i := range list {
		names[i] = list[i].name
	}
	return names
}

// swapResult is the outcome of a compare-and-swap of a record.
type swapResult struct {
	written bool
	// pair is the record that is now in the store, if found. Without it nothing was written and nothing is known.
	pair  kv.Pair
	found bool
	// provenAt is when the operation was sent that proved pair to be in the store.
	provenAt time.Time
}

// swap writes next if the record is still at revision. It returns only when the outcome is certain or ctx ends (ok is
// false). After a lost answer the write counts as not done only once the record has moved past revision, because a write
// that is still on its way could otherwise take effect later.
func swap(ctx context.Context, store kv.Store, key string, next record, revision int64) (result swapResult, ok bool) {
	value := next.encode()
	doubtful := false
	delay := retryDelay
	for ctx.Err() == nil {
		sent := time.Now()
		newRevision, err := timedSwap(ctx, store, key, value, revision)
		if err == nil {
			pair := kv.Pair{Key: key, Value: value, ModRevision: newRevision}
			return swapResult{written: true, pair: pair, found: true, provenAt: sent}, true
		}
		if errors.Is(err, kv.ErrUnavailable) && !doubtful {
			return swapResult{}, true
		}
		doubtful = doubtful || !errors.Is(err, kv.ErrConflict)
		sent = time.Now()
		pair, err := timedGet(ctx, store, key)
		switch {
		case err == nil && string(pair.Value) == string(value):
			return swapResult{written: true, pair: pair, found: true, provenAt: sent}, true
		case err == nil && pair.ModRevision != revision:
			return swapResult{pair: pair, found: true, provenAt: sent}, true
		case errors.Is(err, kv.ErrNotFound) && revision != 0:
			return swapResult{}, true
		}
		wait.For(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return swapResult{}, false
}

func timedSwap(ctx context.Context, store kv.Store, key string, value []byte, revision int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.CompareAndSwap(ctx, key, value, revision, 0)
}

func timedGet(ctx context.Context, store kv.Store, key string) (kv.Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.Get(ctx, key)
}
