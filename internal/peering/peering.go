// Package peering keeps one session with each other entry process. In heartbeats on these sessions, the processes
// exchange their running work by upstream, the charges to accounts and their configuration version, so that processes
// that place requests on the same engines know each other's load within milliseconds.
package peering

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

const (
	// heartbeatInterval is the time between two heartbeats without changes.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a connection counts as dead and is replaced.
	heartbeatTimeout = 1600 * time.Millisecond
	// chargesInterval is the time between two heartbeats that carry the charges to accounts.
	chargesInterval = 500 * time.Millisecond
	// changeBatchDelay is the delay before a change is sent, in which further changes are batched with it.
	changeBatchDelay = 10 * time.Millisecond
)

// Options configures a Mesh.
type Options struct {
	Name, Host, DataCentre, Address string
	Board                           *placement.Board
	Limiter                         *quota.Limiter
	Quarantine                      *quarantine.List
	Limits                          *upstreamrate.Limits
	// Version returns the version of the configuration in force; 0 for none.
	Version func() int64
	// Document returns the document of the configuration in force; nil for none.
	Document func() []byte
	// OnNewerVersion is called when another process has a newer configuration. It must not block.
	OnNewerVersion func(process string, version int64)
	Logger         *zap.Logger
}

// Mesh holds the sessions with the other entry processes. Create it with New.
type Mesh struct {
	options   Options
	transport *transport.Options
	changes   chan struct{}

	mu          sync.Mutex // guards the fields below
	peers       map[string]*transport.Peer
	sessions    map[*transport.Session]bool
	memberCount int
	// includeCharges means that the heartbeats being sent carry the charges to accounts.
	includeCharges bool
}

// New returns a mesh without peers.
func New(options Options) *Mesh {
	m := &Mesh{options: options, changes: make(chan struct{}, 1), peers: make(map[string]*transport.Peer), sessions: make(map[*transport.Session]bool)}
	m.transport = &transport.Options{
		Hello: transport.NewHello(wirev1.Role_ROLE_ENTRY,
			&configv1.ProcessSettings{Name: options.Name, Host: options.Host, DataCentre: options.DataCentre}, options.Address),
		HeartbeatInterval: heartbeatInterval, HeartbeatTimeout: heartbeatTimeout,
		Heartbeat: m.buildHeartbeat, OnHeartbeat: m.onHeartbeat, OnOpen: m.onOpen, OnClose: m.onClose, Handler: transport.HandlerFunc(m.serveStream), Logger: options.Logger,
	}
	go m.sendHeartbeats()
	return m
}

