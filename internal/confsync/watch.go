package confsync

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// probeInterval is the time between two reads of the store's revision by a watcher.
	probeInterval = time.Second
	// probePrefix is a prefix without keys. Listing it is the cheapest way to read the store's revision.
	probePrefix = "/fulmardoor/probe/"
	// storeTimeout limits one call to the store. A store that takes longer counts as unreachable.
	storeTimeout = 3 * time.Second
	// storeTrustPeriod is the time after a response of the store in which a watcher takes documents from the store only. It is longer than
	// probeInterval.
	storeTrustPeriod = 1500 * time.Millisecond
	// storeContactTimeout is the age of the last response above which a watcher counts as having no contact with the
	// store. Together with one heartbeat interval it is below FreshnessLimit, so that an outage is detected before that
	// limit.
	storeContactTimeout = 2500 * time.Millisecond

	minWatchRetryDelay = 250 * time.Millisecond
	maxWatchRetryDelay = 2 * time.Second

	// An entry process that is not an elected watcher is promoted to a temporary watcher when its confirmation is older
	// than promotionAge. It watches for promotionTrialPeriod, and for promotionPeriod after each response of the store.
	// About promotionsPerSecond processes of a data centre are promoted each second, so that they do not overload the
	// store at the end of an outage.
	promotionAge         = FreshnessLimit / 2
	promotionsPerSecond  = 4
	promotionTrialPeriod = 3 * time.Second
	promotionPeriod      = 30 * time.Second
)

// errRelistNeeded ends a watch that can continue only after listing the documents again.
var errRelistNeeded = errors.New("watch did not reach the revision of a probe")

// watchState is the state of an entry process's watch of the store.
type watchState struct {
	// stop cancels the running watch; nil if there is none.
	stop context.CancelFunc
	// lastResponseAt is the time of the store's last response.
	lastResponseAt time.Time
	// promotedUntil is the time until which the process watches although it is not elected.
	promotedUntil      time.Time
	lastPromotionCheck time.Time
	// startEndsAt is the time until which the process watches because it read its first configuration from the store.
	startEndsAt time.Time
	// peerAhead tells the running watch that a peer has a revision that is not known here. It holds at most one value.
	peerAhead chan struct{}
}

// tellPeerAhead makes the running watch compare its position with those of the peers.
func (w *watchState) tellPeerAhead() {
	select {
	case w.peerAhead <- struct{}{}:
	default:
	}
}

// trustsStore reports whether this process takes documents from the store only: it watches, and the store answers. After a return to a copy, a peer may
// still have documents of the lost history, at revisions that the store has given out again. n.mu must be held.
func (n *Node) trustsStore(now time.Time) bool {
	return n.watch.stop != nil && n.freshness.loaded && !n.watch.lastResponseAt.IsZero() && now.Sub(n.watch.lastResponseAt) <= storeTrustPeriod
}

func (w *watchState) hasContact(now time.Time) bool {
	return !w.lastResponseAt.IsZero() && now.Sub(w.lastResponseAt) <= storeContactTimeout
}

// IsWatching reports whether this process watches the store.
func (n *Node) IsWatching() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watch.stop != nil
}

// superviseWatch starts or stops the watch. A process without a configuration always watches. n.mu must be held.
func (n *Node) superviseWatch(now time.Time) {
	if n.cfg.Store == nil {
		return
	}
	n.considerPromotion(now)
	wanted := !n.freshness.loaded || now.Before(n.watch.promotedUntil) || now.Before(n.watch.startEndsAt) || n.isElected(now)
	switch {
	case wanted && n.watch.stop == nil:
		ctx, cancel := context.WithCancel(n.runCtx)
		n.watch.stop = cancel
		n.spawn(func(context.Context) { n.watchStore(ctx) })
	case !wanted && n.watch.stop != nil:
		n.watch.stop()
		n.watch.stop = nil
	}
}

// considerPromotion may promote this process to a temporary watcher, at random, if its confirmation is so old that all
// elected watchers may have lost contact with the store. n.mu must be held.
func (n *Node) considerPromotion(now time.Time) {
	if !n.freshness.loaded || now.Sub(n.watch.lastPromotionCheck) < time.Second ||
		now.Sub(n.freshness.confirmedAt) < promotionAge {
		return
	}
	n.watch.lastPromotionCheck = now
	if rand.IntN(n.dataCentreEntries()) < promotionsPerSecond && now.After(n.watch.promotedUntil) {
		n.watch.promotedUntil = now.Add(promotionTrialPeriod)
	}
}

