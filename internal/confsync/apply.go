package confsync

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/go-faster/errors"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/settings"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// resolveAttempts bounds the calls that find out what became of a write whose answer was lost.
	resolveAttempts = 6
	resolveDelay    = 250 * time.Millisecond
	applyIDBytes    = 16
)

// OutcomeKind says what became of an apply.
type OutcomeKind int

const (
	// NotWritten means that the store did not take the call, and nothing was written. Apply also returns an error.
	NotWritten OutcomeKind = iota
	// Accepted means that the document was written at Revision.
	Accepted
	// Rejected means that the document has Faults, and nothing was written.
	Rejected
	// LostRace means that the document was at another revision than expected, and nothing was written. Revision and Text
	// are those of the other version.
	LostRace
	// Unknown means that the answer was lost and the store could not tell what became of the write.
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

// Outcome is the result of an apply.
type Outcome struct {
	Kind     OutcomeKind
	Revision uint64
	Text     []byte
	Faults   *settings.Faults
	// ApplyID is the identifier in the document that this apply wrote.
	ApplyID string
}

// Apply writes a team's document if it is still at expectedRevision in the store; 0 means that there is none yet. The
// error is not nil only if nothing was written and it was neither rejected nor a lost race.
func Apply(ctx context.Context, store kv.Store, team string, text []byte, expectedRevision uint64) (Outcome, error) {
	parsed, err := document.Parse(team, text)
	if err == nil {
		err = wrongTeam(team, parsed)
	}
	if err != nil {
		return rejected(err)
	}
	pairs, _, err := store.List(ctx, Prefix)
	if err != nil {
		return Outcome{}, errors.Wrap(err, "read documents")
	}
	if faults := newConflicts(team, parsed, pairs); faults.Err() != nil {
		return rejected(faults.Err())
	}
	id := newApplyID()
	text, err = document.SetApplyID(text, id)
	if err != nil {
		return Outcome{}, errors.Wrap(err, "set apply ID")
	}
	a := &apply{store: store, key: Prefix + team, text: text, id: id, expected: int64(expectedRevision)}
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

// newConflicts returns a fault for each entry that the new version claims although another team has it. Conflicts that
// the stored version has already are no faults, so that a team can always withdraw a key.
func newConflicts(team string, parsed *configv1.Document, pairs []kv.Pair) *settings.Faults {
	others := newHistory()
	for _, pair := range pairs {
		others.put(wireDocument(pair, false))
	}
	known := map[Conflict]bool{}
	for _, c := range others.snapshot(true, nil).conflicts {
		known[c] = true
	}
	delete(others.teams, team)
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
}

// write tries the compare-and-swap until its outcome is known. Repeating it is safe: it can succeed once only, because
// success changes the revision. A repeat that succeeds or conflicts also makes sure that an earlier copy, which may
// still be under way, can no longer take effect.
func (a *apply) write(ctx context.Context) (Outcome, error) {
	lost := false
	for attempt := range resolveAttempts {
		if attempt > 0 {
			wait.For(ctx, resolveDelay)
		}
		revision, err := a.store.CompareAndSwap(ctx, a.key, a.text, a.expected, 0)
		switch {
		case err == nil:
			return Outcome{Kind: Accepted, Revision: uint64(revision), ApplyID: a.id}, nil
		case errors.Is(err, kv.ErrConflict):
			return a.readBack(ctx, lost)
		case errors.Is(err, kv.ErrUnavailable) && !lost:
			return Outcome{}, errors.Wrap(err, "write document")
		case !errors.Is(err, kv.ErrUnavailable):
			lost = true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Outcome{Kind: Unknown, ApplyID: a.id}, nil
}

// readBack tells by the apply ID whether the version in the store is this one. lost says that an earlier answer was
// lost: then another version may stand in the store because it replaced this one.
func (a *apply) readBack(ctx context.Context, lost bool) (Outcome, error) {
	var pair kv.Pair
	var err error
	for attempt := range resolveAttempts {
		if attempt > 0 {
			wait.For(ctx, resolveDelay)
		}
		pair, err = a.store.Get(ctx, a.key)
		if err == nil || errors.Is(err, kv.ErrNotFound) || ctx.Err() != nil {
			break
		}
	}
	notFound := errors.Is(err, kv.ErrNotFound)
	other := Outcome{Revision: uint64(pair.ModRevision), Text: pair.Value, ApplyID: a.id}
	switch {
	case err == nil && applyID(pair.Value) == a.id:
		return Outcome{Kind: Accepted, Revision: uint64(pair.ModRevision), ApplyID: a.id}, nil
	case lost:
		other.Kind = Unknown
	case err == nil || notFound:
		other.Kind = LostRace
	default:
		// The conflict itself is certain; only the other version is not known.
		other = Outcome{Kind: LostRace, ApplyID: a.id}
	}
	return other, nil
}

// applyID returns the apply ID of a stored text, or "" if the text cannot be read.
func applyID(text []byte) string {
	parsed, err := document.Parse("", text)
	if err != nil {
		return ""
	}
	return parsed.GetHeader().GetApplyId()
}
