// Package follow keeps a process up to date with the data in the key-value service: the configuration, the list of
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

// PollOptions configures Poll.
type PollOptions struct {
	// Read reads the data and applies it.
	Read func(ctx context.Context) error
	// Name identifies the dependency in log lines.
	Name string
	// Interval returns the time until the next read after a successful one.
	Interval func() time.Duration
	// Due returns how long no read is needed, because the data comes from elsewhere; nil if it never does.
	Due func() time.Duration
	Status
}

// Poll reads the data every Interval until ctx ends.
func Poll(ctx context.Context, options PollOptions) {
	dep := &dependency{Status: options.Status, name: options.Name}
	for ctx.Err() == nil {
		if options.Due != nil {
			if due := options.Due(); due > 0 {
				wait.For(ctx, due)
				continue
			}
		}
		if err := options.Read(ctx); err != nil {
			dep.failed(ctx, err)
			continue
		}
		dep.succeeded()
		wait.For(ctx, options.Interval())
	}
}
