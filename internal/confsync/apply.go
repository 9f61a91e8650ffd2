package confsync

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/go-faster/errors"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/settings"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// maxAttempts bounds the store calls that determine whether a write with a lost response took effect.
	maxAttempts  = 6
	retryDelay   = 250 * time.Millisecond
	applyIDBytes = 16
	// historyWait is longer than a watcher needs to find that the store went back to a copy.
	historyWait = 3 * time.Second
)

// OutcomeKind is the kind of result of an Apply call.
type OutcomeKind int

const (
	// NotWritten means that the store did not accept the call and nothing was written. Apply also returns an error.
	NotWritten OutcomeKind = iota
	// Accepted means that the document was written at Revision.
	Accepted
	// Rejected means that the document has Faults, and nothing was written.
	Rejected
	// LostRace means that the stored document was not at the expected revision and nothing was written. Revision and
	// Text are those of the stored version; they are empty if there is none or it could not be read.
	LostRace
	// Unknown means that the store's response was lost and later calls could not determine whether the write took effect.
	Unknown
)

// String returns the form shown to operators.
func (k OutcomeKind) String() string {
	switch k {
	case Accepted:
		return "accepted"
	case Rejected:
		return "rejected"
	case LostRace:
		return "lost race"
	case Unknown:
		return "unknown"
	default:
		return "not written"
	}
}

// Outcome is the result of an Apply call.
type Outcome struct {
	Kind     OutcomeKind
	Revision uint64
	Text     []byte
	Faults   *settings.Faults
	// ApplyID is the identifier that this call put into the document it wrote.
	ApplyID string
}

// Read returns a team's document in the store and its revision; 0 if there is none. It returns ErrHistoryLost while the documents of a store that went back to
// a copy have not been read.
func (n *Node) Read(ctx context.Context, team string) (text []byte, revision uint64, err error) {
	l, err := n.readCurrent(ctx)
	if err != nil {
		return nil, 0, err
	}
	text, revision = l.document(team)
	return text, revision, nil
}

// Apply is the function Apply with the node's store. It writes nothing, and returns ErrHistoryLost, while the documents of a store that went back to a copy
// have not been read: the expected revision may be that of another version, and the revision of the new one may be below those in force.
func (n *Node) Apply(ctx context.Context, team string, text []byte, expectedRevision uint64) (Outcome, error) {
	if _, err := n.readCurrent(ctx); err != nil {
		return Outcome{}, err
	}
	known := n.knownRevision()
	outcome, err := Apply(ctx, n.cfg.Store, team, text, expectedRevision)
	if outcome.Kind == Accepted && outcome.Revision <= known {
		// The store went back, and the history that has the new version will get a greater number.
		outcome.Revision = revisionIn(HistoryOf(known)+1, storeRevisionOf(outcome.Revision))
	}
	return outcome, err
}

// readCurrent reads the documents. If they are not of the known history, it waits for up to historyWait until the watchers have given them a number.
func (n *Node) readCurrent(ctx context.Context) (listing, error) {
	for deadline := time.Now().Add(historyWait); ; wait.For(ctx, retryDelay) {
		l, err := readListing(ctx, n.cfg.Store)
		if err != nil {
			return listing{}, err
		}
		related, _ := n.relate(l)
		if related == relationEarlier && !n.isBefore(ctx, storeRevisionOf(n.knownRevision())) {
			return l, nil // a change arrived since the read, or the store lags; a write compares revisions in any case
		}
		if related == relationLater || len(l.documents) == 0 {
			return l, nil // a store without documents becomes a history only with the first one
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return listing{}, ErrHistoryLost
		}
	}
}

// Apply writes a team's document if the stored one is still at expectedRevision; 0 means that there is none yet. It
// returns an error only if nothing was written for a reason other than Rejected or LostRace.
func Apply(ctx context.Context, store kv.Store, team string, text []byte, expectedRevision uint64) (Outcome, error) {
	parsed, err := document.Parse(team, text)
	if err == nil {
		err = checkTeam(team, parsed)
	}
	if err != nil {
		return rejected(err)
	}
	l, err := readListing(ctx, store)
	if err != nil {
		return Outcome{}, err
	}
	if faults := newConflicts(team, parsed, l.documents); faults.Err() != nil {
		return rejected(faults.Err())
	}
	id := newApplyID()
	text, err = document.SetApplyID(text, id)
	if err != nil {
		return Outcome{}, errors.Wrap(err, "set apply ID")
	}
	if expectedRevision > 0 && HistoryOf(expectedRevision) != l.history() {
		other, revision := l.document(team)
		return Outcome{Kind: LostRace, Revision: revision, Text: other, ApplyID: id}, nil
	}
	a := &apply{store: store, key: Prefix + team, text: text, id: id, expected: storeRevisionOf(expectedRevision), read: l.revision}
	return a.write(ctx)
}

