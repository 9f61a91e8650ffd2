// Package limitlog decides which events of limits are logged: clients can cause thousands a second.
package limitlog

import (
	"sync"
	"time"
)

// interval is the least time between two log lines of one cause.
const interval = time.Second

// Log counts events by cause. Its zero value is ready for use, and its methods may be called concurrently.
type Log[C comparable] struct {
	mu      sync.Mutex // guards the field below
	entries map[C]entry
}

type entry struct {
	loggedAt time.Time
	count    int // events since the last log line
}

// Due counts an event. It reports whether the event is to be logged, and the number of events since the last log line with this one.
func (l *Log[C]) Due(cause C, now time.Time) (count int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries == nil {
		l.entries = make(map[C]entry)
	}
	e := l.entries[cause]
	e.count++
	if now.Sub(e.loggedAt) < interval {
		l.entries[cause] = e
		return 0, false
	}
	l.entries[cause] = entry{loggedAt: now}
	return e.count, true
}
