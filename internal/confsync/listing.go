package confsync

import (
	"bytes"
	"context"
	"strconv"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// A revision in this package is the store's own one with the number of its history in front. The store gives out its revisions again after it went
// back to a copy; with the number, a later change has a greater revision, and one of a lost history equals none.
const (
	// revisionBits is enough for 1,200 changes a second over 29 years.
	revisionBits = 40
	maxHistory   = 1<<(63-revisionBits) - 1

	// historyKey holds the number of the store's history in decimal; without it the number is 0. The process that finds that the store went back to
	// a copy writes the highest number that it knows plus one. The key is listed and watched with the documents, and is not that of a team.
	historyKey = Prefix + "#history"
)

// ErrHistoryLost means that the key-value service went back to a copy, or answers with outdated data, and that its documents were not read again since.
var ErrHistoryLost = errors.New("the key-value service went back to a copy or lags; its documents are being read again")

// revisionIn returns the revision for one of the store in a history. The store's revision 0, of a key that does not exist, stays 0.
func revisionIn(history uint64, storeRevision int64) uint64 {
	if storeRevision <= 0 {
		return 0
	}
	return history<<revisionBits | uint64(storeRevision)
}

// HistoryOf returns the number of the store's history that a revision belongs to.
func HistoryOf(revision uint64) uint64 { return revision >> revisionBits }

// FirstRevision returns the number that all revisions of a history are greater than.
func FirstRevision(history uint64) uint64 { return history << revisionBits }

func storeRevisionOf(revision uint64) int64 { return int64(revision & (1<<revisionBits - 1)) }

// decodeHistory returns the number in the value of historyKey. A value of another writer counts as no number, so that it is replaced.
func decodeHistory(value []byte) uint64 {
	number, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil || number > maxHistory {
		return 0
	}
	return number
}

// listing is the state of the store at one revision.
type listing struct {
	documents []*wirev1.Document
	revision  uint64
	// newestPair is the pair that was written last.
	newestPair kv.Pair
	// historyPair is the pair of historyKey; its ModRevision is 0 if there is none.
	historyPair kv.Pair
}

func (l listing) history() uint64 { return HistoryOf(l.revision) }

// document returns a team's document and its revision; 0 if there is none.
func (l listing) document(team string) (text []byte, revision uint64) {
	for _, d := range l.documents {
		if d.GetTeam() == team {
			return d.GetText(), d.GetRevision()
		}
	}
	return nil, 0
}

// readListing reads all documents.
func readListing(ctx context.Context, store kv.Store) (listing, error) {
	pairs, revision, err := store.List(ctx, Prefix)
	if err != nil {
		return listing{}, errors.Wrap(err, "list documents")
	}
	if revision <= 0 || revision >= 1<<revisionBits {
		return listing{}, errors.Errorf("list documents: revision %d is out of range", revision)
	}
	var l listing
	for _, pair := range pairs {
		if pair.Key == historyKey {
			l.historyPair = pair
		}
	}
	history := decodeHistory(l.historyPair.Value)
	l.revision = revisionIn(history, revision)
	for _, pair := range pairs {
		if pair.ModRevision > l.newestPair.ModRevision {
			l.newestPair = pair
		}
		if d := wireDocument(history, pair, false); d != nil {
			l.documents = append(l.documents, d)
		}
	}
	return l, nil
}

// relation is how a listing relates to the known changes.
type relation int

const (
	// relationLater means that the listing is the known state or a later one.
	relationLater relation = iota
	// relationEarlier means that its revision is lower than the known one: the store lags, or went back to a copy.
	relationEarlier
	// relationOther means that it is no state of the history that the known changes belong to: the store went back to a copy.
	relationOther
)

// relate returns how a listing relates to the known changes. ahead is the highest revision that a peer has, and latest the highest number of a history that
// is known. All revisions of a history with a higher number than that of the known changes are later.
func (h *history) relate(l listing, ahead, latest uint64) relation {
	switch {
	case l.history() < latest:
		return relationOther
	case l.revision < max(h.revision, ahead):
		return relationEarlier
	case l.history() > HistoryOf(h.revision):
		return relationLater
	case h.contradicts(l):
		return relationOther
	}
	return relationLater
}

// contradicts reports whether a listing, whose revision is at least h.revision, cannot be a state of the same history: a document of it is older than the
// known one, has another text at the same revision, or is missing here although all changes up to its revision are known.
func (h *history) contradicts(l listing) bool {
	present := map[string]bool{}
	for _, d := range l.documents {
		if len(d.GetText()) == 0 {
			continue // counts as deleted
		}
		present[d.GetTeam()] = true
		known := h.teams[d.GetTeam()]
		switch {
		case known != nil && known.revision > l.revision: // newer than the listing
		case known == nil || known.revision < d.GetRevision():
			if d.GetRevision() <= h.revision {
				return true
			}
		case known.revision > d.GetRevision(), known.deleted, !bytes.Equal(known.text, d.GetText()):
			return true
		}
	}
	if l.revision > h.revision {
		return false // missing documents were deleted after h.revision
	}
	for team, known := range h.teams {
		if !known.deleted && !present[team] && known.revision <= h.revision {
			return true
		}
	}
	return false
}

// holdsDocuments reports whether any team has a document.
func (h *history) holdsDocuments() bool {
	for _, r := range h.teams {
		if !r.deleted {
			return true
		}
	}
	return false
}

// noteHistory records the number of the history that a revision belongs to. n.mu must be held.
func (n *Node) noteHistory(revision uint64) {
	n.latestHistory = max(n.latestHistory, HistoryOf(revision))
}

// relate returns how a listing relates to the known changes, and the revision up to which it has all changes to documents.
func (n *Node) relate(l listing) (relation, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ahead := n.newestPeerRevisionLocked()
	r := n.history.relate(l, ahead, n.latestHistory)
	newest := revisionIn(l.history(), l.newestPair.ModRevision)
	// Revisions up to that of the listing which only this process or its peers have are those of deletions, or of a lost history.
	if known := max(n.history.revision, ahead); l.history() == HistoryOf(known) {
		newest = max(newest, min(known, l.revision))
	}
	// The first listing of a process counts up to its revision, so that processes with lower ones take the whole state from it: if all watchers were
	// restarted after the store went back to a copy, those are the only ones that know lost documents.
	if n.history.revision == 0 {
		newest = l.revision
	}
	// A listing does not have the revision at which a document was removed; it is at most that of the listing.
	if n.history.hasDocumentMissingFrom(l.documents, l.revision) {
		newest = l.revision
	}
	return r, newest
}

// isBefore reports whether the store has not reached a revision of its own that it gave out before. Unlike a list, this read is never answered from outdated data.
func (n *Node) isBefore(ctx context.Context, storeRevision int64) bool {
	reader, ok := n.cfg.Store.(kv.HistoryReader)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := reader.GetAt(ctx, historyKey, storeRevision)
	return errors.Is(err, kv.ErrFutureRevision)
}

// beginHistory gives the store's state a number above all known ones, so that it replaces the known changes at every process. It does so only if no other
// process did since the listing. The state with the new number has every change that the store accepted before, so a number that is given without need
// reverts nothing.
func (n *Node) beginHistory(ctx context.Context, l listing) error {
	n.mu.Lock()
	next := max(n.latestHistory, l.history()) + 1
	empties := len(l.documents) == 0 && n.history.holdsDocuments()
	n.mu.Unlock()
	if empties {
		n.cfg.Logger.Error("key-value service went back and has no document; the known documents stay in force until one is applied",
			zap.Uint64("revision", l.revision))
		return errors.Wrap(ErrHistoryLost, "no document")
	}
	if next > maxHistory {
		return errors.Errorf("no number is left for the history after %d", maxHistory)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value := strconv.FormatUint(next, 10)
	if _, err := n.cfg.Store.CompareAndSwap(ctx, historyKey, []byte(value), l.historyPair.ModRevision, 0); err != nil {
		return errors.Wrap(err, "write the number of the history")
	}
	n.mu.Lock()
	n.latestHistory = max(n.latestHistory, next)
	n.mu.Unlock()
	n.cfg.Logger.Warn("key-value service went back to a copy; its documents replace the known ones", zap.Uint64("history", next),
		zap.Uint64("revision", l.revision))
	return nil
}
