package confsync

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// probeInterval is the time between two reads of the store's revision by a watcher.
	probeInterval = time.Second
	// probePrefix has no keys. Listing it is the cheapest read of the store's revision.
	probePrefix = "/fulmardoor/probe/"
	// storeTimeout limits one call to the store. A slower store counts as not reachable.
	storeTimeout = 3 * time.Second
	// contactLimit is the time after the last answer from which on a watcher has no contact. Together with one heartbeat
	// it is below FreshnessLimit, so that an outage is known before the limit.
	contactLimit = 2500 * time.Millisecond

	minWatchRetry = 250 * time.Millisecond
	maxWatchRetry = 2 * time.Second

	// An entry that is no watcher tries the store itself when its confirmation is older than trialAge. About trialRate
	// entries of a data centre start a trial each second, so that an outage does not end in a rush of calls.
	trialAge   = FreshnessLimit / 2
	trialRate  = 4
	trialTerm  = 3 * time.Second
	promoteFor = 30 * time.Second
)

// errListAgain ends a watch whose state can be had by a new list only.
var errListAgain = errors.New("watch is behind")

// watchState belongs to the entries that watch the store.
type watchState struct {
	// stop ends the running watch; nil if there is none.
	stop context.CancelFunc
	// answered is the time of the store's last answer.
	answered time.Time
	// promotedUntil keeps an entry watching that is not elected.
	promotedUntil time.Time
	lastTrial     time.Time
}

func (w *watchState) hasContact(now time.Time) bool {
	return !w.answered.IsZero() && now.Sub(w.answered) <= contactLimit
}

// IsWatching reports whether this process watches the store.
func (n *Node) IsWatching() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watch.stop != nil
}

// superviseWatch starts or stops the watch. A process without configuration always reads the store. n.mu must be held.
func (n *Node) superviseWatch(now time.Time) {
	if n.cfg.Store == nil {
		return
	}
	n.considerTrial(now)
	wanted := !n.fresh.loaded || now.Before(n.watch.promotedUntil) || n.isElected(now)
	switch {
	case wanted && n.watch.stop == nil:
		ctx, cancel := context.WithCancel(n.running)
		n.watch.stop = cancel
		n.begin(func(context.Context) { n.watchStore(ctx) })
	case !wanted && n.watch.stop != nil:
		n.watch.stop()
		n.watch.stop = nil
	}
}

// considerTrial lets an entry try the store when the watchers may all have lost it. n.mu must be held.
func (n *Node) considerTrial(now time.Time) {
	if !n.fresh.loaded || now.Sub(n.watch.lastTrial) < time.Second || now.Sub(n.fresh.confirmed) < trialAge {
		return
	}
	n.watch.lastTrial = now
	if rand.IntN(n.dataCentreEntries()) < trialRate && now.After(n.watch.promotedUntil) {
		n.watch.promotedUntil = now.Add(trialTerm)
	}
}

// watchStore lists and watches the documents until ctx ends.
func (n *Node) watchStore(ctx context.Context) {
	delay := minWatchRetry
	w := &watcher{node: n}
	for ctx.Err() == nil {
		started := time.Now()
		err := w.run(ctx)
		if ctx.Err() != nil {
			return
		}
		n.cfg.Logger.Debug("watch of the store ended", zap.Error(err))
		if time.Since(started) > maxWatchRetry {
			delay = minWatchRetry
		}
		wait.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxWatchRetry)
	}
}

// watcher follows the store. It is used by one goroutine.
type watcher struct {
	node *Node
	// listed says that the fields below are valid.
	listed bool
	// documents is the revision of the last change of a document.
	documents uint64
	// delivered is the store's revision up to which all changes of documents are known.
	delivered int64
	// waiting is a read of the store's revision that the watch has not reached yet.
	waiting *probe
}

// probe is a read of the store's revision.
type probe struct {
	revision int64
	sent     time.Time
	err      error
}

// run returns when the watch ends. The next run continues after the last delivered revision if the store allows it.
func (w *watcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.waiting = nil
	if !w.listed {
		if err := w.list(ctx); err != nil {
			return err
		}
	}
	updates, err := w.node.cfg.Store.Watch(ctx, Prefix, w.delivered+1)
	if err != nil {
		return w.failed(err)
	}
	probes := w.node.startProbes(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update, ok := <-updates:
			if !ok {
				return errors.New("watch closed")
			}
			if update.Err != nil {
				return w.failed(update.Err)
			}
			w.update(update)
		case p := <-probes:
			if err := w.probed(p); err != nil {
				return w.failed(err)
			}
		}
	}
}