// watchStore lists and watches the documents until ctx ends.
func (n *Node) watchStore(ctx context.Context) {
	delay := minWatchRetryDelay
	w := &watcher{node: n}
	for ctx.Err() == nil {
		started := time.Now()
		err := w.run(ctx)
		if ctx.Err() != nil {
			return
		}
		n.cfg.Logger.Debug("watch of the store ended", zap.Error(err))
		if time.Since(started) > maxWatchRetryDelay {
			delay = minWatchRetryDelay
		}
		wait.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxWatchRetryDelay)
	}
}

// watcher applies the changes in the store. It is used by one goroutine.
type watcher struct {
	node *Node
	// listed means that the documents were listed and the fields below are valid.
	listed bool
	// history is the number of the store's history.
	history uint64
	// documentRevision is the revision of the newest change to a document.
	documentRevision uint64
	// newestPair is the pair of a document that was written last. Its ModRevision is lower than documentRevision if that change was a deletion.
	newestPair kv.Pair
	// changeLost means that the store's history does not have newestPair, so that it is another history.
	changeLost bool
	// historyChanged means that the watch delivered another number of the history.
	historyChanged bool
	// deliveredRevision is the store's revision up to which all changes to documents have been received. shownRevision has the same value for
	// the goroutine that sends probes.
	deliveredRevision int64
	shownRevision     atomic.Int64
	// pendingProbe is a probe whose revision the watch has not reached yet; nil if there is none.
	pendingProbe *probe
}

// probe is the result of reading the store's revision.
type probe struct {
	revision int64
	sentAt   time.Time
	// isOutdated means that the store's revision is lower than one that was known when the probe was sent, and wentBack that the store has
	// not reached that one.
	isOutdated, wentBack bool
	err                  error
}

// run watches the documents and returns when the watch ends. The next run continues after documentRevision if the store still has that change, and lists
// the documents again otherwise. It does not continue after deliveredRevision: if the store went back in between and lost no change to a document,
// nothing else shows that the revisions after documentRevision were given out again.
func (w *watcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.pendingProbe = nil
	continued := w.listed
	if continued {
		w.setDelivered(storeRevisionOf(w.documentRevision))
	} else if err := w.list(ctx); err != nil {
		return err
	}
	updates, err := w.node.cfg.Store.Watch(ctx, Prefix, w.deliveredRevision+1)
	if err != nil {
		return w.checkRelist(err)
	}
	if continued {
		if err := w.checkNewestPair(ctx); err != nil {
			return w.checkRelist(err)
		}
	}
	probes := w.startProbes(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update, ok := <-updates:
			if !ok {
				return errors.New("watch closed")
			}
			if update.Err != nil {
				return w.checkRelist(update.Err)
			}
			w.handleUpdate(update)
			if w.historyChanged {
				return w.checkRelist(errRelistNeeded)
			}
		case p := <-probes:
			if err := w.handleProbe(p); err != nil {
				return w.checkRelist(err)
			}
		case <-w.node.watch.peerAhead:
			if err := w.comparePeers(ctx); err != nil {
				return w.checkRelist(err)
			}
		}
	}
}

// checkRelist makes the next run list the documents again if the watch cannot continue after err. It returns err.
func (w *watcher) checkRelist(err error) error {
	if errors.Is(err, kv.ErrCompacted) || errors.Is(err, errRelistNeeded) {
		w.listed = false
	}
	return err
}

