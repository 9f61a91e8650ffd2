// Package backlog keeps the demand that waits for capacity at model engines: that of this process, and that which other
// processes report. With it, a process leaves capacity to more urgent requests that wait elsewhere.
//
// It is built for bursts in which the engines are full for seconds while each of 3 to 103 processes has its own queue, and few
// urgent requests wait among many ordinary ones. It does no I/O; callers pass in the current time.
package backlog

import (
	"maps"
	"math"
	"sync"
	"time"
)

// ReportLifetime is how long a report of another process is used: two heartbeats of 500 ms and a margin. A process that ends,
// is cut off or hangs while an urgent request waits there holds back others for no longer.
const ReportLifetime = 1100 * time.Millisecond

// maxAmount limits each amount of a report, so that sums of them do not overflow.
const maxAmount = 1 << 40

// Demand is the number of waiting requests, and the engine memory in tokens that they need.
type Demand struct{ Requests, MemoryTokens int }

func (d Demand) plus(other Demand) Demand {
	return Demand{min(d.Requests+other.Requests, maxAmount), min(d.MemoryTokens+other.MemoryTokens, maxAmount)}
}

// Levels is the demand of one service by priority; the lowest number is the most urgent.
type Levels map[int]Demand

// upTo returns the sum of the demand at a priority and of all more urgent demand.
func (l Levels) upTo(priority int) Demand {
	var sum Demand
	for level, demand := range l {
		if level <= priority {
			sum = sum.plus(demand)
		}
	}
	return sum
}

// clean returns a copy without the levels at which nothing waits; nil if nothing waits at all.
func (l Levels) clean() Levels {
	var kept Levels
	for priority, demand := range l {
		if demand.Requests <= 0 {
			continue
		}
		if kept == nil {
			kept = make(Levels, len(l))
		}
		kept[priority] = Demand{min(demand.Requests, maxAmount), min(max(0, demand.MemoryTokens), maxAmount)}
	}
	return kept
}

// report is the demand that a source reported. It is not modified once it is stored.
type report struct {
	demand map[string]Levels
	until  time.Time // when the report is no longer used
}

func (r *report) usable(now time.Time) bool { return r != nil && now.Before(r.until) }

// Backlog is the waiting demand. Its methods may be called concurrently.
type Backlog struct {
	changed func()

	mu      sync.Mutex // guards the fields below; no function of another package is called while it is held
	own     map[string]Levels
	reports map[string]*report // by source, which is another process or a group of them
	// leastUrgent is the least urgent priority at which requests of a service have waited at any process.
	leastUrgent map[string]int
}

// New returns a backlog without demand. changed is called, without a mutex held, after this process's own demand has changed at a priority that
// can hold back requests of other processes; nil stands for none.
func New(changed func()) *Backlog {
	if changed == nil {
		changed = func() {}
	}
	return &Backlog{changed: changed, own: make(map[string]Levels), reports: make(map[string]*report), leastUrgent: make(map[string]int)}
}

// noteLocked updates leastUrgent. b.mu must be held.
func (b *Backlog) noteLocked(service string, levels Levels) {
	for priority := range levels {
		if least, ok := b.leastUrgent[service]; !ok || priority > least {
			b.leastUrgent[service] = priority
		}
	}
}

// mattersLocked reports whether two demands for a service differ at a priority that can hold back other requests. Most waiting requests are of the
// least urgent priority, which holds back none, so that a heartbeat with each change of them would tell the others nothing. b.mu must be held.
func (b *Backlog) mattersLocked(service string, before, after Levels) bool {
	least := b.leastUrgent[service]
	for priority, demand := range before {
		if priority < least && after[priority] != demand {
			return true
		}
	}
	for priority := range after {
		if _, known := before[priority]; priority < least && !known {
			return true
		}
	}
	return false
}

// SetOwn replaces this process's own demand for a service.
func (b *Backlog) SetOwn(service string, levels Levels) {
	levels = levels.clean()
	b.mu.Lock()
	b.noteLocked(service, levels)
	changed := b.mattersLocked(service, b.own[service], levels)
	if levels == nil {
		delete(b.own, service)
	} else {
		b.own[service] = levels
	}
	b.mu.Unlock()
	if changed {
		b.changed()
	}
}

