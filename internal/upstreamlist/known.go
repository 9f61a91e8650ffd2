// Package upstreamlist decides which upstreams a process uses, from the lists of the store's entries that it reads itself or gets from other processes.
//
// It is built for processes that lose the store one by one while the others stay in touch with it, and for outages of the store itself, in which the
// entries of running upstreams lapse. In both cases an entry is missing from the next list that a process reads. In the first one its upstream has left
// and must get no more requests; in the second one it announces itself again within about two seconds, and would be missed meanwhile. A process cannot
// tell the two apart by its own failed calls. So each list comes with its Contact: what was listed within it and is missing now has left. Processes pass
// on only what the store listed, never an entry that they keep while it is missing.
//
// The package does no I/O; callers pass in the current time.
package upstreamlist

import (
	"slices"
	"strings"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// List is the entries of the store as they were read at one time. It is not changed.
type List struct {
	Contact
	Upstreams []*fleet.Upstream
	// Unusable has the ids of listed entries that named an upstream before and name none now.
	Unusable []string
	// Evacuated has the data centres whose upstreams the operators ask to get no requests.
	Evacuated []string
}

// Options configures Known.
type Options struct {
	// LapseTime is the shortest outage of the store in which the entry of a running upstream can lapse.
	LapseTime time.Duration
	// ReturnTime is how long upstreams whose entries lapsed may take to announce themselves again.
	ReturnTime time.Duration
	// LeaseTime is how long an entry stays in the store after its upstream wrote it last.
	LeaseTime time.Duration
	// SameHistory reports whether the store did not go back to a copy between two revisions; nil if it never does.
	SameHistory func(a, b int64) bool
}

// Known is the upstreams that a process knows. Create it with New. It is not safe for concurrent use.
type Known struct {
	options Options
	contact Contact
	// historyAt is when the first list of the store's current history was applied.
	historyAt time.Time
	entries   map[string]*entry
	unusable  map[string]bool
	evacuated []string
	// departed has the starts of upstreams that have left, with the store's revision at which their entries were missing.
	departed fleet.StartMap[int64]
}

// entry is an upstream that is listed, or missing from the newest list without evidence that it left.
type entry struct {
	upstream *fleet.Upstream
	// revision and listedAt are those of the newest list with the entry.
	revision int64
	listedAt time.Time
	// missingSince is when the first list without it was applied; zero if the newest list has it.
	missingSince time.Time
}

// Removal is an upstream that is not used any more.
type Removal struct {
	Upstream *fleet.Upstream
	Reason   Reason
}

// Reason says why an upstream is not used any more.
type Reason string

// Reasons of removals.
const (
	// Left means that its entry was removed while the store served entries.
	Left Reason = "left"
	// NotBack means that it did not announce itself again after an outage of the store.
	NotBack Reason = "not back"
	// Unusable means that its entry names no upstream any more.
	Unusable Reason = "unusable"
)

// New returns Known without a list.
func New(options Options) *Known {
	if options.SameHistory == nil {
		options.SameHistory = func(int64, int64) bool { return true }
	}
	return &Known{options: options, entries: make(map[string]*entry), unusable: make(map[string]bool)}
}

// Reading is what the store listed when a process read it.
type Reading struct {
	Upstreams []*fleet.Upstream
	// Odd has the ids of the entries that name no upstream.
	Odd []string
	// Evacuated has the data centres whose upstreams the operators ask to get no requests.
	Evacuated []string
	// Revision is the store's, and At when the reading began.
	Revision int64
	At       time.Time
}

// Read returns the list of a reading of this process.
func (k *Known) Read(r *Reading) *List {
	list := &List{Contact: Contact{Since: r.Revision, Revision: r.Revision, SinceAt: r.At, ReadAt: r.At}, Upstreams: r.Upstreams, Evacuated: r.Evacuated}
	for _, id := range r.Odd {
		if k.entries[id] != nil || k.unusable[id] {
			list.Unusable = append(list.Unusable, id)
		}
	}
	return list
}

// Listed returns the newest list, with all that this process knows about the contact; nil if there is none.
func (k *Known) Listed() *List {
	if k.contact.Revision == 0 {
		return nil
	}
	list := &List{Contact: k.contact, Evacuated: k.evacuated}
	for _, e := range k.entries {
		if e.missingSince.IsZero() {
			list.Upstreams = append(list.Upstreams, e.upstream)
		}
	}
	for id := range k.unusable {
		list.Unusable = append(list.Unusable, id)
	}
	return list
}

// Upstreams returns the upstreams to use. Those that are missing from the newest list are marked as unconfirmed.
func (k *Known) Upstreams() []*fleet.Upstream {
	upstreams := make([]*fleet.Upstream, 0, len(k.entries))
	for _, e := range k.entries {
		upstream := *e.upstream
		upstream.Unconfirmed = !e.missingSince.IsZero()
		upstream.Evacuated = slices.Contains(k.evacuated, upstream.DataCentre)
		upstreams = append(upstreams, &upstream)
	}
	return upstreams
}

// Contact returns the contact that the newest list ends.
func (k *Known) Contact() Contact { return k.contact }

// Missing returns the number of upstreams that are used although the newest list lacks them.
func (k *Known) Missing() (count int) {
	for _, e := range k.entries {
		if !e.missingSince.IsZero() {
			count++
		}
	}
	return count
}

// Current reports whether the contact lasts and has lasted for ReturnTime, so that no upstream can be missing from the newest list because of an outage.
func (k *Known) Current(now time.Time) bool {
	return k.contact.Revision != 0 && now.Sub(k.contact.ReadAt) <= k.options.LapseTime && now.Sub(k.contact.SinceAt) >= k.options.ReturnTime
}

// Apply takes a list that this process read or another one passed on. lostAt is when a call of this process to the store failed last; zero if none has.
// An older list than the newest one changes no entry, but may show that missing upstreams have left. changed is false if nothing was learned from the list.
func (k *Known) Apply(list *List, lostAt, now time.Time) (removed []Removal, changed bool) {
	if list.Revision <= 0 || list.Since <= 0 || list.Since > list.Revision || !k.options.SameHistory(list.Since, list.Revision) {
		return nil, false
	}
	sameHistory := k.contact.Revision != 0 && k.options.SameHistory(k.contact.Revision, list.Since)
	if list.Revision < k.contact.Revision || list.Revision == k.contact.Revision && !list.ReadAt.After(k.contact.ReadAt) {
		if list.ReadAt.Sub(k.contact.ReadAt) <= k.options.LeaseTime {
			return k.applyOlder(list)
		}
		// The store went back to a copy without saying so: no list is on its way for so long.
		sameHistory = false
		for _, e := range k.entries {
			e.revision = 0
		}
	}
	contact := list.Contact
	if sameHistory {
		contact = k.contact.continued(list.Contact, k.options.LapseTime)
	} else {
		k.historyAt = now
	}
	broken := contact.Since > k.contact.Revision
	k.contact, k.evacuated = contact, list.Evacuated
	removed = k.takeUnusable(list.Unusable)
	k.takeListed(list)
	removed = append(removed, k.remove(func(e *entry) (Reason, bool) {
		// A process whose calls have not failed since the list before found no outage.
		foundMissing := e.missingSince.IsZero() && sameHistory && e.listedAt.After(lostAt)
		return Left, e.revision != list.Revision && (e.revision >= contact.Since || foundMissing)
	})...)
	for _, e := range k.entries {
		// Upstreams that were missing before another outage get the whole time again to announce themselves.
		if e.revision != list.Revision && (e.missingSince.IsZero() || broken) {
			e.missingSince = now
		}
	}
	return append(removed, k.remove(func(e *entry) (Reason, bool) {
		return NotBack, !e.missingSince.IsZero() && now.Sub(e.missingSince) >= k.options.ReturnTime
	})...), true
}

// applyOlder takes what a list that is not newer than the newest one shows of missing upstreams: that they left before it was read, or, if it continues
// the contact back to when they were listed, before the newest one.
func (k *Known) applyOlder(list *List) (removed []Removal, changed bool) {
	contact := k.contact
	if k.options.SameHistory(list.Revision, k.contact.Since) {
		contact = list.Contact.continued(k.contact, k.options.LapseTime)
	}
	listed := make(map[string]bool, len(list.Upstreams))
	for _, upstream := range list.Upstreams {
		listed[upstream.ID] = true
	}
	changed = contact != k.contact
	k.contact = contact
	removed = k.remove(func(e *entry) (Reason, bool) {
		leftBefore := e.revision >= list.Since && e.revision < list.Revision && !listed[e.upstream.ID]
		return Left, !e.missingSince.IsZero() && (e.revision >= contact.Since || leftBefore)
	})
	return removed, changed || len(removed) > 0
}

// takeListed records the upstreams of a new list.
func (k *Known) takeListed(list *List) {
	for _, upstream := range list.Upstreams {
		delete(k.unusable, upstream.ID)
		if k.fromCopy(upstream, list) {
			continue
		}
		k.departed.Delete(upstream.Start())
		k.entries[upstream.ID] = &entry{upstream: upstream, revision: list.Revision, listedAt: list.ReadAt}
	}
}

// fromCopy reports whether a listed upstream is one that this process knows to have left, whose entry came back with a copy of the store. After LeaseTime
// only a running upstream still has its entry.
func (k *Known) fromCopy(upstream *fleet.Upstream, list *List) bool {
	departedAt, ok := k.departed.Get(upstream.Start())
	return ok && !k.options.SameHistory(departedAt, list.Revision) && list.ReadAt.Sub(k.historyAt) < k.options.LeaseTime
}

// takeUnusable removes the upstreams whose entries name none any more.
func (k *Known) takeUnusable(ids []string) []Removal {
	clear(k.unusable)
	for _, id := range ids {
		k.unusable[id] = true
	}
	var removed []Removal
	for _, id := range ids {
		if e := k.entries[id]; e != nil {
			delete(k.entries, id)
			removed = append(removed, Removal{e.upstream, Unusable})
		}
	}
	return removed
}

// remove removes the entries that decide selects.
func (k *Known) remove(decide func(*entry) (Reason, bool)) (removed []Removal) {
	for id, e := range k.entries {
		if reason, ok := decide(e); ok {
			delete(k.entries, id)
			k.departed.Set(e.upstream.Start(), k.contact.Revision)
			removed = append(removed, Removal{e.upstream, reason})
		}
	}
	slices.SortFunc(removed, func(a, b Removal) int { return strings.Compare(a.Upstream.ID, b.Upstream.ID) })
	return removed
}
