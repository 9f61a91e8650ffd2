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
	// Writer is unique to one write, so that a node recognises its own write after the reply was lost.
	Writer string `json:"writer"`
}

func recordKey(shard uint32) string {
	return recordPrefix + strconv.FormatUint(uint64(shard), 10)
}

// shardOfKey returns the shard number of a record key; ok is false if it is not the key of a shard record.
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

// ranked returns the members ordered by rendezvous hash for a shard, highest first.
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
	// pair is the record in the store if found is set. If found is not set, nothing was written and the record in the store
	// is unknown or missing.
	pair  kv.Pair
	found bool
	// observedAt is when the operation that found pair in the store was sent.
	observedAt time.Time
}

// compareAndSwap writes next if the record is still at revision. It retries until the outcome is certain, or returns with
// ok false when ctx ends. After a lost reply the write is known to have failed only when the record has another revision or
// was deleted, because until then the delayed write could still take effect.
func compareAndSwap(
	ctx context.Context, store kv.Store, key string, next record, revision int64,
) (result swapResult, ok bool) {
	value := next.encode()
	uncertain := false
	delay := retryDelay
	for ctx.Err() == nil {
		sent := time.Now()
		newRevision, err := swapWithTimeout(ctx, store, key, value, revision)
		if err == nil {
			pair := kv.Pair{Key: key, Value: value, ModRevision: newRevision}
			return swapResult{written: true, pair: pair, found: true, observedAt: sent}, true
		}
		if errors.Is(err, kv.ErrUnavailable) && !uncertain {
			return swapResult{}, true
		}
		uncertain = uncertain || !errors.Is(err, kv.ErrConflict)
		sent = time.Now()
		pair, err := getWithTimeout(ctx, store, key)
		switch {
		case err == nil && string(pair.Value) == string(value):
			return swapResult{written: true, pair: pair, found: true, observedAt: sent}, true
		case err == nil && pair.ModRevision != revision:
			return swapResult{pair: pair, found: true, observedAt: sent}, true
		case errors.Is(err, kv.ErrNotFound) && revision != 0:
			return swapResult{}, true
		}
		wait.For(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return swapResult{}, false
}

func swapWithTimeout(ctx context.Context, store kv.Store, key string, value []byte, revision int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.CompareAndSwap(ctx, key, value, revision, 0)
}

func getWithTimeout(ctx context.Context, store kv.Store, key string) (kv.Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.Get(ctx, key)
}
