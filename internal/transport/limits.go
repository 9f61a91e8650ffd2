package transport

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/limitlog"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

const (
	// StreamMemory is what a stream uses in bytes: a goroutine, buffers and its state in yamux. StreamMemoryFraction is the part of a host's memory
	// that streams use by default.
	StreamMemory         = 16 << 10
	StreamMemoryFraction = 0.1

	// firstMessageTimeout is the time until the first message of a stream is complete.
	firstMessageTimeout = 10 * time.Second
)

// Limits bound what other processes use of this process, over all sessions. A nil *Limits bounds nothing. They keep a faulty or foreign process from
// using up the memory; they do not replace TLS, because a process that may join is trusted otherwise.
type Limits struct {
	maxStreams int
	messages   *membudget.Budget
	unread     *unreadBytes
	ended      *prometheus.CounterVec
	logger     *zap.Logger
	log        limitlog.Log[string]

	mu      sync.Mutex // guards the fields below
	open    int
	streams map[*Session]int // the number of streams that the other process has open
}

// NewLimits returns limits for the number of streams that other processes have open, and for the memory in bytes of messages that are being received. Half
// of the memory is for those that are being read, and half for bytes that are not read yet.
func NewLimits(maxStreams int, messageMemory int64) *Limits {
	l := &Limits{
		maxStreams: max(1, maxStreams), messages: membudget.New(messageMemory / 2), unread: newUnreadBytes(messageMemory / 2), streams: make(map[*Session]int),
	}
	l.unread.report = l.report
	return l
}

// The causes for which limits end a stream or a session, as in the label of the metric.
const (
	causeStreams       = "streams"
	causeUnreadBytes   = "unread_bytes"
	causeMessageMemory = "message_memory"
	causePing          = "ping"
)

// Report makes the limits count and log what they end. It must be called before they are used.
func (l *Limits) Report(registerer prometheus.Registerer, logger *zap.Logger) {
	if l == nil {
		return
	}
	l.logger = logger
	l.ended = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "fulmardoor_peer_limits_total", Help: "Streams and sessions of other processes that a limit ended, by cause.",
	}, []string{"cause"})
	for _, cause := range []string{causeStreams, causeUnreadBytes, causeMessageMemory, causePing} {
		l.ended.WithLabelValues(cause)
	}
	registerer.MustRegister(l.ended)
}

// report counts an end, and logs it unless the cause was logged in the last second.
func (l *Limits) report(cause string) {
	if l == nil || l.ended == nil {
		return
	}
	l.ended.WithLabelValues(cause).Inc()
	if count, due := l.log.Due(cause, time.Now()); due {
		l.logger.Warn("peer limited", zap.String("cause", cause), zap.Int("count", count))
	}
}

// messageMemory returns the budget for messages; nil for no limit.
func (l *Limits) messageMemory() *membudget.Budget {
	if l == nil {
		return nil
	}
	return l.messages
}

// openStream counts a stream that the other process opened on a session; closeStream must follow. If there are too many streams, it returns the
// session that has most of them, which must be closed: yamux keeps a stream that is only refused until the other process closes it too.
func (l *Limits) openStream(s *Session) (excess *Session) {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.streams[s]++
	if l.open <= l.maxStreams {
		return nil
	}
	excess = s
	for other, count := range l.streams {
		if count > l.streams[excess] {
			excess = other
		}
	}
	return excess
}

// closeStream ends what openStream began.
func (l *Limits) closeStream(s *Session) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if l.streams[s]--; l.streams[s] == 0 {
		delete(l.streams, s)
	}
}