// checkNewestPair returns nil if the store's history has the newest known change. Otherwise the documents have to be listed again: the change is missing, or
// that cannot be told because it was a deletion or the store has compacted its revision.
func (w *watcher) checkNewestPair(ctx context.Context) error {
	reader, ok := w.node.cfg.Store.(kv.HistoryReader)
	if !ok || w.newestPair.ModRevision == 0 {
		return errRelistNeeded
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	pair, err := reader.GetAt(ctx, w.newestPair.Key, w.newestPair.ModRevision)
	switch {
	case errors.Is(err, kv.ErrUnavailable):
		return err
	case errors.Is(err, kv.ErrNotFound), errors.Is(err, kv.ErrFutureRevision):
		w.changeLost = true
	case err == nil && (pair.ModRevision != w.newestPair.ModRevision || !bytes.Equal(pair.Value, w.newestPair.Value)):
		w.changeLost = true
	}
	if err != nil || w.changeLost || storeRevisionOf(w.documentRevision) != w.newestPair.ModRevision {
		return errRelistNeeded
	}
	return nil
}

// list reads and applies all documents. If the store went back to a copy, it first gives the store's history a new number.
func (w *watcher) list(ctx context.Context) error {
	sentAt, l, err := w.read(ctx)
	if err != nil {
		return err
	}
	related, newest := w.node.relate(l)
	if w.changeLost && l.history() == w.history {
		related = relationOther
	}
	if related == relationEarlier {
		if !w.node.isBefore(ctx, storeRevisionOf(max(w.node.knownRevision(), w.node.newestPeerRevision()))) {
			w.node.cfg.Logger.Warn("store returned an older revision than the known one; it lags", zap.Uint64("revision", l.revision))
			return errors.Errorf("list documents: store returned outdated revision %d", l.revision)
		}
		related = relationOther
	}
	if related == relationOther {
		if err := w.node.beginHistory(ctx, l); err != nil {
			return err
		}
		if sentAt, l, err = w.read(ctx); err != nil {
			return err
		}
		if related, newest = w.node.relate(l); related != relationLater {
			return errors.Wrap(ErrHistoryLost, "list documents again")
		}
	}
	w.listed = true
	w.pendingProbe = nil
	w.history = l.history()
	w.historyChanged, w.changeLost = false, false
	w.documentRevision, w.newestPair = newest, l.newestPair
	w.setDelivered(storeRevisionOf(l.revision))
	w.node.recordStoreResponse()
	w.node.keepWatchingAfterStart()
	w.node.applyBatch(batch{documents: l.documents, to: newest, wholeState: true}, "")
	w.node.confirm(newest, sentAt)
	return nil
}

func (w *watcher) read(ctx context.Context) (sentAt time.Time, l listing, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt = time.Now()
	l, err = readListing(ctx, w.node.cfg.Store)
	return sentAt, l, err
}

// wireDocument returns the document of a pair; nil if its key is not that of a team. Other bytes than text in a key would keep all documents of a message from
// the other process.
func wireDocument(history uint64, pair kv.Pair, deleted bool) *wirev1.Document {
	team := strings.TrimPrefix(pair.Key, Prefix)
	if !document.IsTeam(team) {
		return nil
	}
	return &wirev1.Document{
		Team:     team,
		Revision: revisionIn(history, pair.ModRevision),
		Text:     pair.Value,
		Deleted:  deleted,
	}
}

// handleUpdate applies changes in the order of their revisions, those of one revision as one batch: a deletion of several keys has one revision.
func (w *watcher) handleUpdate(update kv.WatchUpdate) {
	w.node.recordStoreResponse()
	for events := update.Events; len(events) > 0 && !w.historyChanged; {
		revision, count := events[0].Pair.ModRevision, 1
		for count < len(events) && events[count].Pair.ModRevision == revision {
			count++
		}
		w.applyEvents(events[:count], revision)
		w.setDelivered(max(w.deliveredRevision, revision))
		events = events[count:]
	}
	if w.historyChanged {
		return
	}
	w.setDelivered(max(w.deliveredRevision, update.Revision))
	if w.pendingProbe != nil && w.pendingProbe.revision <= w.deliveredRevision {
		w.node.confirm(w.documentRevision, w.pendingProbe.sentAt)
		w.pendingProbe = nil
	}
}

func (w *watcher) setDelivered(storeRevision int64) {
	w.deliveredRevision = storeRevision
	w.shownRevision.Store(storeRevision)
}

// applyEvents applies the changes of one revision. A new number of the history changes the revisions of all documents.
func (w *watcher) applyEvents(events []kv.Event, storeRevision int64) {
	revision := revisionIn(w.history, storeRevision)
	b := batch{from: w.documentRevision, to: revision}
	for _, event := range events {
		if event.Pair.Key == historyKey && (event.Deleted || decodeHistory(event.Pair.Value) != w.history) {
			w.historyChanged = true
			return
		}
		d := wireDocument(w.history, event.Pair, event.Deleted)
		if d == nil {
			continue
		}
		if event.Deleted {
			d.Text = nil
		}
		b.documents = append(b.documents, d)
	}
	w.node.applyBatch(b, "")
	if revision > w.documentRevision {
		w.documentRevision = revision
		if last := events[len(events)-1]; !last.Deleted {
			w.newestPair = last.Pair
		}
	}
}

// handleProbe processes the result of a probe. A confirmation counts from the time at which the probe was sent. The
// arrival of a watch update is no confirmation, because the update may have been buffered while this process was paused.
func (w *watcher) handleProbe(p probe) error {
	if p.err != nil {
		w.node.cfg.Logger.Debug("probe of the store failed", zap.Error(p.err))
		return nil
	}
	if p.wentBack || w.missesChange() {
		return errRelistNeeded
	}
	if p.isOutdated {
		return nil
	}
	w.node.recordStoreResponse()
	if p.revision <= w.deliveredRevision {
		w.node.confirm(w.documentRevision, p.sentAt)
		return nil
	}
	if w.pendingProbe != nil {
		// The watch delivered neither the changes up to the probe's revision nor a progress notice for a whole interval.
		return errRelistNeeded
	}
	w.pendingProbe = &p
	return nil
}

// missesChange reports whether peers know a later history, or a change in the revisions that the watch has delivered which the watch did not have.
func (w *watcher) missesChange() bool {
	w.node.mu.Lock()
	defer w.node.mu.Unlock()
	known := w.node.history.revision
	return w.node.latestHistory > w.history ||
		known > w.documentRevision && storeRevisionOf(known) <= w.deliveredRevision
}

// comparePeers handles a peer whose revision is not known here. If the watch is past that revision, it lost the change, or the change is one of a lost history.
// If the store has not reached it, the store went back. Otherwise the watch is about to deliver it.
func (w *watcher) comparePeers(ctx context.Context) error {
	ahead := w.node.newestPeerRevision()
	switch {
	case HistoryOf(ahead) > w.history:
		return errRelistNeeded
	case ahead <= w.documentRevision:
	case storeRevisionOf(ahead) <= w.deliveredRevision, w.node.isBefore(ctx, storeRevisionOf(ahead)):
		return errRelistNeeded
	}
	return nil
}

// newestPeerRevision returns the highest revision that a peer is known to have.
func (n *Node) newestPeerRevision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newestPeerRevisionLocked()
}

