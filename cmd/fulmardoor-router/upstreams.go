package main

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/platform"
)

// maxOddEntriesLogged limits the log lines about single odd entries after one list.
const maxOddEntriesLogged = 10

// upstreamEntries reads the entries of the upstreams and keeps them parsed. Other programs may have written thousands of odd entries of up to 1 MB: their
// values are not kept, they are parsed again only when they change, and they are logged when their problem changes. It is not safe for
// concurrent use.
type upstreamEntries struct {
	each   func(ctx context.Context, prefix string, visit func(kv.Pair)) error
	logger *zap.Logger
	// known has the entries of the last list and those that have been missing since an outage of the store, by key.
	known map[string]upstreamEntry
	// reserved has the addresses of this process and of the store. An entry with one of them names no upstream.
	reserved map[netip.AddrPort]bool
	// odd is the number of odd entries that was logged last.
	odd int
	// readAt is when the last list began to be read.
	readAt time.Time
	// readEvacuations is set where operators may evacuate data centres, and evacuated has those of the last list.
	readEvacuations bool
	evacuated       map[string]bool
}

// upstreamEntry is an entry that names an upstream, or an odd one that names none because of a problem.
type upstreamEntry struct {
	valueHash uint64
	upstream  *fleet.Upstream
	problem   string
}

func newUpstreamEntries(each func(ctx context.Context, prefix string, visit func(kv.Pair)) error, logger *zap.Logger) *upstreamEntries {
	return &upstreamEntries{each: each, logger: logger, known: make(map[string]upstreamEntry)}
}

// reserve adds addresses that no upstream has. It must be called before the first list.
func (e *upstreamEntries) reserve(addresses ...string) {
	e.reserved = make(map[netip.AddrPort]bool)
	for _, address := range addresses {
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			e.reserved[unmapped(parsed)] = true
		}
	}
}

// unmapped returns the IPv4 form of an address that has one.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// list reads the entries. The returned pairs have no values.
func (e *upstreamEntries) list(ctx context.Context) ([]kv.Pair, error) {
	began := time.Now()
	evacuated, err := e.listEvacuated(ctx)
	if err != nil {
		return nil, err
	}
	var pairs []kv.Pair
	listed := make(map[string]upstreamEntry, len(e.known))
	err = e.each(ctx, platform.PrefixUpstreams, func(pair kv.Pair) {
		hash := xxhash.Sum64(pair.Value)
		entry, ok := e.known[pair.Key]
		if !ok || entry.valueHash != hash {
			entry = e.parse(pair)
			entry.valueHash = hash
		}
		listed[pair.Key] = entry
		pair.Value = nil
		pairs = append(pairs, pair)
	})
	if err != nil {
		return nil, err
	}
	e.readAt, e.evacuated = began, evacuated
	e.logOdd(pairs, listed)
	maps.Copy(e.known, listed)
	return pairs, nil
}

// listEvacuated reads the data centres whose upstreams are to get no requests.
func (e *upstreamEntries) listEvacuated(ctx context.Context) (map[string]bool, error) {
	if !e.readEvacuations {
		return nil, nil
	}
	evacuated := make(map[string]bool)
	err := e.each(ctx, platform.PrefixEvacuations, func(pair kv.Pair) {
		evacuated[strings.TrimPrefix(pair.Key, platform.PrefixEvacuations)] = true
	})
	return evacuated, err
}

func (e *upstreamEntries) parse(pair kv.Pair) upstreamEntry {
	upstream, err := platform.ParseUpstream(pair.Key, pair.Value)
	if err != nil {
		return upstreamEntry{problem: err.Error()}
	}
	if address, err := netip.ParseAddrPort(upstream.Address); err == nil && e.reserved[unmapped(address)] {
		return upstreamEntry{problem: "address " + upstream.Address + " is that of this process or of the store"}
	}
	return upstreamEntry{upstream: upstream}
}

