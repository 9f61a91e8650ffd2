// Package follow keeps a process up to date with the data in the key-value service: the configuration, the announced
// upstreams and the other entry processes. The last known data stays in use while the service is unavailable.
package follow

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential delay after failed calls. The maximum is short, so that the
	// recovery of the service is detected within the time in which a new configuration must be in force.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// elsewherePollInterval is how often WatchKey checks whether other processes still follow the key.
const elsewherePollInterval = 250 * time.Millisecond

// WatchKey watches one key. It calls apply with the current value and then with each new one, until ctx ends. It ignores
// the deletion of the key. It makes no call while elsewhere reports that other processes follow the key and tell this one of new
// values; nil means that none do.
func WatchKey(ctx context.Context, store kv.Store, key string, status Status, elsewhere func() bool, apply func(kv.Pair)) {
	dep := &dependency{Status: status, name: "store: " + key}
	for ctx.Err() == nil {
		if elsewhere != nil && elsewhere() {
			wait.For(ctx, elsewherePollInterval)
			continue
		}
		// The watch starts after the store's current revision, because the store may have compacted the pair's revision.
		pairs, revision, err := store.List(ctx, key)
		if err == nil {
			dep.succeeded()
			for _, pair := range pairs {
				if pair.Key == key {
					apply(pair)
				}
			}
			if elsewhere != nil && elsewhere() {
				continue
			}
			err = applyChanges(ctx, store, key, revision+1, elsewhere, apply)
		}
		if ctx.Err() == nil && err != nil && !errors.Is(err, kv.ErrCompacted) {
			dep.failed(ctx, err)
		}
	}
}

// applyChanges watches the key and applies each new value until the watch ends, and returns the reason. It returns nil once other processes follow the
// key.
func applyChanges(ctx context.Context, store kv.Store, key string, revision int64, elsewhere func() bool, apply func(kv.Pair)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if elsewhere != nil {
		go func() {
			for ctx.Err() == nil && !elsewhere() {
				wait.For(ctx, elsewherePollInterval)
			}
			cancel()
		}()
	}
	updates, err := store.Watch(ctx, key, revision)
	if err != nil {
		return err
	}
	for update := range updates {
		if ctx.Err() != nil {
			return nil
		}
		if update.Err != nil {
			return update.Err
		}
		for _, event := range update.Events {
			if event.Pair.Key == key && !event.Deleted {
				apply(event.Pair)
			}
		}
	}
	return nil
}

// PollOptions configures PollList.
type PollOptions struct {
	// List reads the current pairs.
	List func(ctx context.Context) ([]kv.Pair, error)
	// Name identifies the dependency in log lines.
	Name     string
	Interval time.Duration
	// Due returns how long no read is needed, because the pairs come from elsewhere; nil if they never do.
	Due func() time.Duration
	// MissingGrace is the time after an outage in which missing pairs are still passed to apply: their writers may not
	// have reconnected to the service yet.
	MissingGrace time.Duration
	// HistoryChanged returns a channel that is closed when the store went back to a copy; nil if it cannot. That counts as an outage.
	HistoryChanged func() <-chan struct{}
	Status
}

// PollList reads the pairs every Interval until ctx ends and calls apply with them. For MissingGrace after an outage, it
// also passes the pairs that were known before and are now missing. It does not call apply after a failed read.
func PollList(ctx context.Context, options PollOptions, apply func(present, missing []kv.Pair)) {
	dep := &dependency{Status: options.Status, name: options.Name}
	known := make(map[string]kv.Pair)
	var recoveredAt time.Time
	var historyChanged <-chan struct{}
	for ctx.Err() == nil {
		if options.Due != nil {
			if due := options.Due(); due > 0 {
				wait.For(ctx, due)
				continue
			}
		}
		if historyChanged == nil && options.HistoryChanged != nil {
			historyChanged = options.HistoryChanged()
		}
		pairs, err := options.List(ctx)
		if err != nil {
			dep.failed(ctx, err)
			continue
		}
		if dep.unavailable || wait.IsClosed(historyChanged) {
			recoveredAt, historyChanged = time.Now(), nil
		}
		dep.succeeded()
		apply(pairs, updateKnown(known, pairs, time.Since(recoveredAt) < options.MissingGrace))
		wait.For(ctx, options.Interval)
	}
}

// updateKnown updates known to contain pairs. With keep, known pairs that are not in pairs are kept and returned; otherwise
// they are removed.
func updateKnown(known map[string]kv.Pair, pairs []kv.Pair, keep bool) (missing []kv.Pair) {
	listed := make(map[string]bool, len(pairs))
	for _, pair := range pairs {
		listed[pair.Key] = true
		known[pair.Key] = pair
	}
	for key, pair := range known {
		if listed[key] {
			continue
		}
		if keep {
			missing = append(missing, pair)
			continue
		}
		delete(known, key)
	}
	return missing
}