func rejected(err error) (Outcome, error) {
	var faults *settings.Faults
	if !errors.As(err, &faults) {
		return Outcome{}, err
	}
	return Outcome{Kind: Rejected, Faults: faults}, nil
}

func newApplyID() string {
	id := make([]byte, applyIDBytes)
	// crypto/rand.Read never fails: it ends the process when the system gives no randomness.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// newConflicts returns a fault for each entry of the new version that conflicts with another team's document. Conflicts
// that the stored version already has are not faults, so that a team can always withdraw a key.
func newConflicts(team string, parsed *configv1.Document, documents []*wirev1.Document) *settings.Faults {
	others := newHistory()
	for _, d := range documents {
		others.put(d)
	}
	known := map[Conflict]bool{}
	for _, c := range others.snapshot(true, nil).conflicts {
		known[c] = true
	}
	delete(others.teams, team)
	// Names belong to the document with the lowest revision; the new version will have the highest one.
	newest := ^uint64(0)
	others.teams[team] = &record{team: team, revision: newest,
		parsed: &TeamDocument{Team: team, Revision: newest, GoodRevision: newest, Document: parsed}}
	faults := &settings.Faults{}
	for _, c := range others.snapshot(true, nil).conflicts {
		if c.Team == team && !known[c] {
			faults.Add(settings.Fault{File: team, Section: c.Section, Problem: c.Problem})
		}
	}
	return faults
}

// apply is one write in progress.
type apply struct {
	store    kv.Store
	key      string
	text     []byte
	id       string
	expected int64
	// read is the revision at which the documents were read before the write.
	read uint64
}

// written returns the revision of the version that was written. If the store went back to a copy since the documents were read, its history gets a greater
// number.
func (a *apply) written(storeRevision int64) uint64 {
	history := HistoryOf(a.read)
	if storeRevision <= storeRevisionOf(a.read) {
		history++
	}
	return revisionIn(history, storeRevision)
}

// write retries the compare-and-swap until its outcome is known. Retrying is safe: the call can succeed only once,
// because success changes the revision. After a retry has succeeded or conflicted, an earlier attempt that may still be
// in flight can no longer take effect.
func (a *apply) write(ctx context.Context) (Outcome, error) {
	responseLost := false
	for attempt := range maxAttempts {
		if attempt > 0 {
			wait.For(ctx, retryDelay)
		}
		revision, err := a.store.CompareAndSwap(ctx, a.key, a.text, a.expected, 0)
		switch {
		case err == nil:
			return Outcome{Kind: Accepted, Revision: a.written(revision), ApplyID: a.id}, nil
		case errors.Is(err, kv.ErrConflict):
			return a.readBack(ctx, responseLost)
		case errors.Is(err, kv.ErrUnavailable) && !responseLost:
			return Outcome{}, errors.Wrap(err, "write document")
		case !errors.Is(err, kv.ErrUnavailable):
			responseLost = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Outcome{Kind: Unknown, ApplyID: a.id}, nil
}

// readBack determines by the apply ID whether the stored version is the one written here. If responseLost is set, an
// earlier attempt may have succeeded and its version may since have been replaced, so another stored version proves
// nothing.
func (a *apply) readBack(ctx context.Context, responseLost bool) (Outcome, error) {
	var pair kv.Pair
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			wait.For(ctx, retryDelay)
		}
		pair, err = a.store.Get(ctx, a.key)
		if err == nil || errors.Is(err, kv.ErrNotFound) || ctx.Err() != nil {
			break
		}
	}
	notFound := errors.Is(err, kv.ErrNotFound)
	other := Outcome{Revision: revisionIn(HistoryOf(a.read), pair.ModRevision), Text: pair.Value, ApplyID: a.id}
	switch {
	case err == nil && applyID(pair.Value) == a.id:
		return Outcome{Kind: Accepted, Revision: a.written(pair.ModRevision), ApplyID: a.id}, nil
	case responseLost:
		other.Kind = Unknown
	case err == nil || notFound:
		other.Kind = LostRace
	default:
		// The conflict itself is certain; only the stored version could not be read.
		other = Outcome{Kind: LostRace, ApplyID: a.id}
	}
	return other, nil
}

// applyID returns the apply ID of a stored document, or "" if the document cannot be parsed.
func applyID(text []byte) string {
	parsed, err := document.Parse("", text)
	if err != nil {
		return ""
	}
	return parsed.GetHeader().GetApplyId()
}