// logOdd logs the odd entries that are new or have another problem than in the last list, and the number of all odd ones when it changes.
func (e *upstreamEntries) logOdd(pairs []kv.Pair, listed map[string]upstreamEntry) {
	odd, logged := 0, 0
	for _, pair := range pairs {
		problem := listed[pair.Key].problem
		if problem == "" {
			continue
		}
		odd++
		if problem != e.known[pair.Key].problem && logged < maxOddEntriesLogged {
			logged++
			e.logger.Warn("cannot parse upstream entry", zap.String("key", pair.Key), zap.Int64("revision", pair.ModRevision), zap.String("error", problem))
		}
	}
	if odd != e.odd {
		e.logger.Warn("entries that name no upstream", zap.Int("before", e.odd), zap.Int("now", odd))
		e.odd = odd
	}
}

// upstreams returns the upstreams of the pairs that list returned, and of missing ones, which are unconfirmed. It forgets all other entries.
func (e *upstreamEntries) upstreams(present, missing []kv.Pair) []*fleet.Upstream {
	list := make([]*fleet.Upstream, 0, len(present)+len(missing))
	kept := make(map[string]upstreamEntry, len(present)+len(missing))
	for i, pair := range slices.Concat(present, missing) {
		entry := e.known[pair.Key]
		kept[pair.Key] = entry
		if entry.upstream != nil {
			upstream := *entry.upstream
			upstream.Unconfirmed = i >= len(present)
			upstream.Evacuated = e.evacuated[upstream.DataCentre]
			list = append(list, &upstream)
		}
	}
	e.known = kept
	return list
}

// upstreamFeed keeps the newest list of upstreams, which this process reads from the store or gets from another one.
type upstreamFeed struct {
	// interval is the time between two reads of the store.
	interval time.Duration
	// source returns the process that passes on the lists to this one, empty for none, and whether this process is a relay.
	source func() (process string, relay bool)

	mu     sync.Mutex // guards readAt and serializes apply
	readAt time.Time  // when the applied list was read from the store
}

// The lists that another process passes on may be older than the interval by these shares of it before this process reads the store itself. Relays
// begin, so that the other processes get the list from them.
const (
	relayLateShare = 0.2
	otherLateShare = 0.4
)

// due returns how long this process needs no read of its own.
func (f *upstreamFeed) due() time.Duration {
	process, relay := f.source()
	if process == "" {
		return 0
	}
	late := otherLateShare
	if relay {
		late = relayLateShare
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.interval + time.Duration(late*float64(f.interval)) - time.Since(f.readAt)
}

// update calls apply if a list is newer than the last one. It reports whether it is.
func (f *upstreamFeed) update(readAt time.Time, apply func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !readAt.After(f.readAt) {
		return false
	}
	f.readAt = readAt
	apply()
	return true
}

// applyRead applies the entries of a list that this process read. missing has entries that have been missing since an outage of the store.
func (r *router) applyRead(present, missing []kv.Pair) {
	r.applyUpstreams(r.upstreams.upstreams(present, missing), r.upstreams.readAt)
}

// applyUpstreams updates the upstreams from a list that was read from the store at some time, by this process or another one.
func (r *router) applyUpstreams(list []*fleet.Upstream, readAt time.Time) {
	var changes []placement.Change
	if !r.feed.update(readAt, func() { changes = r.board.Update(list) }) {
		return
	}
	r.mesh.PublishUpstreams(list, readAt)
	for _, change := range changes {
		if change.Kind != "joined" {
			r.pool.CloseIdle(change.Upstream.Address)
		}
		r.logger.Info("upstream", zap.String("change", change.Kind), zap.String("upstream", change.Upstream.ID),
			zap.String("service", change.Upstream.Service), zap.String("address", change.Upstream.Address),
			zap.String("data_centre", change.Upstream.DataCentre), zap.Int("stage", int(change.Upstream.Stage)), zap.Duration("list_age", time.Since(readAt)))
	}
}
