// Package upstreamrate keeps the request rates to which upstreams limit all entry processes together, and issues the permits
// for single requests to such upstreams.
//
// It is built for upstreams in need that take from far less than one to some tens of requests per second, which many processes want
// to send to at the same moment. A rate below one per second cannot be divided among processes, and counts that are exchanged afterwards
// let every process send before it knows of the others. So one connected process issues all permits for an upstream, and
// the others ask it before each request. Processes that cannot ask use time slots of an equal share of the rate.
package upstreamrate

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

const (
	// reportTime is how long other processes are told of an answer. It covers the longest time between two answers of an upstream
	// that gets minPerSecond.
	reportTime = 12 * time.Second
	// forgetTime is the time without any answer after which the limit of an upstream is forgotten: the upstream is gone.
	forgetTime = 10 * time.Minute
	// minPerSecond is the least rate at which requests are sent. Without any request nobody would learn that a limit of zero
	// was withdrawn.
	minPerSecond = 0.1
	// maxPerSecond keeps the products with a rate finite. No upstream takes as many requests.
	maxPerSecond = 1e9
)

// ErrInvalid means that an upstream named a limit that is not a number of requests per second.
var ErrInvalid = errors.New("invalid limit")

// Statement is what one answer of an upstream says about its limit.
type Statement struct {
	// Named is set if the answer names a limit, even one that could not be read. An answer that names none withdraws the limit.
	Named bool
	// PerSecond is the number of requests per second that the upstream takes from all processes together.
	PerSecond float64
	// Err wraps ErrInvalid if the limit could not be read. The limit that is known then stays.
	Err error
}

// NewStatement returns the statement that names a limit. Its Err is set if perSecond is not a number of requests per second.
func NewStatement(perSecond float64) Statement {
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return Statement{Named: true, Err: errors.Wrapf(ErrInvalid, "%v per second", perSecond)}
	}
	return Statement{Named: true, PerSecond: min(perSecond, maxPerSecond)}
}

// Key identifies one start of an upstream. A restarted one has no limit until it names one.
type Key struct {
	Upstream    string
	Incarnation int64
}

func keyOf(upstream *fleet.Upstream) Key { return Key{upstream.ID, upstream.Incarnation} }

// Limit is what a process knows of the limit of an upstream.
type Limit struct {
	Key
	Statement
	// HeardAt is when the answer with the statement arrived.
	HeardAt time.Time
	// FirstHeardAt is when the first answer with a limit arrived at any process, as far as this one knows. All processes count time slots
	// from it: the time of day differs between hosts.
	FirstHeardAt time.Time
	// Source is the process that told this one of it; empty for an answer to this process.
	Source string
}

// rate returns the requests per second that may be sent.
func (l *Limit) rate() float64 { return max(minPerSecond, l.PerSecond) }

// entry is what is known of one upstream, and the permits issued for it.
type entry struct {
	// known is the latest statement that any process heard.
	known Limit
	// issued has the permits of all processes, for the time in which this process issues them. share has those of this process alone.
	issued bucket
	share  slots
}

// Limits holds the limits of all upstreams. Its methods may be called concurrently.
type Limits struct {
	name      string
	startedAt time.Time
	peers     Peers

	mu        sync.Mutex // guards the fields below
	entries   map[Key]*entry
	processes int
	// listed are the names of the processes as last listed, and place is the place among those whose number took effect.
	listed []string
	place  place
	// pausedUntil is when an upstream that wants no requests from this process takes them again.
	pausedUntil map[Key]time.Time
	// noRequestsUntil is when a process is asked again that did not answer or does not issue permits.
	noRequestsUntil map[string]time.Time
}

// New returns Limits of the process with a name that started at startedAt, without any limit. Permits also need Connect.
func New(name string, startedAt time.Time) *Limits {
	return &Limits{name: name, startedAt: startedAt, peers: noPeers{}, entries: make(map[Key]*entry), processes: 1,
		pausedUntil: make(map[Key]time.Time), noRequestsUntil: make(map[string]time.Time)}
}

// Connect sets the other processes. It must be called before the limits are used.
func (l *Limits) Connect(peers Peers) { l.peers = peers }

