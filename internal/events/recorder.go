// Package events records the events of a process in a bounded ring buffer and merges the events of many processes into one
// timeline in causal order.
package events

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Recorder holds the newest events of one process and its Lamport clock. It is safe for concurrent use.
type Recorder struct {
	process    string
	host       string
	dataCentre string

	mu             sync.Mutex
	lamport        uint64
	sequence       uint64
	configRevision uint64
	// ring holds the event with sequence number n at index (n-1) modulo its length.
	ring []*wirev1.Event
}

// New returns a recorder that keeps the newest capacity events, at least one.
func New(process, host, dataCentre string, capacity int) *Recorder {
	return &Recorder{
		process:    process,
		host:       host,
		dataCentre: dataCentre,
		ring:       make([]*wirev1.Event, max(1, capacity)),
	}
}

// Field returns a field of an event with the formatted value.
func Field(name string, value any) *wirev1.Header {
	return &wirev1.Header{Name: name, Value: fmt.Sprint(value)}
}

// Record adds an event. request and upstream may be empty. In all strings, text that looks like a caller's key is replaced
// by Redacted, and long text is truncated to MaxTextBytes.
func (r *Recorder) Record(kind string, request, upstream string, fields ...*wirev1.Header) {
	event := &wirev1.Event{
		Process:    r.process,
		Host:       r.host,
		DataCentre: r.dataCentre,
		UnixNanos:  time.Now().UnixNano(),
		Kind:       sanitize(kind),
		Request:    sanitize(request),
		Upstream:   sanitize(upstream),
		Fields:     redactFields(fields),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	event.Lamport = r.lamport
	event.ConfigRevision = r.configRevision
	event.Sequence = r.sequence + 1
	r.ring[r.sequence%uint64(len(r.ring))] = event
	r.sequence++
}

// SetConfigRevision sets the configuration revision of later events. A revision lower than the current one is ignored.
func (r *Recorder) SetConfigRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configRevision = max(r.configRevision, revision)
}

// Observe advances the Lamport clock to that of a received message, so that later events are ordered after all events that
// the sender recorded before it sent the message.
func (r *Recorder) Observe(lamport uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport = max(r.lamport, lamport)
}

// Lamport returns the Lamport clock, which is sent with each message.
func (r *Recorder) Lamport() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lamport
}

// Lost returns the number of events that were overwritten.
func (r *Recorder) Lost() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostLocked()
}

func (r *Recorder) lostLocked() uint64 {
	return r.sequence - min(r.sequence, uint64(len(r.ring)))
}

// Query returns the events that match all fields that are set in query, oldest first. If there are more than the limit, it
// returns the newest. Lost in the reply counts all overwritten events, because it is unknown which of them matched.
func (r *Recorder) Query(query *wirev1.EventQuery) *wirev1.EventReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &wirev1.EventReply{Lost: r.lostLocked()}
	for n := reply.Lost; n < r.sequence; n++ {
		event := r.ring[n%uint64(len(r.ring))]
		if matches(event, query) {
			reply.Events = append(reply.Events, proto.CloneOf(event))
		}
	}
	if excess := len(reply.Events) - int(query.GetLimit()); query.GetLimit() > 0 && excess > 0 {
		reply.Events = reply.Events[excess:]
	}
	return reply
}

func matches(event *wirev1.Event, query *wirev1.EventQuery) bool {
	if request := query.GetRequest(); request != "" && request != event.GetRequest() {
		return false
	}
	if upstream := query.GetUpstream(); upstream != "" && upstream != event.GetUpstream() {
		return false
	}
	revision := query.GetConfigRevision()
	return revision == 0 || revision == event.GetConfigRevision()
}
