package transport

import (
	"math/bits"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// trafficKind is a kind of control message.
type trafficKind int

const (
	trafficHeartbeat trafficKind = iota
	trafficPromise
	trafficCharge
	trafficConfiguration
	trafficKinds
)

var trafficNames = [trafficKinds]string{"heartbeat", "promise", "charge", "configuration"}

// Traffic counts the bytes of control messages. Messages of requests are not counted. A nil *Traffic counts nothing.
type Traffic struct{ kinds [trafficKinds]trafficCount }

type trafficCount struct{ sent, received atomic.Uint64 }

// Each calls f with the sums of each kind.
func (t *Traffic) Each(f func(kind string, sent, received uint64)) {
	for i := range t.kinds {
		f(trafficNames[i], t.kinds[i].sent.Load(), t.kinds[i].received.Load())
	}
}

// kind returns the count for a kind; nil if t is nil.
func (t *Traffic) kind(k trafficKind) *trafficCount {
	if t == nil {
		return nil
	}
	return &t.kinds[k]
}

// stream returns the count for the messages of a stream; nil for streams that are not counted.
func (t *Traffic) stream(open *wirev1.StreamOpen) *trafficCount {
	switch open.GetKind().(type) {
	case *wirev1.StreamOpen_Promise, *wirev1.StreamOpen_Handoff:
		return t.kind(trafficPromise)
	case *wirev1.StreamOpen_Charge, *wirev1.StreamOpen_Settle:
		return t.kind(trafficCharge)
	case *wirev1.StreamOpen_ConfigPush, *wirev1.StreamOpen_ConfigPull:
		return t.kind(trafficConfiguration)
	default:
		return nil
	}
}

func (c *trafficCount) addSent(bytes int) {
	if c != nil {
		c.sent.Add(uint64(bytes))
	}
}

func (c *trafficCount) addReceived(m proto.Message) {
	if c == nil {
		return
	}
	size := proto.Size(m)
	c.received.Add(uint64(size + varintBytes(uint64(size))))
}

// varintBytes returns the length of a number as a protobuf varint.
func varintBytes(n uint64) int { return (bits.Len64(n|1) + 6) / 7 }
