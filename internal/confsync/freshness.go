package confsync

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// FreshnessLimit is the maximum age of the last confirmation for the state Fresh. With an older one, the process has
	// to determine whether the store is down for all processes or it is isolated itself.
	FreshnessLimit = 5 * time.Second

	// pauseThreshold is the time between two ticks above which the process is assumed to have been paused.
	pauseThreshold = time.Second
	// pauseRecoveryPeriod is the time after a pause during which received heartbeats are not taken as confirmations.
	// Heartbeats that were buffered in the socket during the pause are older than their time of receipt; they are read
	// shortly after the pause.
	pauseRecoveryPeriod = time.Second
	// maxPendingConfirmations bounds the confirmations of revisions that this process does not have yet.
	maxPendingConfirmations = 8
)

// State describes how current the configuration is.
type State int

const (
	// NoConfiguration means that no configuration has been received from the store or a peer yet.
	NoConfiguration State = iota
	// Fresh means that the configuration was confirmed within FreshnessLimit.
	Fresh
	// Outage means that no process can reach the store, so no change can have been accepted. A process may stay in
	// this state for a short grace period after the store has recovered.
	Outage
	// Isolated means that this process may be partitioned from the others and may miss changes.
	Isolated
)

// String returns the name used in logs and in operator output.
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

// freshness tracks the last confirmation, which is a time at which the store held no change that is missing here. All
// times are read from this process's monotonic clock.
type freshness struct {
	loaded          bool
	hasConfirmation bool
	confirmedAt     time.Time
	pending         []confirmation

	lastTick              time.Time
	ignoreHeartbeatsUntil time.Time
	// lastOutageAt is the last time at which the store was found to be unreachable for all processes; zero if never.
	lastOutageAt time.Time
}

// confirmation records that revision was the newest one in the store at a time.
type confirmation struct {
	revision uint64
	at       time.Time
}

func (f *freshness) tick(now time.Time) { f.lastTick = now }

func (f *freshness) ignoresHeartbeats(now time.Time) bool { return now.Before(f.ignoreHeartbeatsUntil) }

// confirm records a confirmation of revision. local is the revision up to which all changes are known here. If revision
// is newer, the confirmation stays pending until resolvePending is called with at least that revision.
func (f *freshness) confirm(local, revision uint64, at time.Time) {
	if revision > local {
		f.pending = append(f.pending, confirmation{revision, at})
		if len(f.pending) > maxPendingConfirmations {
			f.pending = f.pending[1:]
		}
		return
	}
	f.loaded = true
	if !f.hasConfirmation || at.After(f.confirmedAt) {
		f.hasConfirmation = true
		f.confirmedAt = at
	}
}

// resolvePending applies the pending confirmations of revisions up to local.
func (f *freshness) resolvePending(local uint64) {
	if local > 0 {
		f.loaded = true
	}
	pending := f.pending
	f.pending = nil
	for _, c := range pending {
		f.confirm(local, c.revision, c.at)
	}
}

// ageMillis returns the age of the confirmation, rounded up, or -1 if there is none.
func (f *freshness) ageMillis(now time.Time) int64 {
	if !f.hasConfirmation {
		return -1
	}
	return (now.Sub(f.confirmedAt) + time.Millisecond - 1).Milliseconds()
}

func (f *freshness) isFresh(now time.Time) bool {
	return f.hasConfirmation && now.Sub(f.confirmedAt) < FreshnessLimit
}

// detectPause detects that this process was paused. After a pause it discards the heartbeats received before it and
// ignores heartbeats for pauseRecoveryPeriod, as they may have been buffered in a socket. n.mu must be held.
func (n *Node) detectPause(now time.Time) {
	if n.runCtx == nil || now.Sub(n.freshness.lastTick) <= pauseThreshold {
		return
	}
	n.freshness.tick(now)
	n.freshness.ignoreHeartbeatsUntil = now.Add(pauseRecoveryPeriod)
	n.freshness.pending = nil
	n.freshness.lastOutageAt = time.Time{}
	for peer, status := range n.peerStatuses {
		n.peerStatuses[peer] = peerStatus{revision: status.revision, lastMessageAt: now}
	}
}

// State returns the current state.
func (n *Node) State() State {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectPause(now)
	switch {
	case !n.freshness.loaded:
		return NoConfiguration
	case n.freshness.isFresh(now):
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
	return time.Since(n.freshness.confirmedAt), n.freshness.hasConfirmation
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

// inOutageGrace reports whether an outage of the store ended so recently that requests may still be admitted. When the
// store recovers, the first process that reaches it ends the outage before the others have a confirmation. No change
// could be accepted until the outage was last observed, so that observation is as good as a confirmation of the same
// age, less the time for which a peer's contact with the store can remain unnoticed. There is no grace period for a
// process that knows of a revision it does not have. n.mu must be held.
func (n *Node) inOutageGrace(now time.Time) bool {
	grace := FreshnessLimit - n.heartbeatTimeout()
	if n.freshness.lastOutageAt.IsZero() || now.Sub(n.freshness.lastOutageAt) >= grace {
		return false
	}
	for _, status := range n.peerStatuses {
		if status.revision > n.history.revision {
			return false
		}
	}
	return true
}

// isOutage reports whether this process receives heartbeats from a majority of the voters, itself included, and none of
// them can reach the store. n.mu must be held.
func (n *Node) isOutage(now time.Time) bool {
	if n.watch.hasContact(now) {
		return false
	}
	voters := n.voters()
	reachable := 0
	for _, process := range voters {
		if process == n.cfg.Self {
			reachable++
			continue
		}
		status, ok := n.peerStatuses[process]
		if !ok || status.heartbeatAt.IsZero() || now.Sub(status.heartbeatAt) > n.heartbeatTimeout() {
			continue
		}
		if status.hasStoreContact {
			return false
		}
		reachable++
	}
	return 2*reachable > len(voters)
}
