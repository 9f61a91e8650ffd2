package memory

import (
	"context"
	"strings"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

type watch struct {
	store     *Store
	prefix    string
	startedAt time.Time
	// outages is the store's count of outages at the start of the watch.
	outages uint64
	// nextRevision is the lowest revision that has not been delivered yet.
	nextRevision int64
	updates      chan kv.WatchUpdate
	// chargedSeconds is the number of seconds already counted against the read limit.
	chargedSeconds uint64
}

// Watch implements kv.Store. With a revision of 0 or less, the watch starts after the store's current revision, as in
// etcd. If the revision was compacted, the watch ends with an update that carries kv.ErrCompacted.
func (s *Store) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.WatchUpdate, error) {
	ctx, cancel := context.WithCancel(ctx)
	w, err := call(ctx, s, callRead, func() (*watch, error) {
		w := &watch{
			store:        s,
			prefix:       prefix,
			startedAt:    time.Now(),
			outages:      s.outages,
			nextRevision: revision,
			updates:      make(chan kv.WatchUpdate),
		}
		if w.nextRevision <= 0 {
			w.nextRevision = s.revision + 1
		}
		s.watches[w] = struct{}{}
		go w.run(ctx, cancel)
		return w, nil
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return w.updates, nil
}

func (w *watch) run(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	defer close(w.updates)
	defer w.unregister()
	ticker := time.NewTicker(w.store.progressInterval)
	defer ticker.Stop()
	sendProgress := false
	for {
		update, changed, faults := w.collect()
		sendProgress = sendProgress && !faults.NoProgress && !faults.Hanging
		if sendProgress || update.Err != nil || len(update.Events) > 0 {
			if !w.send(ctx, update, faults.Delay) || update.Err != nil {
				return
			}
		}
		sendProgress = false
		select {
		case <-changed:
		case <-ticker.C:
			sendProgress = true
		case <-ctx.Done():
			return
		}
	}
}

// collect returns all changes that have not been delivered yet, or none while Faults.Hanging is set. changed is closed at
// the next change.
func (w *watch) collect() (update kv.WatchUpdate, changed <-chan struct{}, faults Faults) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	w.chargeReadLimitLocked()
	update.Revision = s.revision
	switch {
	case w.outages != s.outages:
		update.Err = kv.ErrUnavailable
	case s.faults.Hanging:
	case w.nextRevision <= s.compactedRevision:
		update.Err = kv.ErrCompacted
	default:
		update.Events = w.eventsLocked()
		w.nextRevision = max(w.nextRevision, s.revision+1)
	}
	return update, s.changed, s.faults
}

func (w *watch) eventsLocked() []kv.Event {
	var events []kv.Event
	for _, e := range w.store.logFromLocked(w.nextRevision) {
		if strings.HasPrefix(e.Pair.Key, w.prefix) {
			e.Pair = clonePair(e.Pair)
			events = append(events, e)
		}
	}
	return events
}

// chargeReadLimitLocked counts each second of the watch against the read limit. A running watch is never ended because of
// the limit.
func (w *watch) chargeReadLimitLocked() {
	for ; w.chargedSeconds < w.elapsedSeconds(); w.chargedSeconds++ {
		w.store.readLimit.Allow()
	}
}

func (w *watch) send(ctx context.Context, update kv.WatchUpdate, delay time.Duration) bool {
	if delay > 0 && sleep(ctx, delay) != nil {
		return false
	}
	select {
	case w.updates <- update:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *watch) unregister() {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedWatchSeconds += w.elapsedSeconds()
	delete(s.watches, w)
}

// elapsedSeconds returns the number of full seconds since the start of the watch.
func (w *watch) elapsedSeconds() uint64 {
	return uint64(time.Since(w.startedAt) / time.Second)
}
