package confsync

import (
	"cmp"
	"slices"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
)

const (
	// maxTombstones is the number of removed documents that are kept as tombstones. A peer whose revision is older than
	// a dropped tombstone gets the whole state.
	maxTombstones = 256
	// maxRanges bounds the known revision ranges beyond a gap.
	maxRanges = 256
)

// record is the newest known version of one team's document. With deleted set it is a tombstone.
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

// revisionRange is a range of revisions, after from and up to to, of which all changes are known.
type revisionRange struct{ from, to uint64 }

// history is the change log, compacted to the newest change of each team: a peer that applies only the newest changes of
// a range ends in the same state as one that applies all of them. Its size is bounded by the number of teams and
// maxTombstones.
type history struct {
	// revision is the revision up to which all changes are known. Individual documents may be newer.
	revision uint64
	// tombstoneFloor is the revision up to which tombstones may have been dropped.
	tombstoneFloor uint64
	teams          map[string]*record
	ranges         []revisionRange
}

func newHistory() history { return history{teams: map[string]*record{}} }

// batch is a set of changes: the newest change of each team in the revisions after from and up to to.
type batch struct {
	documents []*wirev1.Document
	from, to  uint64
	// wholeState means that teams without a document in the batch have none at revision to.
	wholeState bool
}

// apply records the documents that are newer than the known versions and returns them. Older versions are ignored, and
// so is a whole state at a revision older than h.revision.
func (h *history) apply(b batch) []*record {
	if b.wholeState && b.to < h.revision {
		return nil
	}
	var changed []*record
	for _, d := range b.documents {
		if r := h.put(d); r != nil {
			changed = append(changed, r)
		}
	}
	if b.wholeState && b.to > h.revision {
		// Documents that were created and removed before this state are not known, so their tombstones are missing.
		h.tombstoneFloor = b.to
	}
	if b.wholeState {
		changed = append(changed, h.deleteAbsent(b)...)
	}
	h.addRange(revisionRange{from: b.from, to: b.to})
	h.dropOldTombstones()
	slices.SortFunc(changed, byRevision)
	return changed
}

func byRevision(a, b *record) int { return cmp.Compare(a.revision, b.revision) }

// put records a document unless it is outdated; it returns nil then. All changes up to h.revision are known, so a
// document at or below it is always outdated: a late copy must not restore a removed document whose tombstone was
// dropped.
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

// parse parses the document. If it has faults, the last good version stays in force.
func parse(r, previous *record) *TeamDocument {
	parsed := &TeamDocument{Team: r.team, Revision: r.revision, Text: r.text, GoodRevision: r.revision}
	if r.deleted {
		return parsed
	}
	parsed.Document, parsed.Faults = document.Parse(r.team, r.text)
	if parsed.Faults == nil {
		parsed.Faults = checkTeam(r.team, parsed.Document)
	}
	if parsed.Faults != nil {
		parsed.Document, parsed.GoodRevision = nil, 0
		if previous != nil {
			parsed.Document, parsed.GoodRevision = previous.parsed.Document, previous.parsed.GoodRevision
		}
	}
	return parsed
}

// deleteAbsent adds tombstones for the known documents that a whole state no longer contains.
func (h *history) deleteAbsent(b batch) []*record {
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

// addRange adds a known range and advances the revision over all ranges that are now contiguous with it.
func (h *history) addRange(added revisionRange) {
	h.ranges = append(h.ranges, added)
	for advanced := true; advanced; {
		advanced = false
		for _, r := range h.ranges {
			if r.from <= h.revision && r.to > h.revision {
				h.revision = r.to
				advanced = true
			}
		}
	}
	h.ranges = slices.DeleteFunc(h.ranges, func(r revisionRange) bool { return r.to <= h.revision })
	if extra := len(h.ranges) - maxRanges; extra > 0 {
		h.ranges = slices.Delete(h.ranges, 0, extra)
	}
}

// dropOldTombstones drops the oldest tombstones beyond maxTombstones.
func (h *history) dropOldTombstones() {
	var removed []*record
	for _, r := range h.teams {
		if r.deleted {
			removed = append(removed, r)
		}
	}
	if len(removed) <= maxTombstones {
		return
	}
	slices.SortFunc(removed, byRevision)
	for _, r := range removed[:len(removed)-maxTombstones] {
		h.tombstoneFloor = max(h.tombstoneFloor, r.revision)
		delete(h.teams, r.team)
	}
}

// hasDocumentMissingFrom reports whether a document that is known here is absent from documents, the whole state at
// revision, and so was removed from the store.
func (h *history) hasDocumentMissingFrom(documents []*wirev1.Document, revision uint64) bool {
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

// changesAfter returns the changes after a revision, or the whole state if tombstones after it may have been dropped.
func (h *history) changesAfter(after uint64) *wirev1.ConfigPullReply {
	reply := &wirev1.ConfigPullReply{Revision: h.revision, WholeState: after < h.tombstoneFloor}
	var records []*record
	for _, r := range h.teams {
		// A whole state carries no tombstones up to its revision: the team's document may have been created and removed
		// again after an old tombstone.
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
