// Package upstreamrate keeps the request rates to which upstreams limit all entry processes together.
package upstreamrate

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// ErrInvalid means that an upstream named a limit that is not a number of requests per second.
var ErrInvalid = errors.New("invalid limit")

// Statement is what one answer of an upstream says about its limit.
type Statement struct {
	// Named is set if the answer names a limit. An answer that names none withdraws the limit.
	Named bool
	// PerSecond is the number of requests per second that the upstream takes from all processes together.
	PerSecond float64
	// Err wraps ErrInvalid if the limit could not be read. The limit that is known then stays.
	Err error
}

// key identifies one start of an upstream. A restarted one has no limit until it names one.
type key struct {
	id          string
	incarnation int64
}

func keyOf(upstream *fleet.Upstream) key { return key{upstream.ID, upstream.Incarnation} }

// entry is what is known of the limit of one upstream.
type entry struct {
	limited   bool
	perSecond float64
	heardAt   time.Time
}

// Limits holds the limits of all upstreams. Its methods may be called concurrently.
type Limits struct {
	mu      sync.Mutex // guards entries
	entries map[key]*entry
}

// New returns Limits without any limit.
func New() *Limits { return &Limits{entries: make(map[key]*entry)} }

// Observe records what an answer says. sentAt is when its request was sent: answers may overtake each other, so one whose request
// was sent before the last statement arrived neither raises nor withdraws the limit. It reports whether the limit changed.
func (l *Limits) Observe(upstream *fleet.Upstream, statement Statement, sentAt, now time.Time) bool {
	if statement.Err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[keyOf(upstream)]
	if e == nil {
		if !statement.Named {
			return false
		}
		e = new(entry)
		l.entries[keyOf(upstream)] = e
	}
	looser := e.limited && (!statement.Named || statement.PerSecond > e.perSecond)
	if looser && sentAt.Before(e.heardAt) {
		return false
	}
	changed := e.limited != statement.Named || e.perSecond != statement.PerSecond
	e.limited, e.perSecond, e.heardAt = statement.Named, statement.PerSecond, now
	return changed
}
