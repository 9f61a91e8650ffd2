package entry

import (
	"math"
	"sync/atomic"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	linkDrainPollInterval = time.Second
	// closedCalls is the value of link.calls from which a link is closed. It is so low that calls which find the link closed do not
	// make it positive.
	closedCalls = math.MinInt64 / 2
)

// link is the connection to the sidecar of one upstream.
type link struct {
	peer *transport.Peer
	// calls is the number of calls that use the link now; negative once the link is closed.
	calls atomic.Int64
	// onDemand links are closed when they are idle; lastUsed is in nanoseconds since processStart.
	onDemand bool
	lastUsed atomic.Int64
}

// processStart is the origin of lastUsed.
var processStart = time.Now()

func (l *link) touch() { l.lastUsed.Store(int64(time.Since(processStart))) }

func (l *link) idleTime() time.Duration {
	return time.Since(processStart) - time.Duration(l.lastUsed.Load())
}

// beginCall counts a call that uses the link, or refuses it if the link is closed. The caller must call end when the call is over.
func (l *link) beginCall() (end func(), err error) {
	if l.calls.Add(1) <= 0 {
		l.calls.Add(-1)
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "the connection to the upstream was closed")
	}
	return func() {
		l.touch()
		l.calls.Add(-1)
	}, nil
}

// closeAfterCalls closes the session when no call uses it any more, so that a configuration change interrupts no call, however long
// it takes.
func (l *link) closeAfterCalls() {
	for !l.calls.CompareAndSwap(0, closedCalls) {
		time.Sleep(linkDrainPollInterval)
	}
	l.peer.Close()
}
