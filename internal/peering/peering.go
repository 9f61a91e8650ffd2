// Package peering connects the entry processes. In heartbeats, they report their running work by upstream, the charges to accounts and their
// configuration version, so that processes that place requests on the same engines know each other's load within tens of
// milliseconds. In a large fleet, relays pass the reports on as sums; package relay decides which processes are relays.
package peering

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/relay"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

const (
	// heartbeatInterval is the time between two heartbeats without changes.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a connection counts as dead and is replaced.
	heartbeatTimeout = 1600 * time.Millisecond
	// chargesInterval is the least time between two heartbeats with the charges to accounts on one connection. Charges pass up to three
	// connections, and an account at seven times its rate runs ahead of them.
	chargesInterval = 60 * time.Millisecond
	// changeBatchDelay is the delay before a change is sent, in which further changes are batched with it. It grows by
	// linkBatchDelay with each connection, because each change costs a message on each.
	changeBatchDelay = 10 * time.Millisecond
	linkBatchDelay   = 500 * time.Microsecond
	// planInterval is how often the plan is made anew without an event.
	planInterval = 500 * time.Millisecond
	// connectTimeout is how long a connection may take to open before the process counts as lost.
	connectTimeout = 1500 * time.Millisecond
	// relayHandover is how long the reports of a lost relay are still used. Its subscribers need less time to go on to the next
	// relay; without their work, engines would look free meanwhile.
	relayHandover = 500 * time.Millisecond
	// unknownShare is the share of the processes whose work may be unknown without reserving memory at the engines before prompts are
	// read.
	unknownShare = 0.1
)

// Options configures a Mesh.
type Options struct {
	Name, Host, DataCentre, Address string
	// Cores is the processor time of this process's host, in cores.
	Cores      float64
	Board      *placement.Board
	Limiter    *quota.Limiter
	Quarantine *quarantine.List
	Limits     *upstreamrate.Limits
	// PeerLimits bound what other processes use of this one; nil for no limits.
	PeerLimits *transport.Limits
	// Backlog has the waiting demand that this process and the others report; nil if it is neither reported nor read. NotifyDemandChanged must
	// be called after this process's own has changed. OnDemand is called after that of others has changed, without a mutex held; nil for none.
	Backlog  *backlog.Backlog
	OnDemand func()
	// Version returns the version of the configuration in force; 0 for none.
	Version func() int64
	// Document returns the document of the configuration in force; nil for none.
	Document func() []byte
	// OnNewerVersion is called when another process has a newer configuration. It must not block.
	OnNewerVersion func(process string, version int64)
	// OnUpstreams is called with each list of upstreams that another process passes on.
	OnUpstreams func(process string, list *upstreamlist.List)
	// UpstreamsCurrent reports whether this process is fit to read the list of upstreams for others. It must not call this mesh.
	UpstreamsCurrent func() bool
	// StoreContact reports whether the store answers this process, and OnStoreRegained is called when it answers another one again. Both must
	// not block. They may call this mesh.
	StoreContact    func() bool
	OnStoreRegained func()
	Logger          *zap.Logger
}

// Mesh holds the sessions with other entry processes. Create it with New.
type Mesh struct {
	options   Options
	transport *transport.Options
	changes   chan struct{}
	// ownDemand is set after this process's own waiting demand has changed, until links are marked. othersDemand has an element after that of
	// other processes has changed, until OnDemand is called.
	ownDemand    atomic.Bool
	othersDemand chan struct{}

	mu      sync.Mutex // guards the fields below and those of the links
	members map[string]relay.Member
	plan    relay.Plan
	// peers has the connections that this process opens, and wantedSince when they were first wanted.
	peers       map[string]*transport.Peer
	wantedSince map[string]time.Time
	// lost has the processes whose connection ended or could not be opened, until one is open again.
	lost  map[string]bool
	links map[*transport.Session]*link
	// expiring has the lost relays whose reports are still used, until the given time.
	expiring map[string]time.Time
	// upstreams is the newest list of upstreams; nil for none. upstreamsChanged and planChanged are closed and replaced with each change.
	upstreams                     *publishedList
	upstreamsChanged, planChanged chan struct{}
	// subscriberCharges and otherCharges are the sums of the charges that subscribers and other processes reported, by account.
	subscriberCharges, otherCharges map[string]float64
}