// Listen accepts sessions of other processes until the listener fails.
func (m *Mesh) Listen() error {
	listener, err := net.Listen("tcp", m.options.Address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	return m.Serve(listener)
}

// Serve accepts connections of other processes on an open listener.
func (m *Mesh) Serve(listener net.Listener) error { return transport.Serve(listener, m.transport) }

// SetMembers sets the addresses of all processes by name. Of two processes, the one with the greater name connects to the
// other.
func (m *Mesh) SetMembers(addresses map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, peer := range m.peers {
		if addresses[name] != peer.Address() {
			delete(m.peers, name)
			go peer.Close()
		}
	}
	for name, address := range addresses {
		if name >= m.options.Name || m.peers[name] != nil {
			continue
		}
		m.peers[name] = transport.NewPeer(address, transport.TCP{Dialer: &net.Dialer{}}, m.transport)
	}
	m.memberCount = len(addresses)
	m.updatePeersIncompleteLocked()
}

// updatePeersIncompleteLocked marks the peers' work on the board as incomplete unless every other process is connected.
// m.mu must be held.
func (m *Mesh) updatePeersIncompleteLocked() {
	m.options.Board.SetPeersIncomplete(len(m.sessions)+1 < m.memberCount)
}

// Connected returns the number of other processes that are connected.
func (m *Mesh) Connected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// ConnectedNames returns the names of the other processes that are connected.
func (m *Mesh) ConnectedNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.sessions))
	for session := range m.sessions {
		if name := session.Remote().GetProcess(); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// NotifyWorkChanged schedules heartbeats to the other processes after the running work of this process has changed.
func (m *Mesh) NotifyWorkChanged() {
	select {
	case m.changes <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends a heartbeat on all sessions after each change, and one with charges every chargesInterval.
func (m *Mesh) sendHeartbeats() {
	chargesTicker := time.NewTicker(chargesInterval)
	for {
		includeCharges := false
		select {
		case <-m.changes:
			time.Sleep(changeBatchDelay)
		case <-chargesTicker.C:
			includeCharges = true
		}
		m.mu.Lock()
		m.includeCharges = includeCharges
		for session := range m.sessions {
			session.TriggerHeartbeat()
		}
		m.mu.Unlock()
	}
}

func (m *Mesh) buildHeartbeat() *wirev1.Heartbeat {
	heartbeat := &wirev1.Heartbeat{ConfigRevision: uint64(m.options.Version())}
	m.mu.Lock()
	heartbeat.HasAccountCharges = m.includeCharges
	m.mu.Unlock()
	if heartbeat.HasAccountCharges {
		for account, total := range m.options.Limiter.Spent() {
			heartbeat.AccountCharges = append(heartbeat.AccountCharges, &wirev1.AccountCharges{Account: account, Total: total})
		}
	}
	for id, share := range m.options.Board.Own() {
		heartbeat.Work = append(heartbeat.Work, &wirev1.UpstreamWork{
			Upstream: id, Running: uint32(share.Running), Reading: uint32(share.Prefills),
			ReadTokens: uint64(share.PrefillTokens), MemoryTokens: uint64(share.Memory),
		})
	}
	for _, limit := range m.options.Limits.Own(time.Now()) {
		heartbeat.UpstreamLimits = append(heartbeat.UpstreamLimits, limit.Message(time.Now()))
	}
	return heartbeat
}

func (m *Mesh) onHeartbeat(session *transport.Session, heartbeat *wirev1.Heartbeat) {
	if version := int64(heartbeat.GetConfigRevision()); version > m.options.Version() {
		m.options.OnNewerVersion(session.Remote().GetProcess(), version)
	}
	if heartbeat.GetHasAccountCharges() {
		if spent, ok := spentOf(heartbeat.GetAccountCharges()); ok {
			m.options.Limiter.SetOthers(session.Remote().GetProcess(), spent)
		}
	}
	m.applyLimits(session, heartbeat.GetUpstreamLimits())
	shares := make(map[string]placement.Share, len(heartbeat.GetWork()))
	for _, work := range heartbeat.GetWork() {
		shares[work.GetUpstream()] = placement.Share{
			Running: bounded.Count(work.GetRunning()), Prefills: bounded.Count(work.GetReading()),
			PrefillTokens: bounded.Count(work.GetReadTokens()), Memory: bounded.Count(work.GetMemoryTokens()),
		}
	}
	m.options.Board.SetOthers(session.Remote().GetProcess(), shares)
}

// spentOf returns the total charges by account; ok is false if one is not an amount. The totals are then those of the last heartbeat, because the limiter
// would take a missing total for zero.
func spentOf(charges []*wirev1.AccountCharges) (spent map[string]float64, ok bool) {
	spent = make(map[string]float64, len(charges))
	for _, charge := range charges {
		total := charge.GetTotal()
		if !(total >= 0) || total > bounded.MaxExact {
			return nil, false
		}
		spent[charge.GetAccount()] = total
	}
	return spent, true
}

// serveStream handles a stream that another process opened.
func (m *Mesh) serveStream(_ context.Context, session *transport.Session, open *wirev1.StreamOpen, stream *transport.Stream) {
	switch kind := open.GetKind().(type) {
	case *wirev1.StreamOpen_PromptReport:
		m.applyPromptReport(session, kind.PromptReport)
	case *wirev1.StreamOpen_Permit:
		m.servePermit(session, kind.Permit, stream)
	case *wirev1.StreamOpen_ConfigPull:
		m.serveConfig(session, stream)
	}
}

func (m *Mesh) onOpen(session *transport.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[session] = true
	m.updatePeersIncompleteLocked()
	m.options.Logger.Info("peer connected", zap.String("peer", session.Remote().GetProcess()))
	if known := m.options.Quarantine.Known(); len(known.Crashes) > 0 {
		go m.sendPromptReport(session, known)
	}
}

func (m *Mesh) onClose(session *transport.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, session)
	m.updatePeersIncompleteLocked()
	m.options.Logger.Info("peer lost", zap.String("peer", session.Remote().GetProcess()))
	// The load of the process no longer counts: if it died, its requests ended with it, and if it is only cut off, the
	// engines themselves refuse its requests.
	m.options.Board.SetOthers(session.Remote().GetProcess(), nil)
	m.options.Limiter.SetOthers(session.Remote().GetProcess(), nil)
}
