package confsync

import (
	"cmp"
	"slices"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
)

const (
	// maxRemoved is the number of removed documents that are remembered. A peer that lags behind the oldest forgotten
	// removal gets the whole state.
	maxRemoved = 256
	// maxSegments is the number of changes ahead of a gap that are remembered.
	maxSegments = 256
)

// record is the newest known version of one team's document.
type record struct {
	team     string
	revision uint64
	text     []byte
	deleted  bool
	parsed   *TeamDocument
}

func (r *record) wire() *wirev1.Document {
	return &wirev1.Document{Team: r.team, Revision: r.revision, Text: r.text, Deleted: r.deleted}
}

// segment says that all changes after from up to to are known.
type segment struct{ from, to uint64 }

// history is the change log. It keeps the newest change of each team only: a peer that applies the newest changes of a
// range at once ends in the same state as one that applies all of them. Its size is bounded by the number of teams and
// maxRemoved.
type history struct {
	// revision is the newest change up to which all changes are known. Documents may be newer.
	revision uint64
	// floor is the revision before which removals are not remembered.
	floor    uint64
	teams    map[string]*record
	segments []segment
}

func newHistory() history { return history{teams: map[string]*record{}} }

// batch is a set of changes: the newest change of each team in the revisions after from up to to.
type batch struct {
	documents []*wirev1.Document
	from, to  uint64
	// whole says that teams without a document in the batch have none at revision to.
	whole bool
}

// apply takes over what is newer than what is known and returns it. Older versions are dropped, and so is a whole state
// that is older than what is known.
func (h *history) apply(b batch) []*record {
	if b.whole && b.to < h.revision {
		return nil
	}
	var changed []*record
	for _, d := range b.documents {
		if r := h.put(d); r != nil {
			changed = append(changed, r)
		}
	}
	if b.whole && b.to > h.revision {
		// Documents that came and went before this state are not known.
		h.floor = b.to
	}
	if b.whole {
		changed = append(changed, h.removeAbsent(b)...)
	}
	h.cover(segment{from: b.from, to: b.to})
	h.forgetRemoved()
	slices.SortFunc(changed, byRevision)
	return changed
}

func byRevision(a, b *record) int { return cmp.Compare(a.revision, b.revision) }

// put takes over a document unless it is old. Up to the held revision everything is known: a late copy of a document
// that was removed and forgotten must not bring it back.
func (h *history) put(d *wirev1.Document) *record {
	known := h.teams[d.GetTeam()]
	if d.GetRevision() <= h.revision || known != nil && d.GetRevision() <= known.revision {
		return nil
	}
	r := &record{
		team:     d.GetTeam(),
		revision: d.GetRevision(),
		text:     d.GetText(),
		deleted:  d.GetDeleted() || len(d.GetText()) == 0,
	}
	r.parsed = parse(r, known)
	h.teams[r.team] = r
	return r
}

// parse reads the document. A faulty one keeps the last good version in force.
func parse(r, previous *record) *TeamDocument {
	parsed := &TeamDocument{Team: r.team, Revision: r.revision, Text: r.text, GoodRevision: r.revision}
	if r.deleted {
		return parsed
	}
	parsed.Document, parsed.Faults = document.Parse(r.team, r.text)
	if parsed.Faults == nil {
		parsed.Faults = wrongTeam(r.team, parsed.Document)
	}
	if parsed.Faults != nil {
		parsed.Document, parsed.GoodRevision = nil, 0
		if previous != nil {
			parsed.Document, parsed.GoodRevision = previous.parsed.Document, previous.parsed.GoodRevision
		}
	}
	return parsed
}

// removeAbsent marks the documents as removed that a whole state no longer contains.
func (h *history) removeAbsent(b batch) []*record {
	present := map[string]bool{}
	for _, d := range b.documents {
		present[d.GetTeam()] = !d.GetDeleted()
	}
	var removed []*record
	for team, known := range h.teams {
		if present[team] || known.deleted || known.revision >= b.to {
			continue
		}
		if r := h.put(&wirev1.Document{Team: team, Revision: b.to, Deleted: true}); r != nil {
			removed = append(removed, r)
		}
	}
	return removed
}

// cover notes a known range and moves the revision over all ranges that now connect.
func (h *history) cover(s segment) {
	h.segments = append(h.segments, s)
	for moved := true; moved; {
		moved = false
		for _, s := range h.segments {
			if s.from <= h.revision && s.to > h.revision {
				h.revision = s.to
				moved = true
			}
		}
	}
	h.segments = slices.DeleteFunc(h.segments, func(s segment) bool { return s.to <= h.revision })
	if extra := len(h.segments) - maxSegments; extra > 0 {
		h.segments = slices.Delete(h.segments, 0, extra)
	}
}

// forgetRemoved drops the oldest removals beyond maxRemoved.
func (h *history) forgetRemoved() {
	var removed []*record
	for _, r := range h.teams {
		if r.deleted {
			removed = append(removed, r)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortFunc(removed, byRevision)
	for _, r := range removed[:len(removed)-maxRemoved] {
		h.floor = max(h.floor, r.revision)
		delete(h.teams, r.team)
	}
}

// lacks reports whether a whole state at a revision has removed a document that is known here.
func (h *history) lacks(documents []*wirev1.Document, revision uint64) bool {
	present := map[string]bool{}
	for _, d := range documents {
		present[d.GetTeam()] = true
	}
	for team, known := range h.teams {
		if !present[team] && !known.deleted && known.revision <= revision {
			return true
		}
	}
	return false
}

// since returns the changes after a revision, or the whole state if removals after it were forgotten.
func (h *history) since(after uint64) *wirev1.ConfigPullReply {
	reply := &wirev1.ConfigPullReply{Revision: h.revision, WholeState: after < h.floor}
	var records []*record
	for _, r := range h.teams {
		// A whole state has no removals up to its revision: an old one could stand for a document that came and went
		// after it.
		if r.revision > h.revision || reply.WholeState && !r.deleted || !reply.WholeState && r.revision > after {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, byRevision)
	for _, r := range records {
		reply.Documents = append(reply.Documents, r.wire())
	}
	return reply
}