// New returns a mesh without peers.
func New(options Options) *Mesh {
	m := &Mesh{options: options, changes: make(chan struct{}, 1), othersDemand: make(chan struct{}, 1), peers: make(map[string]*transport.Peer), wantedSince: make(map[string]time.Time),
		lost: make(map[string]bool), links: make(map[*transport.Session]*link), expiring: make(map[string]time.Time),
		subscriberCharges: make(map[string]float64), otherCharges: make(map[string]float64),
		upstreamsChanged: make(chan struct{}), planChanged: make(chan struct{})}
	m.transport = &transport.Options{
		Hello: transport.NewHello(wirev1.Role_ROLE_ENTRY,
			&configv1.ProcessSettings{Name: options.Name, Host: options.Host, DataCentre: options.DataCentre}, options.Address),
		HeartbeatInterval: heartbeatInterval, HeartbeatTimeout: heartbeatTimeout,
		HeartbeatTo: m.buildHeartbeat, OnHeartbeat: m.onHeartbeat, OnOpen: m.onOpen, OnClose: m.onClose, Handler: transport.HandlerFunc(m.serveStream), Logger: options.Logger,
		Limits: options.PeerLimits,
	}
	go m.sendChanges()
	go m.followUpstreams()
	if options.Backlog != nil {
		go m.followDemand()
	}
	return m
}

// Serve accepts connections of other processes on an open listener.
func (m *Mesh) Serve(listener net.Listener) error { return transport.Serve(listener, m.transport) }

// SetMembers sets all processes by name.
func (m *Mesh) SetMembers(members map[string]relay.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = make(map[string]relay.Member, len(members))
	for name, member := range members {
		member.Name = name
		m.members[name] = member
	}
	for name, peer := range m.peers {
		if members[name].Address != peer.Address() {
			m.closePeerLocked(name)
		}
	}
	m.replanLocked()
}

// updateKnownLocked tells the board whether the work of too many processes is unknown. m.mu must be held.
func (m *Mesh) updateKnownLocked() {
	known := m.knownLocked(nil)
	m.options.Board.SetPeersIncomplete(known < len(m.members)-int(unknownShare*float64(len(m.members))))
}

// Connected returns the number of processes that ConnectedNames returns.
func (m *Mesh) Connected() int { return len(m.ConnectedNames()) }

// ConnectedNames returns the names of the connected processes that may issue permits: for a relay the other relays, otherwise the relay that
// passes on requests.
func (m *Mesh) ConnectedNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, l := range m.currentLocked() {
		if l.coverage() != wirev1.Coverage_COVERAGE_NONE && l.theirs != wirev1.Link_LINK_SUBSCRIBER {
			names = append(names, l.process)
		}
	}
	return names
}

// Issues reports whether this process may issue permits.
func (m *Mesh) Issues() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.plan.Relay || m.plan.SubscribeTo == ""
}

// KnownProcesses returns the number of processes whose reports arrive, this one included.
func (m *Mesh) KnownProcesses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownLocked(nil)
}

// Status describes the place of this process in the fleet.
type Status struct {
	// Relay is set if this process passes on the reports of others, and SubscribedTo is the relay that does so for it; empty for none.
	Relay        bool
	SubscribedTo string
	// Members is the number of processes in the store, Known of those whose reports arrive, this one included, and Connections of those
	// that are connected directly.
	Members, Known, Connections int
}

// Status returns the place of this process in the fleet.
func (m *Mesh) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Relay: m.plan.Relay, SubscribedTo: m.plan.SubscribeTo, Members: len(m.members), Known: m.knownLocked(nil), Connections: len(m.currentLocked())}
}

// NotifyWorkChanged schedules heartbeats to the other processes after the running work of this process has changed.
func (m *Mesh) NotifyWorkChanged() {
	select {
	case m.changes <- struct{}{}:
	default:
	}
}

// NotifyStatusChanged tells the other processes that this one has a newer configuration, or lost or regained the store.
func (m *Mesh) NotifyStatusChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for session := range m.links {
		session.TriggerHeartbeat()
	}
}