func (n *Node) newestPeerRevisionLocked() uint64 {
	newest := uint64(0)
	for _, status := range n.peerStatuses {
		newest = max(newest, status.revision)
	}
	return newest
}

// startProbes reads the store's revision immediately and then every probeInterval until ctx ends.
func (w *watcher) startProbes(ctx context.Context) <-chan probe {
	results := make(chan probe)
	history := w.history
	w.node.workers.Go(func() {
		for ctx.Err() == nil {
			p := w.probeStore(ctx, history)
			select {
			case <-ctx.Done():
			case results <- p:
			}
			wait.For(ctx, probeInterval)
		}
	})
	return results
}

func (w *watcher) probeStore(ctx context.Context, history uint64) probe {
	required := w.shownRevision.Load()
	if known := max(w.node.knownRevision(), w.node.newestPeerRevision()); HistoryOf(known) == history {
		required = max(required, storeRevisionOf(known))
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt := time.Now()
	_, revision, err := w.node.cfg.Store.List(callCtx, probePrefix)
	p := probe{revision: revision, sentAt: sentAt, isOutdated: revision < required, err: err}
	p.wentBack = err == nil && p.isOutdated && w.node.isBefore(ctx, required)
	return p
}

// keepWatchingAfterStart lets a process that read its first configuration from the store watch for a while. If the store went back to a copy just before,
// its peers may have a higher revision of the lost history until that is found.
func (n *Node) keepWatchingAfterStart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.freshness.loaded {
		n.watch.startEndsAt = time.Now().Add(promotionTrialPeriod)
	}
}

func (n *Node) recordStoreResponse() {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.lastResponseAt = now
	if now.Before(n.watch.promotedUntil) {
		n.watch.promotedUntil = now.Add(promotionPeriod)
	}
}

// knownRevision returns the revision up to which all changes are known.
func (n *Node) knownRevision() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.history.revision
}

func (n *Node) confirm(revision uint64, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshness.confirm(n.history.revision, revision, at)
}
