package main

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
	"github.com/fulmardoor/fulmardoor/platform"
)

// maxOddEntriesLogged limits the log lines about single odd entries after one list.
const maxOddEntriesLogged = 10

// upstreamEntries reads the entries of the upstreams and keeps them parsed. Other programs may have written thousands of odd entries of up to 1 MB: their
// values are not kept, they are parsed again only when they change, and they are logged when their problem changes. It is not safe for
// concurrent use.
type upstreamEntries struct {
	each   func(ctx context.Context, prefix string, visit func(kv.Pair)) (revision int64, err error)
	logger *zap.Logger
	// known has the entries of the last list, by key.
	known map[string]upstreamEntry
	// reserved has the addresses of this process and of the store. An entry with one of them names no upstream.
	reserved map[netip.AddrPort]bool
	// odd is the number of odd entries that was logged last.
	odd int
	// readEvacuations is set where operators may evacuate data centres.
	readEvacuations bool
}

// upstreamEntry is an entry that names an upstream, or an odd one that names none because of a problem.
type upstreamEntry struct {
	valueHash uint64
	revision  int64 // of the change that wrote the value
	upstream  *fleet.Upstream
	problem   string
}

func newUpstreamEntries(each func(ctx context.Context, prefix string, visit func(kv.Pair)) (int64, error), logger *zap.Logger) *upstreamEntries {
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

// list reads the entries.
func (e *upstreamEntries) list(ctx context.Context) (*upstreamlist.Reading, error) {
	reading := &upstreamlist.Reading{At: time.Now()}
	var err error
	if reading.Evacuated, err = e.listEvacuated(ctx); err != nil {
		return nil, err
	}
	listed := make(map[string]upstreamEntry, len(e.known))
	var keys []string
	reading.Revision, err = e.each(ctx, platform.PrefixUpstreams, func(pair kv.Pair) {
		hash := xxhash.Sum64(pair.Value)
		entry, ok := e.known[pair.Key]
		if !ok || entry.valueHash != hash {
			entry = e.parse(pair)
			entry.valueHash, entry.revision = hash, pair.ModRevision
		}
		if _, again := listed[pair.Key]; !again {
			keys = append(keys, pair.Key)
		}
		listed[pair.Key] = entry
	})
	if err == nil && reading.Revision == 0 {
		err = errors.Wrap(kv.ErrUnavailable, "the list has no revision")
	}
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		if upstream := listed[key].upstream; upstream != nil {
			reading.Upstreams = append(reading.Upstreams, upstream)
		} else {
			reading.Odd = append(reading.Odd, strings.TrimPrefix(key, platform.PrefixUpstreams))
		}
	}
	e.logOdd(keys, listed)
	e.known = listed
	return reading, nil
}

// listEvacuated reads the data centres whose upstreams are to get no requests.
func (e *upstreamEntries) listEvacuated(ctx context.Context) (dataCentres []string, err error) {
	if !e.readEvacuations {
		return nil, nil
	}
	_, err = e.each(ctx, platform.PrefixEvacuations, func(pair kv.Pair) {
		dataCentres = append(dataCentres, strings.TrimPrefix(pair.Key, platform.PrefixEvacuations))
	})
	return dataCentres, err
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
func (e *upstreamEntries) logOdd(keys []string, listed map[string]upstreamEntry) {
	odd, logged := 0, 0
	for _, key := range keys {
		entry := listed[key]
		if entry.problem == "" {
			continue
		}
		odd++
		if entry.problem != e.known[key].problem && logged < maxOddEntriesLogged {
			logged++
			e.logger.Warn("cannot parse upstream entry", zap.String("key", key), zap.Int64("revision", entry.revision), zap.String("error", entry.problem))
		}
	}
	if odd != e.odd {
		e.logger.Warn("entries that name no upstream", zap.Int("before", e.odd), zap.Int("now", odd))
		e.odd = odd
	}
}

// upstreamFeed keeps what is known of the upstreams from the lists that this process reads from the store or gets from other ones.
type upstreamFeed struct {
	// interval is the time between two reads of the store.
	interval time.Duration
	// source returns the process that passes on the lists to this one, empty for none, and whether this process is a relay.
	source func() (process string, relay bool)
	// storeLostAt returns when a call of this process to the store failed last.
	storeLostAt func() time.Time

	mu    sync.Mutex // guards known
	known *upstreamlist.Known
}

// The lists that another process passes on may be older than the interval by these shares of it before this process reads the store itself. Relays
// begin, so that the other processes get the list from them.
const (
	relayLateShare = 0.2
	otherLateShare = 0.4
)

// missingIntervalShare times the interval is the time between two reads while upstreams are missing since an outage of the store, to use those soon
// that announce themselves again.
const missingIntervalShare = 0.5

// upstreamListOptions returns how entries of upstreams lapse and come back.
func upstreamListOptions(s *platform.Settings) upstreamlist.Options {
	return upstreamlist.Options{
		LapseTime:  lapseHeartbeats * s.UpstreamHeartbeat,
		ReturnTime: upstreamGrace, LeaseTime: leaseHeartbeats * s.UpstreamHeartbeat, SameHistory: platform.SameHistory,
	}
}

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
	return f.interval + time.Duration(late*float64(f.interval)) - time.Since(f.known.Contact().ReadAt)
}

