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
	callField    = "call"
)

// CollectEvents implements admin.Backend. A request is one name at the entry and one call ID for each attempt at a sidecar;
// the entry's events name the calls.
func (e *Entry) CollectEvents(ctx context.Context, query *wirev1.EventQuery) []*wirev1.Event {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	replies := e.askAll(ctx, query)
	if query.GetRequest() != "" {
		for _, id := range callsOf(replies) {
			more := &wirev1.EventQuery{Request: id, Upstream: query.GetUpstream(), Limit: query.GetLimit()}
			replies = append(replies, e.askAll(ctx, more)...)
		}
	}
	return events.Merge(replies)
}

func callsOf(replies []*wirev1.EventReply) []string {
	var calls []string
	seen := make(map[string]bool)
	for _, reply := range replies {
		for _, event := range reply.GetEvents() {
			for _, f := range event.GetFields() {
				if f.GetName() == callField && !seen[f.GetValue()] {
					seen[f.GetValue()] = true
					calls = append(calls, f.GetValue())
				}
			}
		}
	}
	return calls
}

// askAll sends a query to this process and to all that are connected.
func (e *Entry) askAll(ctx context.Context, query *wirev1.EventQuery) []*wirev1.EventReply {
	replies := []*wirev1.EventReply{e.events.Query(query)}
	var mu sync.Mutex // guards replies
	var asking sync.WaitGroup
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_EventQuery{EventQuery: query}}
	for _, session := range e.sessions() {
		asking.Go(func() {
			reply := new(wirev1.EventReply)
			if session.Call(ctx, open, reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	asking.Wait()
	return replies
}

// sessions returns the live sessions that this process dialled.
func (e *Entry) sessions() []*transport.Session {
	var list []*transport.Session
	for _, m := range e.members.alive() {
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
