package peering

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
)

// publishedList is a list of upstreams for other processes. It is not changed.
type publishedList struct {
	*upstreamlist.List
	byID map[string]*fleet.Upstream
}

// PublishUpstreams passes a list of upstreams on to the processes that get it from this one.
func (m *Mesh) PublishUpstreams(list *upstreamlist.List) {
	published := &publishedList{list, make(map[string]*fleet.Upstream, len(list.Upstreams))}
	for _, upstream := range list.Upstreams {
		published.byID[upstream.ID] = upstream
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstreams = published
	close(m.upstreamsChanged)
	m.upstreamsChanged = make(chan struct{})
}

// ListsFrom returns the process that passes on the list of upstreams to this one, and whether this process is a relay. The name is empty if
// this process reads the list itself.
func (m *Mesh) ListsFrom() (process string, relay bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.plan.ListFrom, m.plan.Relay
}

// RelayHasStore reports whether this process subscribes to a relay that the store answers.
func (m *Mesh) RelayHasStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.linkLocked(m.plan.SubscribeTo)
	return l != nil && l.heard && l.storeContact
}

// serveUpstreams sends the list of upstreams to another process until that closes the stream.
func (m *Mesh) serveUpstreams(ctx context.Context, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = stream.Recv(new(wirev1.UpstreamFeed)) // returns when the other process closes the stream
	}()
	var sent *publishedList
	for {
		m.mu.Lock()
		list, changed := m.upstreams, m.upstreamsChanged
		m.mu.Unlock()
		if list != nil && list != sent {
			if stream.Send(list.message(sent, time.Now())) != nil {
				return
			}
			sent = list
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// message returns what the receiver of another list, nil for none, must know.
func (l *publishedList) message(last *publishedList, now time.Time) *wirev1.UpstreamList {
	message := &wirev1.UpstreamList{
		AgeMs: now.Sub(l.ReadAt).Milliseconds(), Revision: l.Revision, ContactSinceRevision: l.Since, ContactMs: l.ReadAt.Sub(l.SinceAt).Milliseconds(),
		Unusable: l.Unusable, Evacuated: l.Evacuated, Changes: last != nil,
	}
	if last == nil {
		last = &publishedList{}
	}
	for id, upstream := range l.byID {
		if before, ok := last.byID[id]; !ok || *before != *upstream {
			message.Upstreams = append(message.Upstreams, upstreamMessage(upstream))
		}
	}
	for id := range last.byID {
		if _, ok := l.byID[id]; !ok {
			message.Gone = append(message.Gone, id)
		}
	}
	return message
}

func upstreamMessage(u *fleet.Upstream) *wirev1.Upstream {
	return &wirev1.Upstream{
		Id: u.ID, Incarnation: u.Incarnation, Service: u.Service, Address: u.Address, DataCentre: u.DataCentre, Slots: uint32(u.Slots),
		Leaving: u.Leaving, Stage: wirev1.UpstreamStage(u.Stage),
	}
}

// upstreamFromMessage returns the upstream of a message; ok is false if it does not name one.
func upstreamFromMessage(message *wirev1.Upstream) (upstream *fleet.Upstream, ok bool) {
	if message.GetId() == "" || message.GetService() == "" || fleet.CheckAddress(message.GetAddress()) != nil {
		return nil, false
	}
	if stage := message.GetStage(); stage < wirev1.UpstreamStage_UPSTREAM_STAGE_NONE || stage > wirev1.UpstreamStage_UPSTREAM_STAGE_DECODE {
		return nil, false
	}
	return &fleet.Upstream{
		ID: message.GetId(), Incarnation: message.GetIncarnation(), Service: message.GetService(), Address: message.GetAddress(),
		DataCentre: message.GetDataCentre(), Slots: bounded.Count(message.GetSlots()), Leaving: message.GetLeaving(),
		Stage: fleet.Stage(message.GetStage()),
	}, true
}

// followUpstreams gets the list of upstreams from the process that the plan names, for as long as this process exists.
func (m *Mesh) followUpstreams() {
	for {
		m.mu.Lock()
		source, planned := m.plan.ListFrom, m.planChanged
		l := m.linkLocked(source)
		m.mu.Unlock()
		if source != "" && l != nil {
			m.receiveUpstreams(l, planned)
		}
		select {
		case <-planned:
		case <-time.After(planInterval):
		}
	}
}

// receiveUpstreams receives lists on a link until the plan changes or the link ends.
func (m *Mesh) receiveUpstreams(l *link, planned <-chan struct{}) {
	stream, err := l.session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_UpstreamFeed{UpstreamFeed: &wirev1.UpstreamFeed{}}})
	if err != nil {
		m.options.Logger.Info("upstreams not asked for", zap.String("peer", l.process), zap.String("error", err.Error()))
		return
	}
	defer func() { _ = stream.Close() }()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-planned:
			}
			m.mu.Lock()
			same := m.plan.ListFrom == l.process && m.linkLocked(l.process) == l
			planned = m.planChanged
			m.mu.Unlock()
			if !same {
				_ = stream.SetDeadline(time.Unix(1, 0)) // ends the call of Recv
				return
			}
		}
	}()
	known := make(map[string]*fleet.Upstream)
	for {
		message := new(wirev1.UpstreamList)
		if err := stream.Recv(message); err != nil {
			m.options.Logger.Info("no more upstreams", zap.String("peer", l.process), zap.String("error", err.Error()))
			return
		}
		m.options.OnUpstreams(l.process, listFromMessage(known, message, time.Now()))
	}
}

// listFromMessage applies a message that arrived at now to the upstreams that are known by id, and returns the list.
func listFromMessage(known map[string]*fleet.Upstream, message *wirev1.UpstreamList, now time.Time) *upstreamlist.List {
	if !message.GetChanges() {
		clear(known)
	}
	for _, id := range message.GetGone() {
		delete(known, id)
	}
	for _, each := range message.GetUpstreams() {
		if upstream, ok := upstreamFromMessage(each); ok {
			known[upstream.ID] = upstream
		}
	}
	readAt := now.Add(-bounded.Milliseconds(message.GetAgeMs()))
	return &upstreamlist.List{
		Contact: upstreamlist.Contact{
			Since: message.GetContactSinceRevision(), Revision: message.GetRevision(),
			SinceAt: readAt.Add(-bounded.Milliseconds(message.GetContactMs())), ReadAt: readAt,
		},
		Upstreams: slices.Collect(maps.Values(known)), Unusable: message.GetUnusable(), Evacuated: message.GetEvacuated(),
	}
}