// SetOthers replaces the demand that a source reports, by service. It reports whether the demand of others has changed at a priority that can hold
// back requests.
func (b *Backlog) SetOthers(source string, demand map[string]Levels, now time.Time) (changed bool) {
	cleaned := make(map[string]Levels, len(demand))
	for service, levels := range demand {
		if levels = levels.clean(); levels != nil {
			cleaned[service] = levels
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var before map[string]Levels
	if old := b.reports[source]; old.usable(now) {
		before = old.demand
	}
	if len(cleaned) == 0 {
		delete(b.reports, source)
	} else {
		b.reports[source] = &report{cleaned, now.Add(ReportLifetime)}
	}
	for service, levels := range cleaned {
		b.noteLocked(service, levels)
		changed = changed || b.mattersLocked(service, before[service], levels)
	}
	for service, levels := range before {
		changed = changed || b.mattersLocked(service, levels, cleaned[service])
	}
	return changed
}

// Empty reports whether nothing waits here and no source reported demand.
func (b *Backlog) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.own) == 0 && len(b.reports) == 0
}

// Reported reports whether a source reported demand.
func (b *Backlog) Reported(source string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reports[source] != nil
}

// Drop forgets what a source reported. It reports whether that was any demand.
func (b *Backlog) Drop(source string) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, changed = b.reports[source]
	delete(b.reports, source)
	return changed
}

// Expire forgets the reports that are no longer used. It reports whether there were any, and when the next one expires; the
// zero time stands for none.
func (b *Backlog) Expire(now time.Time) (changed bool, next time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for source, r := range b.reports {
		switch {
		case !r.usable(now):
			delete(b.reports, source)
			changed = true
		case next.IsZero() || r.until.Before(next):
			next = r.until
		}
	}
	return changed, next
}

// Report returns the demand of this process and of the sources that include selects, by service.
func (b *Backlog) Report(include func(source string) bool, now time.Time) map[string]Levels {
	b.mu.Lock()
	demand := make(map[string]Levels, len(b.own))
	add(demand, b.own)
	reports := maps.Clone(b.reports)
	b.mu.Unlock()
	for source, r := range reports {
		if r.usable(now) && include(source) {
			add(demand, r.demand)
		}
	}
	return demand
}

// Waiting returns the demand of this process and that of the others, by service.
func (b *Backlog) Waiting(now time.Time) (here, elsewhere map[string]Levels) {
	b.mu.Lock()
	defer b.mu.Unlock()
	here, elsewhere = make(map[string]Levels), make(map[string]Levels)
	add(here, b.own)
	for _, r := range b.reports {
		if r.usable(now) {
			add(elsewhere, r.demand)
		}
	}
	return here, elsewhere
}

// add adds demand to sums.
func add(sums, demand map[string]Levels) {
	for service, levels := range demand {
		if sums[service] == nil {
			sums[service] = make(Levels, len(levels))
		}
		for priority, d := range levels {
			sums[service][priority] = sums[service][priority].plus(d)
		}
	}
}

// MoreUrgent returns the demand of the other processes for a service that is more urgent than priority.
func (b *Backlog) MoreUrgent(service string, priority int, now time.Time) Demand {
	if priority == math.MinInt { // nothing is more urgent, and priority-1 would overflow
		return Demand{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.othersLocked(service, priority-1, now)
}

// AsUrgent returns the demand of all processes for a service that is as urgent as priority or more urgent.
func (b *Backlog) AsUrgent(service string, priority int, now time.Time) Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.othersLocked(service, priority, now).plus(b.own[service].upTo(priority))
}

// othersLocked returns the demand of the other processes up to a priority. b.mu must be held.
func (b *Backlog) othersLocked(service string, priority int, now time.Time) Demand {
	var sum Demand
	for _, r := range b.reports {
		if r.usable(now) {
			sum = sum.plus(r.demand[service].upTo(priority))
		}
	}
	return sum
}
