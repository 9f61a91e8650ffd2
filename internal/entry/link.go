package entry

import (
	"sync/atomic"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	retireLimit = 10 * time.Minute
	retirePoll  = time.Second
)

// link is the way to the sidecar of one upstream.
type link struct {
	peer *transport.Peer
	// calls counts the calls that use the link.
	calls atomic.Int64
	// onDemand links are closed when they are idle; lastUsed is in nanoseconds since the process began to count.
	onDemand bool
	lastUsed atomic.Int64
}

// processStart is the origin of lastUsed.
var processStart = time.Now()

func (l *link) use() { l.lastUsed.Store(int64(time.Since(processStart))) }

func (l *link) idle() time.Duration {
	return time.Since(processStart) - time.Duration(l.lastUsed.Load())
}

// begin counts a call in; the caller calls the result at its end.
func (l *link) begin() (end func()) {
	l.calls.Add(1)
	return func() {
		l.use()
		l.calls.Add(-1)
	}
}

// retire closes the session when no call uses it any more, so that a change of the configuration cuts no call.
func (l *link) retire() {
	for begin := time.Now(); l.calls.Load() > 0 && time.Since(begin) < retireLimit; {
		time.Sleep(retirePoll)
	}
	l.peer.Close()
}
