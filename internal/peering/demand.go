package peering

import (
	"math"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
)

// NotifyDemandChanged schedules heartbeats to the other processes after the waiting demand of this process has changed.
func (m *Mesh) NotifyDemandChanged() {
	if m.options.Backlog != nil {
		m.ownDemand.Store(true)
		m.NotifyWorkChanged()
	}
}

// followDemand calls OnDemand after the demand of other processes has changed, also because a report of it has expired.
func (m *Mesh) followDemand() {
	timer := time.NewTimer(backlog.ReportLifetime)
	for {
		changed := true
		select {
		case <-m.othersDemand:
		case <-timer.C:
			changed = false
		}
		expired, next := m.options.Backlog.Expire(time.Now())
		if expired {
			m.mu.Lock()
			// Whose report has expired is not known here; a heartbeat too many is harmless.
			for _, l := range m.links {
				l.demandPending = true
			}
			m.mu.Unlock()
			m.NotifyWorkChanged()
		}
		if (changed || expired) && m.options.OnDemand != nil {
			m.options.OnDemand()
		}
		if timer.Stop(); !next.IsZero() { // the first report after none arrives as a change
			timer.Reset(time.Until(next))
		}
	}
}

// othersDemandChangedLocked makes others hear of demand that changed by a report of a link, and this process's requests be tried again.
// m.mu must be held.
func (m *Mesh) othersDemandChangedLocked(from *link) {
	m.markDemandLocked(from)
	if m.anyDirtyLocked() {
		m.NotifyWorkChanged()
	}
	select {
	case m.othersDemand <- struct{}{}:
	default:
	}
}

// markDemandLocked notes that the waiting demand changed by a report of a link; nil for this process's own. m.mu must be held.
func (m *Mesh) markDemandLocked(from *link) {
	for _, l := range m.links {
		if l != from && m.reports(l, from) {
			l.demandPending = true
		}
	}
}

// addDemandLocked adds the waiting demand of the processes that the heartbeats on a link cover. m.mu must be held.
func (m *Mesh) addDemandLocked(l *link, heartbeat *wirev1.Heartbeat) {
	l.demandPending = false
	if m.options.Backlog == nil || l.coverage() == wirev1.Coverage_COVERAGE_NONE || m.options.Backlog.Empty() {
		return
	}
	for service, levels := range m.options.Backlog.Report(m.sourcesLocked(l), time.Now()) {
		for priority, demand := range levels {
			heartbeat.Waiting = append(heartbeat.Waiting, &wirev1.WaitingDemand{
				Service: service, Priority: int32(min(max(priority, math.MinInt32), math.MaxInt32)),
				Requests: uint32(min(demand.Requests, math.MaxUint32)), MemoryTokens: uint64(demand.MemoryTokens),
			})
		}
	}
}

// applyDemandLocked records the waiting demand that a heartbeat reports. m.mu must be held.
func (m *Mesh) applyDemandLocked(l *link, heartbeat *wirev1.Heartbeat) {
	if m.options.Backlog == nil || len(heartbeat.GetWaiting()) == 0 && !m.options.Backlog.Reported(l.process) {
		return
	}
	demand := make(map[string]backlog.Levels)
	for _, waiting := range heartbeat.GetWaiting() {
		levels := demand[waiting.GetService()]
		if levels == nil {
			levels = make(backlog.Levels)
			demand[waiting.GetService()] = levels
		}
		levels[int(waiting.GetPriority())] = backlog.Demand{
			Requests: bounded.Count(waiting.GetRequests()), MemoryTokens: bounded.Count(waiting.GetMemoryTokens()),
		}
	}
	if m.options.Backlog.SetOthers(l.process, demand, time.Now()) {
		m.othersDemandChangedLocked(l)
	}
}