// failed notes that a new list is needed when the store cannot continue the watch.
func (w *watcher) failed(err error) error {
	if errors.Is(err, kv.ErrCompacted) || errors.Is(err, errListAgain) {
		w.listed = false
	}
	return err
}

// list reads all documents.
func (w *watcher) list(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	pairs, revision, err := w.node.cfg.Store.List(callCtx, Prefix)
	if err != nil {
		return errors.Wrap(err, "list documents")
	}
	documents := make([]*wirev1.Document, 0, len(pairs))
	newest := uint64(0)
	for _, pair := range pairs {
		d := wireDocument(pair, false)
		documents = append(documents, d)
		newest = max(newest, d.GetRevision())
	}
	if !w.node.isCurrent(uint64(revision)) {
		return errors.Errorf("list documents: old answer of revision %d", revision)
	}
	if w.node.removedIn(documents, uint64(revision)) {
		newest = uint64(revision)
	}
	w.listed = true
	w.waiting = nil
	w.documents = newest
	w.delivered = revision
	w.node.answeredByStore()
	w.node.take(batch{documents: documents, to: newest, whole: true}, "")
	w.node.confirm(newest, sent)
	return nil
}

func wireDocument(pair kv.Pair, deleted bool) *wirev1.Document {
	return &wirev1.Document{
		Team:     strings.TrimPrefix(pair.Key, Prefix),
		Revision: uint64(pair.ModRevision),
		Text:     pair.Value,
		Deleted:  deleted,
	}
}

// update applies changes in the order of their revisions, each as a batch of its own.
func (w *watcher) update(update kv.WatchUpdate) {
	w.node.answeredByStore()
	for _, event := range update.Events {
		d := wireDocument(event.Pair, event.Deleted)
		if event.Deleted {
			d.Text = nil
			d.Revision = max(d.Revision, w.documents+1)
		}
		w.node.take(batch{documents: []*wirev1.Document{d}, from: w.documents, to: d.Revision}, "")
		w.documents = max(w.documents, d.Revision)
		w.delivered = max(w.delivered, event.Pair.ModRevision)
	}
	w.delivered = max(w.delivered, update.Revision)
	if w.waiting != nil && w.waiting.revision <= w.delivered {
		w.node.confirm(w.documents, w.waiting.sent)
		w.waiting = nil
	}
}

// probed takes the answer of a probe. The time of a confirmation is that at which the probe was sent; the arrival of a
// watch update proves nothing, because it may have waited in a buffer while this process was paused.
func (w *watcher) probed(p probe) error {
	if p.err != nil {
		w.node.cfg.Logger.Debug("store not reached", zap.Error(p.err))
		return nil
	}
	if !w.node.isCurrent(uint64(p.revision)) {
		return nil
	}
	w.node.answeredByStore()
	if p.revision <= w.delivered {
		w.node.confirm(w.documents, p.sent)
		return nil
	}
	if w.waiting != nil {
		// The watch gave neither a change nor a notice for a whole interval.
		return errListAgain
	}
	w.waiting = &p
	return nil
}

// startProbes reads the store's revision at once and then at intervals until ctx ends.
func (n *Node) startProbes(ctx context.Context) <-chan probe {
	results := make(chan probe)
	n.work.Go(func() {
		for ctx.Err() == nil {
			p := n.probeStore(ctx)
			select {
			case <-ctx.Done():
			case results <- p:
			}
			wait.For(ctx, probeInterval)
		}
	})
	return results
}

func (n *Node) probeStore(ctx context.Context) probe {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	_, revision, err := n.cfg.Store.List(ctx, probePrefix)
	return probe{revision: revision, sent: sent, err: err}
}

func (n *Node) answeredByStore() {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.answered = now
	if now.Before(n.watch.promotedUntil) {
		n.watch.promotedUntil = now.Add(promoteFor)
	}
}

// isCurrent reports whether an answer of the store at a revision is at least as new as what is known.
func (n *Node) isCurrent(revision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return revision >= n.history.revision
}

func (n *Node) removedIn(documents []*wirev1.Document, revision uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.lacks(documents, revision)
}

func (n *Node) confirm(revision uint64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fresh.confirm(n.history.revision, revision, at)
}