// pause returns the time until this process reads the store again if no other one passes on the lists.
func (f *upstreamFeed) pause() time.Duration {
	if f.missing() > 0 {
		return time.Duration(missingIntervalShare * float64(f.interval))
	}
	return f.interval
}

// age returns the time since the newest list was read; zero before the first.
func (f *upstreamFeed) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	readAt := f.known.Contact().ReadAt
	if readAt.IsZero() {
		return 0
	}
	return time.Since(readAt)
}

// missing returns the number of upstreams that are used although the newest list lacks them.
func (f *upstreamFeed) missing() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.Missing()
}

// current reports whether the list has been known without a gap for some seconds.
func (f *upstreamFeed) current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known.Current(time.Now())
}

// feedUpdate is what a list changed.
type feedUpdate struct {
	// upstreams are the ones to use, and listed is the list for other processes.
	upstreams []*fleet.Upstream
	listed    *upstreamlist.List
	// reasons says why upstreams are not used any more, by id.
	reasons map[string]upstreamlist.Reason
	// missingBefore and missing are the numbers of upstreams that the newest list lacks and that are used, before this list and with it.
	missingBefore, missing int
}

// apply takes the list that get returns; nil if nothing is learned from it.
func (f *upstreamFeed) apply(get func(known *upstreamlist.Known) *upstreamlist.List) *feedUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	missingBefore := f.known.Missing()
	removed, changed := f.known.Apply(get(f.known), f.storeLostAt(), time.Now())
	if !changed {
		return nil
	}
	update := &feedUpdate{
		upstreams: f.known.Upstreams(), listed: f.known.Listed(), reasons: make(map[string]upstreamlist.Reason, len(removed)),
		missingBefore: missingBefore, missing: f.known.Missing(),
	}
	for _, r := range removed {
		update.reasons[r.Upstream.ID] = r.Reason
	}
	return update
}

// readUpstreams reads the list of upstreams from the store and applies it.
func (r *router) readUpstreams(ctx context.Context) error {
	reading, err := r.upstreams.list(ctx)
	if err != nil {
		return err
	}
	r.applyUpstreams("", func(known *upstreamlist.Known) *upstreamlist.List { return known.Read(reading) })
	return nil
}

// receiveUpstreams applies a list that another process passed on.
func (r *router) receiveUpstreams(process string, list *upstreamlist.List) {
	r.applyUpstreams(process, func(*upstreamlist.Known) *upstreamlist.List { return list })
}

// applyUpstreams updates the upstreams from a list that this process read or the named one passed on, and passes it on.
func (r *router) applyUpstreams(process string, get func(known *upstreamlist.Known) *upstreamlist.List) {
	r.upstreamsMu.Lock()
	defer r.upstreamsMu.Unlock()
	update := r.feed.apply(get)
	if update == nil {
		return
	}
	changes := r.board.Update(update.upstreams)
	r.mesh.PublishUpstreams(update.listed)
	if update.missing != update.missingBefore {
		r.logger.Info("upstreams missing", zap.Int("before", update.missingBefore), zap.Int("now", update.missing), zap.String("from", process),
			zap.Int64("revision", update.listed.Revision), zap.Time("store_lost_at", r.feed.storeLostAt()))
	}
	for _, change := range changes {
		if change.Kind != "joined" {
			r.pool.CloseIdle(change.Upstream.Address)
		}
		r.logger.Info("upstream", zap.String("change", change.Kind), zap.String("upstream", change.Upstream.ID),
			zap.String("service", change.Upstream.Service), zap.String("address", change.Upstream.Address),
			zap.String("data_centre", change.Upstream.DataCentre), zap.Int("stage", int(change.Upstream.Stage)),
			zap.Duration("list_age", time.Since(update.listed.ReadAt)), zap.String("from", process), zap.Int64("revision", update.listed.Revision),
			zap.Duration("contact", update.listed.ReadAt.Sub(update.listed.SinceAt)), zap.String("reason", string(update.reasons[change.Upstream.ID])))
	}
}
