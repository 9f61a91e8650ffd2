package entry

import (
	"context"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	eventTimeout = 2 * time.Second
	callIDField  = "call"
)

// CollectEvents implements admin.Backend. A request has one name at the entry, and a call ID for each attempt at a sidecar,
// so the events of the sidecars are found by the call IDs in the events of the entry.
func (e *Entry) CollectEvents(ctx context.Context, query *wirev1.EventQuery) []*wirev1.Event {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	replies := e.queryAll(ctx, query)
	if query.GetRequest() != "" {
		for _, id := range callIDs(replies) {
			more := &wirev1.EventQuery{Request: id, Upstream: query.GetUpstream(), Limit: query.GetLimit()}
			replies = append(replies, e.queryAll(ctx, more)...)
		}
	}
	return events.Merge(replies)
}

// callIDs returns the distinct call IDs in events.
func callIDs(replies []*wirev1.EventReply) []string {
	var calls []string
	seen := make(map[string]bool)
	for _, reply := range replies {
		for _, event := range reply.GetEvents() {
			for _, f := range event.GetFields() {
				if f.GetName() == callIDField && !seen[f.GetValue()] {
					seen[f.GetValue()] = true
					calls = append(calls, f.GetValue())
				}
			}
		}
	}
	return calls
}

// queryAll queries this process and all processes that it is connected to. Those that do not reply are left out.
func (e *Entry) queryAll(ctx context.Context, query *wirev1.EventQuery) []*wirev1.EventReply {
	replies := []*wirev1.EventReply{e.events.Query(query)}
	var mu sync.Mutex // guards replies
	var pending sync.WaitGroup
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_EventQuery{EventQuery: query}}
	for _, session := range e.sessions() {
		pending.Go(func() {
			reply := new(wirev1.EventReply)
			if session.Call(ctx, open, reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	pending.Wait()
	return replies
}

// sessions returns the live sessions to other entries and to sidecars that this process opened.
func (e *Entry) sessions() []*transport.Session {
	var list []*transport.Session
	for _, m := range e.members.connected() {
		if session := m.peer.Session(); session != nil {
			list = append(list, session)
		}
	}
	for _, u := range e.upstreams.all() {
		if session := u.session(); session != nil {
			list = append(list, session)
		}
	}
	return list
}
