package memory

import (
	"context"
	"strings"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

type watch struct {
	store   *Store
	prefix  string
	started time.Time
	// outages is the store's number of outages at the start of the watch.
	outages uint64
	// next is the lowest revision that was not delivered yet.
	next    int64
	updates chan kv.WatchUpdate
	// charged is the number of seconds already taken from the read limit.
	charged uint64
}

// Watch implements kv.Store. A revision of 0 or less starts after the store's present revision, as in etcd.
// A revision that was compacted ends the watch with an update that carries kv.ErrCompacted.
func (s *Store) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.WatchUpdate, error) {
	ctx, cancel := context.WithCancel(ctx)
	w, err := call(ctx, s, callRead, func() (*watch, error) {
		w := &watch{
			store:   s,
			prefix:  prefix,
			started: time.Now(),
			outages: s.outages,
			next:    revision,
			updates: make(chan kv.WatchUpdate),
		}
		if w.next <= 0 {
			w.next = s.revision + 1
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
	defer w.end()
	ticker := time.NewTicker(w.store.progressInterval)
	defer ticker.Stop()
	notice := false
	for {
		update, changed, faults := w.collect()
		notice = notice && !faults.NoProgress && !faults.Hanging
		if notice || update.Err != nil || len(update.Events) > 0 {
			if !w.send(ctx, update, faults.Delay) || update.Err != nil {
				return
			}
		}
		notice = false
		select {
		case <-changed:
		case <-ticker.C:
			notice = true
		case <-ctx.Done():
			return
		}
	}
}

// collect takes all changes that were not delivered yet; none while calls hang. changed is closed at the next change.
func (w *watch) collect() (update kv.WatchUpdate, changed <-chan struct{}, faults Faults) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	w.chargeLocked()
	update.Revision = s.revision
	switch {
	case w.outages != s.outages:
		update.Err = kv.ErrUnavailable
	case s.faults.Hanging:
	case w.next <= s.compacted:
		update.Err = kv.ErrCompacted
	default:
		update.Events = w.eventsLocked()
		w.next = max(w.next, s.revision+1)
	}
	return update, s.changed, s.faults
}

func (w *watch) eventsLocked() []kv.Event {
	var events []kv.Event
	for _, e := range w.store.logFromLocked(w.next) {
		if strings.HasPrefix(e.Pair.Key, w.prefix) {
			e.Pair = clonePair(e.Pair)
			events = append(events, e)
		}
	}
	return events
}

// chargeLocked takes the seconds waited from the read limit. A watch in progress is never refused for the limit.
func (w *watch) chargeLocked() {
	for ; w.charged < w.seconds(); w.charged++ {
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

func (w *watch) end() {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedWatchS += w.seconds()
	delete(s.watches, w)
}

// seconds is the number of full seconds that the watch has waited.
func (w *watch) seconds() uint64 {
	return uint64(time.Since(w.started) / time.Second)
}
