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
	keyPrefix     = "/fulmardoor/orders/"
	retryInterval = 50 * time.Millisecond
)

// ErrStale means that a newer fencing number was issued.
var ErrStale = errors.New("a newer order was issued")

// Key returns the key of an upstream's counter in the key-value service.
func Key(upstream string) string { return keyPrefix + upstream }

// latestNumber returns the newest fencing number of an upstream, 0 if none was issued, and the revision of its counter.
func latestNumber(ctx context.Context, store kv.Store, upstream string) (uint64, int64, error) {
	pair, err := store.Get(ctx, Key(upstream))
	if errors.Is(err, kv.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	number, err := strconv.ParseUint(string(pair.Value), 10, 64)
	if err != nil {
		return 0, 0, errors.Wrap(err, "parse stored fencing number")
	}
	return number, pair.ModRevision, nil
}

// Issue returns a fencing number that is given to no other caller. It tries again after a lost race or a write with an
// unknown outcome; if that write took effect, its number is skipped. Errors: kv.ErrUnavailable, the error of ctx.
func Issue(ctx context.Context, store kv.Store, upstream string) (uint64, error) {
	return IssueAbove(ctx, store, upstream, 0)
}

// IssueAbove is Issue with a number above floor. A floor that grows when the store goes back to a copy keeps new numbers above those that the store lost,
// which sidecars and engines remember.
func IssueAbove(ctx context.Context, store kv.Store, upstream string, floor uint64) (uint64, error) {
	for {
		number, revision, err := latestNumber(ctx, store, upstream)
		if err != nil {
			return 0, err
		}
		number = max(number, floor)
		_, err = store.CompareAndSwap(ctx, Key(upstream), strconv.AppendUint(nil, number+1, 10), revision, 0)
		if err == nil {
			return number + 1, nil
		}
		if !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrOutcomeUnknown) {
			return 0, err
		}
		if !wait.For(ctx, retryInterval) {
			return 0, ctx.Err()
		}
	}
}

// Check returns ErrStale if a number is not the newest one issued. It asks the store, because a process that has just
// started remembers no numbers, and the issuer of an old order may have been paused while a newer order was sent and the
// process restarted.
func Check(ctx context.Context, store kv.Store, upstream string, number uint64) error {
	issued, _, err := latestNumber(ctx, store, upstream)
	if err != nil {
		return errors.Wrap(err, "confirm fencing number")
	}
	if number != issued {
		return ErrStale
	}
	return nil
}
