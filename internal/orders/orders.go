// Package orders issues and checks the fencing numbers of orders to upstreams. Each upstream has a counter in the
// key-value service; a number is issued once, and only the newest is valid.
package orders

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	prefix     = "/fulmardoor/orders/"
	retryPause = 50 * time.Millisecond
)

// ErrStale means that a newer number was issued.
var ErrStale = errors.New("a newer order was issued")

// Key returns the key of an upstream's counter.
func Key(upstream string) string { return prefix + upstream }

// newest returns the newest number of an upstream, 0 if none was issued, and the revision of the counter.
func newest(ctx context.Context, store kv.Store, upstream string) (uint64, int64, error) {
	pair, err := store.Get(ctx, Key(upstream))
	if errors.Is(err, kv.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	number, err := strconv.ParseUint(string(pair.Value), 10, 64)
	if err != nil {
		return 0, 0, errors.Wrap(err, "stored fencing number")
	}
	return number, pair.ModRevision, nil
}

// Issue takes a number that nobody else got. A write whose answer was lost only skips a number.
// Errors: kv.ErrUnavailable, the error of ctx.
func Issue(ctx context.Context, store kv.Store, upstream string) (uint64, error) {
	for {
		number, revision, err := newest(ctx, store, upstream)
		if err != nil {
			return 0, err
		}
		_, err = store.CompareAndSwap(ctx, Key(upstream), strconv.AppendUint(nil, number+1, 10), revision, 0)
		if err == nil {
			return number + 1, nil
		}
		if !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrOutcomeUnknown) {
			return 0, err
		}
		if !wait.For(ctx, retryPause) {
			return 0, ctx.Err()
		}
	}
}

// Check reports with ErrStale that a number is not the newest. A process that has just started knows no numbers, so it asks
// the store: the issuer of an old order may have been paused while both the newer order and the restart happened.
func Check(ctx context.Context, store kv.Store, upstream string, number uint64) error {
	issued, _, err := newest(ctx, store, upstream)
	if err != nil {
		return errors.Wrap(err, "fencing number not confirmed")
	}
	if number != issued {
		return ErrStale
	}
	return nil
}
