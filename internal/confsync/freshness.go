package confsync

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// FreshnessLimit is the age of the last confirmation from which on a process has to tell an outage of the store from
	// its own isolation.
	FreshnessLimit = 5 * time.Second

	// pauseLimit is the time between two ticks from which on the process counts as having been paused.
	pauseLimit = time.Second
	// distrustPeriod is the time after a pause in which heartbeats confirm nothing. Heartbeats that waited in the socket
	// during the pause are older than they look; they are read within moments after it.
	distrustPeriod = time.Second
	// maxPending bounds the confirmations that wait for their revision.
	maxPending = 8
)

// State says how current the configuration is.
type State int

const (
	// NoConfiguration means that neither store nor peers have given a configuration yet.
	NoConfiguration State = iota
	// Fresh means that the configuration was confirmed within FreshnessLimit.
	Fresh
	// Outage means that nobody has contact to the store, so nobody can have accepted a change.
	Outage
	// Isolated means that this process may be cut off and may miss changes.
	Isolated
)

// String returns the form used in logs and on the operator's pages.
func (s State) String() string {
	switch s {
	case Fresh:
		return "fresh"
	case Outage:
		return "outage"
	case Isolated:
		return "isolated"
	default:
		return "no configuration"
	}
}

// StateNames lists the names of all states.
func StateNames() []string {
	return []string{NoConfiguration.String(), Fresh.String(), Outage.String(), Isolated.String()}
}

// freshness holds the time of the last confirmation: at that time the store had no change that is missing here. All
// times are on this process's monotonic clock.
type freshness struct {
	loaded    bool
	known     bool
	confirmed time.Time
	pending   []confirmation

	lastTick      time.Time
	distrustUntil time.Time
	// outageSeen is the last time at which the store was seen to be out of reach for everyone; zero for never.
	outageSeen time.Time
}

// confirmation says that revision was the newest at a time.
type confirmation struct {
	revision uint64
	at       time.Time
}

func (f *freshness) tick(now time.Time) { f.lastTick = now }

func (f *freshness) distrusts(now time.Time) bool { return now.Before(f.distrustUntil) }

// confirm takes a confirmation for revision; held is the revision up to which all changes are known here. One for a
// revision that is still missing waits until advance.
func (f *freshness) confirm(held, revision uint64, at time.Time) {
	if revision > held {
		f.pending = append(f.pending, confirmation{revision, at})
		if len(f.pending) > maxPending {
			f.pending = f.pending[1:]
		}
		return
	}
	f.loaded = true
	if !f.known || at.After(f.confirmed) {
		f.known = true
		f.confirmed = at
	}
}

// advance settles the confirmations up to the held revision.
func (f *freshness) advance(held uint64) {
	if held > 0 {
		f.loaded = true
	}
	waiting := f.pending
	f.pending = nil
	for _, c := range waiting {
		f.confirm(held, c.revision, c.at)
	}
}

// ageMillis returns the age of the confirmation, rounded up, or -1 if there is none.
func (f *freshness) ageMillis(now time.Time) int64 {
	if !f.known {
		return -1
	}
	return (now.Sub(f.confirmed) + time.Millisecond - 1).Milliseconds()
}

func (f *freshness) isFresh(now time.Time) bool {
	return f.known && now.Sub(f.confirmed) < FreshnessLimit
}

// noticePause detects that this process was stopped for a while. Contacts from before the pause are dropped, and
// confirmations that may have waited in a socket are not taken. n.mu must be held.
func (n *Node) noticePause(now time.Time) {
	if n.running == nil || now.Sub(n.fresh.lastTick) <= pauseLimit {
		return
	}
	n.fresh.tick(now)
	n.fresh.distrustUntil = now.Add(distrustPeriod)
	n.fresh.pending = nil
	n.fresh.outageSeen = time.Time{}
	for peer, last := range n.heard {
		n.heard[peer] = contact{revision: last.revision, told: now}
	}
}

// State returns the present state.
func (n *Node) State() State {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noticePause(now)
	switch {
	case !n.fresh.loaded:
		return NoConfiguration
	case n.fresh.isFresh(now):
		return Fresh
	case n.isOutage(now), n.inOutageGrace(now):
		return Outage
	default:
		return Isolated
	}
}

// Age returns the time since the last confirmation; known is false if there was none.
func (n *Node) Age() (age time.Duration, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.fresh.confirmed), n.fresh.known
}

// Admit returns nil if requests may be checked against the configuration, and a *verdict.Refusal otherwise.
func (n *Node) Admit() error {
	switch n.State() {
	case NoConfiguration:
		return verdict.Refuse(wirev1.Reason_REASON_NO_CONFIGURATION, "this host has no configuration yet")
	case Isolated:
		return verdict.Refuse(wirev1.Reason_REASON_ISOLATED, "this host cannot tell whether its configuration is current")
	default:
		return nil
	}
}

// inOutageGrace reports whether the store was out of reach for everyone a moment ago. When it comes back, the first process
// that reaches it ends the outage before the others have a confirmation. Nothing could be accepted up to the last sight of
// the outage, so going on is as safe as with a confirmation of that age; the time that a contact may go unheard is taken off.
// A process that has heard of a change which it lacks has no grace. n.mu must be held.
func (n *Node) inOutageGrace(now time.Time) bool {
	grace := FreshnessLimit - n.heardLimit()
	if n.fresh.outageSeen.IsZero() || now.Sub(n.fresh.outageSeen) >= grace {
		return false
	}
	for _, last := range n.heard {
		if last.revision > n.history.revision {
			return false
		}
	}
	return true
}

// isOutage reports whether more than half of the entries, this one included, are heard directly and none has contact to
// the store. n.mu must be held.
func (n *Node) isOutage(now time.Time) bool {
	if n.watch.hasContact(now) {
		return false
	}
	voters := n.voters()
	heard := 0
	for _, process := range voters {
		if process == n.cfg.Self {
			heard++
			continue
		}
		last, ok := n.heard[process]
		if !ok || last.at.IsZero() || now.Sub(last.at) > n.heardLimit() {
			continue
		}
		if last.store {
			return false
		}
		heard++
	}
	return 2*heard > len(voters)
}
