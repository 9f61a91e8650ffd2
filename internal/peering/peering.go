// Package peering keeps one session with each other entry process and exchanges over it what work each has under way,
// what it charged to accounts and which configuration it has, so that several processes that place on the same engines know
// each other's part within milliseconds.
package peering

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	// beatInterval is the time between two messages without news.
	beatInterval = 500 * time.Millisecond
	// silenceLimit is the time without a message after which a connection counts as dead and is replaced.
	silenceLimit = 1600 * time.Millisecond
	// chargesInterval is the time between two messages with the charges of accounts.
	chargesInterval = 500 * time.Millisecond
	// newsDelay gathers changes before they are sent.
	newsDelay = 10 * time.Millisecond
)

// Options configures a Mesh.
type Options struct {
	Name, Host, DataCentre, Address string
	Board                           *placement.Board
	Limiter                         *quota.Limiter
	// Version returns the version of the configuration in force; 0 for none.
	Version func() int64
	// Newer is called when another process has a newer one. It must not block.
	Newer  func(process string, version int64)
	Logger *zap.Logger
}

// Mesh has the sessions with the other processes. Create it with New.
type Mesh struct {
	options   Options
	transport *transport.Options
	news      chan struct{}

	mu       sync.Mutex // guards the fields below
	peers    map[string]*transport.Peer
	sessions map[*transport.Session]bool
	members  int
	// withCharges is set while heartbeats carry the charges of accounts.
	withCharges bool
}

// New returns a mesh without peers.
func New(options Options) *Mesh {
	m := &Mesh{options: options, news: make(chan struct{}, 1), peers: make(map[string]*transport.Peer), sessions: make(map[*transport.Session]bool)}
	m.transport = &transport.Options{
		Hello: transport.NewHello(wirev1.Role_ROLE_ENTRY,
			&configv1.ProcessSettings{Name: options.Name, Host: options.Host, DataCentre: options.DataCentre}, options.Address),
		HeartbeatInterval: beatInterval, SilenceLimit: silenceLimit, Heartbeat: m.heartbeat, OnHeartbeat: m.received,
		OnOpen: m.opened, OnClose: m.closed, Logger: options.Logger,
	}
	go m.sendNews()
	return m
}

// Listen accepts sessions of other processes until the listener fails.
func (m *Mesh) Listen() error {
	listener, err := net.Listen("tcp", m.options.Address)
	if err != nil {
		return errors.Wrap(err, "peers' listener")
	}
	return transport.Serve(listener, m.transport)
}

// SetMembers takes the addresses of all processes by name. Of each two processes, the one with the greater name connects.
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
	m.members = len(addresses)
	m.countLocked()
}

// countLocked tells the board whether every other process is connected.
func (m *Mesh) countLocked() { m.options.Board.SetPartial(len(m.sessions)+1 < m.members) }

// Connected returns the number of other processes that are connected.
func (m *Mesh) Connected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// Changed tells the other processes soon that the work under way changed.
func (m *Mesh) Changed() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

func (m *Mesh) sendNews() {
	charges := time.NewTicker(chargesInterval)
	for {
		withCharges := false
		select {
		case <-m.news:
			time.Sleep(newsDelay)
		case <-charges.C:
			withCharges = true
		}
		m.mu.Lock()
		m.withCharges = withCharges
		for session := range m.sessions {
			session.BeatNow()
		}
		m.mu.Unlock()
	}
}

func (m *Mesh) heartbeat() *wirev1.Heartbeat {
	beat := &wirev1.Heartbeat{ConfigRevision: uint64(m.options.Version())}
	m.mu.Lock()
	beat.HasAccountCharges = m.withCharges
	m.mu.Unlock()
	if beat.HasAccountCharges {
		for account, total := range m.options.Limiter.Spent() {
			beat.AccountCharges = append(beat.AccountCharges, &wirev1.AccountCharges{Account: account, Total: total})
		}
	}
	for id, share := range m.options.Board.Own() {
		beat.Work = append(beat.Work, &wirev1.UpstreamWork{
			Upstream: id, Running: uint32(share.Running), Reading: uint32(share.Reading),
			ReadTokens: uint64(share.ReadTokens), MemoryTokens: uint64(share.Memory),
		})
	}
	return beat
}

func (m *Mesh) received(session *transport.Session, beat *wirev1.Heartbeat) {
	if version := int64(beat.GetConfigRevision()); version > m.options.Version() {
		m.options.Newer(session.Remote().GetProcess(), version)
	}
	if beat.GetHasAccountCharges() {
		spent := make(map[string]float64, len(beat.GetAccountCharges()))
		for _, charges := range beat.GetAccountCharges() {
			spent[charges.GetAccount()] = charges.GetTotal()
		}
		m.options.Limiter.SetOthers(session.Remote().GetProcess(), spent)
	}
	shares := make(map[string]placement.Share, len(beat.GetWork()))
	for _, work := range beat.GetWork() {
		shares[work.GetUpstream()] = placement.Share{
			Running: int(work.GetRunning()), Reading: int(work.GetReading()),
			ReadTokens: int(work.GetReadTokens()), Memory: int(work.GetMemoryTokens()),
		}
	}
	m.options.Board.SetOthers(session.Remote().GetProcess(), shares)
}

func (m *Mesh) opened(session *transport.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[session] = true
	m.countLocked()
	m.options.Logger.Info("peer connected", zap.String("peer", session.Remote().GetProcess()))
}

func (m *Mesh) closed(session *transport.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, session)
	m.countLocked()
	m.options.Logger.Info("peer lost", zap.String("peer", session.Remote().GetProcess()))
	// The requests of a process that died end with it; one that is cut off is refused by the engines themselves.
	m.options.Board.SetOthers(session.Remote().GetProcess(), nil)
	m.options.Limiter.SetOthers(session.Remote().GetProcess(), nil)
}
