package peering

import (
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// closePeerLocked ends a connection that this process opened and forgets what is known of it. m.mu must be held.
func (m *Mesh) closePeerLocked(name string) {
	go m.peers[name].Close()
	delete(m.peers, name)
	delete(m.wantedSince, name)
	delete(m.lost, name)
}

// replanLocked opens and closes connections as the plan says, and tells the other processes what changed. m.mu must be held.
func (m *Mesh) replanLocked() {
	now := time.Now()
	members := m.members
	if len(members) > 0 {
		members[m.options.Name] = relay.Member{Name: m.options.Name, Address: m.options.Address, DataCentre: m.options.DataCentre, Cores: m.options.Cores}
	}
	m.forgetLocked()
	plan := relay.NewPlan(m.options.Name, members, m.stateLocked, m.currentListLocked)
	m.wantLocked(&plan, now)
	m.dialLocked(&plan)
	if plan.Relay != m.plan.Relay || plan.SubscribeTo != m.plan.SubscribeTo {
		m.options.Logger.Info("reports", zap.Bool("relay", plan.Relay), zap.String("subscribed_to", plan.SubscribeTo), zap.Int("members", len(members)),
			zap.Int("peers", len(plan.Peers)), zap.Int("lost", len(m.lost)))
	}
	m.plan = plan
	close(m.planChanged)
	m.planChanged = make(chan struct{})
	for source, until := range m.expiring {
		if now.After(until) {
			m.dropSourceLocked(source)
		}
	}
	for _, l := range m.links {
		if m.wantsOf(l) != l.told {
			l.session.TriggerHeartbeat()
		}
	}
	m.updateKnownLocked()
}

// forgetLocked forgets processes that are no members any more. m.mu must be held.
func (m *Mesh) forgetLocked() {
	for name := range m.lost {
		if _, ok := m.members[name]; !ok {
			delete(m.lost, name)
		}
	}
	for name := range m.wantedSince {
		if _, ok := m.members[name]; !ok {
			delete(m.wantedSince, name)
		}
	}
}

// stateLocked returns the state of the connection to a process. m.mu must be held.
func (m *Mesh) stateLocked(name string) relay.State {
	switch {
	case m.linkLocked(name) != nil:
		return relay.Connected
	case m.lost[name]:
		return relay.Lost
	}
	return relay.Unknown
}

// currentListLocked reports whether a process is fit to read the list of upstreams for others. m.mu must be held.
func (m *Mesh) currentListLocked(name string) bool {
	if name == m.options.Name {
		return m.options.UpstreamsCurrent()
	}
	l := m.linkLocked(name)
	return l != nil && l.upstreamsCurrent
}

// wantLocked notes when connections were first wanted, and counts those as lost that did not open in time. m.mu must be held.
func (m *Mesh) wantLocked(plan *relay.Plan, now time.Time) {
	wanted := make(map[string]bool, len(plan.Peers)+len(plan.Dial))
	for name := range plan.Peers {
		wanted[name] = true
	}
	for name := range plan.Dial {
		wanted[name] = true
	}
	for name := range wanted {
		since, ok := m.wantedSince[name]
		if !ok {
			m.wantedSince[name] = now
		}
		if ok && now.Sub(since) > connectTimeout && m.linkLocked(name) == nil {
			m.lost[name] = true
		}
	}
	for name := range m.wantedSince {
		if !wanted[name] {
			delete(m.wantedSince, name)
		}
	}
}

// dialLocked opens and closes this process's connections. One that the plan would not open any more is kept, because the plan depends on whether it
// is open. Of two processes that dial each other, the one with the lesser name
// closes its connection. m.mu must be held.
func (m *Mesh) dialLocked(plan *relay.Plan) {
	for name := range m.peers {
		if !plan.Keep[name] || m.acceptedLocked(name) && m.options.Name < name {
			go m.peers[name].Close()
			delete(m.peers, name)
		}
	}
	for name, address := range plan.Dial {
		if m.peers[name] == nil && !m.acceptedLocked(name) {
			m.peers[name] = transport.NewPeer(address, transport.TCP{Dialer: &net.Dialer{}}, m.transport)
		}
	}
}

// acceptedLocked reports whether there is a session that the other process opened. m.mu must be held.
func (m *Mesh) acceptedLocked(name string) bool {
	for session, l := range m.links {
		if l.process == name && !session.Dialled() {
			return true
		}
	}
	return false
}
