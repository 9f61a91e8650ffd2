package sidecar

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/confsync"
	"github.com/fulmardoor/fulmardoor/internal/confsync/wirepeer"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	probeTimeout     = 2 * time.Second
	probeInterval    = time.Second
	idlePollInterval = 50 * time.Millisecond
	// stopQuietPeriod is the time without requests after which a stopping process counts as idle.
	stopQuietPeriod = 500 * time.Millisecond
	// cancelledDeliveryLimit is the longest wait for the delivery of the outcomes of calls that the end of a stop has cancelled.
	cancelledDeliveryLimit = time.Second
)

func (s *Sidecar) load() *wirev1.Load {
	upstream := s.settings.GetUpstream()
	load := &wirev1.Load{Upstream: upstream.GetName(), Pool: upstream.GetPool(), EngineRole: s.role}
	s.places.Load(load)
	s.upstream.FillLoad(load)
	return load
}

func (s *Sidecar) heartbeat() *wirev1.Heartbeat {
	beat := &wirev1.Heartbeat{Nonce: s.issuer.Issue(), Load: s.load()}
	s.conf.FillHeartbeat(beat)
	s.mu.Lock()
	beat.Leaving = s.leaveReasons.any()
	s.mu.Unlock()
	return beat
}

func (s *Sidecar) onHeartbeat(session *transport.Session, beat *wirev1.Heartbeat) {
	s.conf.OnHeartbeat(session.Remote().GetProcess(), beat)
}

func (s *Sidecar) addSession(session *transport.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

func (s *Sidecar) removeSession(session *transport.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Sidecar) sessionList() []*transport.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*transport.Session, 0, len(s.sessions))
	for session := range s.sessions {
		list = append(list, session)
	}
	return list
}

// broadcastHeartbeat sends a heartbeat with the new state to all entries without waiting for the heartbeat interval.
func (s *Sidecar) broadcastHeartbeat() {
	for _, session := range s.sessionList() {
		session.TriggerHeartbeat()
	}
}

// Peers implements confsync's source of peers: the connected entries.
func (s *Sidecar) Peers() []confsync.Peer {
	var peers []confsync.Peer
	for _, session := range s.sessionList() {
		peers = append(peers, wirepeer.New(session))
	}
	return peers
}