// SetProcesses sets the number of entry processes, this one included.
func (l *Limits) SetProcesses(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = max(1, count)
	l.updatePlaceLocked()
}

// SetMembers sets the names of all entry processes, this one included. If they are fewer than the number of processes, the list takes effect
// when that number falls: the entries of running processes lapse in an outage of the store, and must not change the slots of the others.
func (l *Limits) SetMembers(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = names
	l.updatePlaceLocked()
}

func (l *Limits) updatePlaceLocked() {
	if len(l.listed) >= l.processes {
		l.place = placeOf(l.name, l.listed)
	}
}

// entryLocked returns the entry of an upstream, and creates it if needed.
func (l *Limits) entryLocked(key Key, now time.Time) *entry {
	e := l.entries[key]
	if e == nil {
		e = &entry{issued: bucket{updatedAt: now}, share: slots{unknownPlace: rand.Float64()}}
		l.entries[key] = e
	}
	return e
}

// Observe records what an answer says. sentAt is when its request was sent: answers may overtake each other, so one whose request
// was sent before the last statement arrived neither raises nor withdraws the limit. It reports whether the limit changed.
func (l *Limits) Observe(upstream *fleet.Upstream, statement Statement, sentAt, now time.Time) bool {
	if statement.Err != nil {
		return false
	}
	key := keyOf(upstream)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[key] == nil && !statement.Named {
		return false
	}
	e := l.entryLocked(key, now)
	looser := e.known.Named && (!statement.Named || statement.PerSecond > e.known.PerSecond)
	if looser && sentAt.Before(e.known.HeardAt) {
		return false
	}
	changed := e.known.Statement != statement
	e.known = Limit{Key: key, Statement: statement, HeardAt: now, FirstHeardAt: earliest(e.known.FirstHeardAt, now)}
	return changed
}

// Apply records the statements that another process heard, if they are later than the known ones. It returns those that changed
// a limit.
func (l *Limits) Apply(limits []Limit, now time.Time) (changed []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range limits {
		if l.applyLocked(limit, now) {
			changed = append(changed, limit)
		}
	}
	return changed
}

func (l *Limits) applyLocked(limit Limit, now time.Time) (changed bool) {
	if limit.Err != nil || l.entries[limit.Key] == nil && !limit.Named {
		return false
	}
	e := l.entryLocked(limit.Key, now)
	// The time of a message on its way makes an event look later than it was, so the earliest one that was heard of is the most exact.
	limit.FirstHeardAt = earliest(e.known.FirstHeardAt, earliest(limit.FirstHeardAt, limit.HeardAt))
	if !limit.HeardAt.After(e.known.HeardAt) {
		e.known.FirstHeardAt = limit.FirstHeardAt
		return false
	}
	changed = e.known.Statement != limit.Statement
	e.known = limit
	return changed
}

// earliest returns the earlier of two times, of which the first may be zero for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Recent returns the statements that any process heard within the last reportTime.
func (l *Limits) Recent(now time.Time) []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var limits []Limit
	for _, e := range l.entries {
		if !e.known.HeardAt.IsZero() && now.Sub(e.known.HeardAt) < reportTime {
			limits = append(limits, e.known)
		}
	}
	return limits
}

// Limited reports whether an upstream names a limit or wants no requests now.
func (l *Limits) Limited(upstream *fleet.Upstream, now time.Time) bool {
	key := keyOf(upstream)
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[key]
	return e != nil && e.known.Named || now.Before(l.pausedUntil[key])
}

// Sweep forgets the upstreams that are gone, pauses that have ended, and withdrawn limits of which all processes have heard.
func (l *Limits) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, e := range l.entries {
		if age := now.Sub(e.known.HeardAt); age > forgetTime || age > reportTime && !e.known.Named {
			delete(l.entries, key)
		}
	}
	for key, until := range l.pausedUntil {
		if !now.Before(until) {
			delete(l.pausedUntil, key)
		}
	}
	for process, until := range l.noRequestsUntil {
		if until.Before(now) {
			delete(l.noRequestsUntil, process)
		}
	}
}
