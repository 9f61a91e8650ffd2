package transport

import (
	"math/bits"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// trafficKind is a category of control messages.
type trafficKind int

const (
	trafficHeartbeat trafficKind = iota
	trafficPromise
	trafficCharge
	trafficConfiguration
	trafficKindCount
)

var trafficNames = [trafficKindCount]string{"heartbeat", "promise", "charge", "configuration"}

// Traffic counts the bytes of control messages by kind. Messages of requests are not counted. A nil *Traffic counts
// nothing.
type Traffic struct {
	counters [trafficKindCount]trafficCounter
}

type trafficCounter struct{ sent, received atomic.Uint64 }

// Each calls f with the bytes sent and received of each kind.
func (t *Traffic) Each(f func(kind string, sent, received uint64)) {
	for i := range t.counters {
		f(trafficNames[i], t.counters[i].sent.Load(), t.counters[i].received.Load())
	}
}

// counter returns the counter of a kind; nil if t is nil.
func (t *Traffic) counter(k trafficKind) *trafficCounter {
	if t == nil {
		return nil
	}
	return &t.counters[k]
}

// streamCounter returns the counter for the messages of a stream; nil if they are not counted.
func (t *Traffic) streamCounter(open *wirev1.StreamOpen) *trafficCounter {
	switch open.GetKind().(type) {
	case *wirev1.StreamOpen_Promise, *wirev1.StreamOpen_Handoff:
		return t.counter(trafficPromise)
	case *wirev1.StreamOpen_Charge, *wirev1.StreamOpen_Settle:
		return t.counter(trafficCharge)
	case *wirev1.StreamOpen_ConfigPush, *wirev1.StreamOpen_ConfigPull:
		return t.counter(trafficConfiguration)
	default:
		return nil
	}
}

func (c *trafficCounter) addSent(bytes int) {
	if c != nil {
		c.sent.Add(uint64(bytes))
	}
}

func (c *trafficCounter) addReceived(m proto.Message) {
	if c == nil {
		return
	}
	size := proto.Size(m)
	c.received.Add(uint64(size + varintBytes(uint64(size))))
}

// varintBytes returns the length of n as a protobuf varint.
func varintBytes(n uint64) int { return (bits.Len64(n|1) + 6) / 7 }