// sendChanges sends a heartbeat with each change, and makes the plan anew every planInterval.
func (m *Mesh) sendChanges() {
	planTicker := time.NewTicker(planInterval)
	for {
		select {
		case <-m.changes:
			m.mu.Lock()
			delay := changeBatchDelay + time.Duration(len(m.links))*linkBatchDelay
			m.mu.Unlock()
			time.Sleep(delay)
			m.mu.Lock()
			m.flushLocked()
			m.mu.Unlock()
		case <-planTicker.C:
			m.mu.Lock()
			m.replanLocked()
			m.mu.Unlock()
		}
	}
}

// flushLocked triggers heartbeats on the links that have something to report. m.mu must be held.
func (m *Mesh) flushLocked() {
	m.markLocked(m.options.Board.TakeOwnChanges(), nil)
	if m.ownDemand.Swap(false) {
		m.markDemandLocked(nil)
	}
	for _, l := range m.links {
		if l.dirty() {
			l.session.TriggerHeartbeat()
		}
	}
}

// markLocked notes that the work at some upstreams changed by a report of a link; nil for this process's own work. m.mu must be held.
func (m *Mesh) markLocked(upstreams []string, from *link) {
	if len(upstreams) == 0 {
		return
	}
	for _, l := range m.links {
		if l != from && m.reports(l, from) {
			for _, upstream := range upstreams {
				l.pending[upstream] = true
			}
		}
	}
}

// reports says whether heartbeats on a link cover what arrives on another one; nil is this process itself.
func (m *Mesh) reports(l, from *link) bool {
	switch l.coverage() {
	case wirev1.Coverage_COVERAGE_ALL:
		return from == nil || from.process != l.process
	case wirev1.Coverage_COVERAGE_GROUP:
		return from == nil || from.theirs == wirev1.Link_LINK_SUBSCRIBER
	}
	return false
}

// serveStream handles a stream that another process opened.
func (m *Mesh) serveStream(ctx context.Context, session *transport.Session, open *wirev1.StreamOpen, stream *transport.Stream) {
	switch kind := open.GetKind().(type) {
	case *wirev1.StreamOpen_PromptReport:
		m.applyPromptReport(session, kind.PromptReport)
	case *wirev1.StreamOpen_Permit:
		m.servePermit(ctx, session, kind.Permit, stream)
	case *wirev1.StreamOpen_ConfigPull:
		m.serveConfig(session, stream)
	case *wirev1.StreamOpen_UpstreamFeed:
		m.serveUpstreams(ctx, stream)
	}
}

func (m *Mesh) onOpen(session *transport.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := session.Remote().GetProcess()
	m.links[session] = &link{session: session, process: name, openedAt: time.Now(), pending: make(map[string]bool), charges: make(map[string]float64)}
	delete(m.lost, name)
	m.options.Logger.Info("peer connected", zap.String("peer", name))
	m.replanLocked()
}

func (m *Mesh) onClose(session *transport.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[session]
	delete(m.links, session)
	m.options.Logger.Info("peer lost", zap.String("peer", l.process))
	if other := m.linkLocked(l.process); other != nil {
		other.askResend = true // what it reported was ignored while the other session was the newer one
		other.session.TriggerHeartbeat()
		return
	}
	m.lost[l.process] = true
	m.options.Limiter.SetOthers(l.process, nil)
	if l.theirs != wirev1.Link_LINK_SUBSCRIBER && l.processes > 1 {
		m.expiring[l.process] = time.Now().Add(relayHandover)
	} else {
		// The load of the process no longer counts: if it died, its requests ended with it, and if it is only cut off, the
		// engines themselves refuse its requests.
		m.dropSourceLocked(l.process)
	}
	m.replanLocked()
}

// dropSourceLocked removes the work and the waiting demand that a process reported. m.mu must be held.
func (m *Mesh) dropSourceLocked(process string) {
	delete(m.expiring, process)
	from := &link{process: process, theirs: wirev1.Link_LINK_SUBSCRIBER}
	m.markLocked(m.options.Board.SetOthers(process, nil), from)
	if m.options.Backlog != nil && m.options.Backlog.Drop(process) {
		m.othersDemandChangedLocked(from)
	}
	m.NotifyWorkChanged()
}
