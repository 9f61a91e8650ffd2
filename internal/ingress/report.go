package ingress

import (
	"bytes"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/limitlog"
)

// Cause says which limit ended a connection or refused it.
type Cause string

// The causes, as in the label of the metric.
const (
	CauseConnections       Cause = "connections"
	CauseSourceConnections Cause = "source_connections"
	CauseRequests          Cause = "requests"
	// CauseReceiveMemory does not end the connection: it goes on with a small receive buffer.
	CauseReceiveMemory Cause = "receive_memory"
	CauseHeadMemory    Cause = "head_memory"
	CauseHeadSize      Cause = "head_size"
	CauseHeadLines     Cause = "head_lines"
	CauseHeadTimeout   Cause = "head_timeout"
	CauseBodyTimeout   Cause = "body_timeout"
	CauseWriteTimeout  Cause = "write_timeout"
	CauseServerError   Cause = "server_error"
)

var causes = []Cause{
	CauseConnections, CauseSourceConnections, CauseRequests, CauseReceiveMemory, CauseHeadMemory, CauseHeadSize, CauseHeadLines, CauseHeadTimeout, CauseBodyTimeout, CauseWriteTimeout,
	CauseServerError,
}

// Metrics are the collectors of all listeners of a process.
type Metrics struct {
	refused *prometheus.CounterVec
	open    *prometheus.GaugeVec
}

// NewMetrics registers the collectors.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fulmardoor_connections_refused_total", Help: "Connections and requests of clients that a limit closed or refused, by listener and cause.",
		}, []string{"listener", "cause"}),
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fulmardoor_connections_open", Help: "Open connections of clients, by listener.",
		}, []string{"listener"}),
	}
	registerer.MustRegister(m.refused, m.open)
	return m
}

// reporter counts and logs what the limits of one listener do. Its methods may be called concurrently.
type reporter struct {
	listener string
	logger   *zap.Logger
	open     prometheus.Gauge
	refused  map[Cause]prometheus.Counter

	log limitlog.Log[Cause]
}

func newReporter(listener string, metrics *Metrics, logger *zap.Logger) *reporter {
	r := &reporter{
		listener: listener, logger: logger, open: metrics.open.WithLabelValues(listener), refused: make(map[Cause]prometheus.Counter),
	}
	for _, cause := range causes {
		r.refused[cause] = metrics.refused.WithLabelValues(listener, string(cause))
	}
	return r
}

// report counts one connection that a limit closed or refused, and logs it unless the cause was logged in the last second.
func (r *reporter) report(cause Cause, address net.Addr) {
	r.refused[cause].Inc()
	if count, due := r.log.Due(cause, time.Now()); due {
		r.logger.Warn("connection refused", zap.String("listener", r.listener), zap.String("cause", string(cause)),
			zap.Stringer("address", address), zap.Int("count", count))
	}
}

// Write implements io.Writer for the log of a server, such as the panic of a handler. Each call is one message; like those of the limits, they are
// counted, and at most one a second is logged.
func (r *reporter) Write(message []byte) (int, error) {
	r.refused[CauseServerError].Inc()
	if count, due := r.log.Due(CauseServerError, time.Now()); due {
		r.logger.Warn("server error", zap.String("listener", r.listener), zap.ByteString("error", bytes.TrimSpace(message)), zap.Int("count", count))
	}
	return len(message), nil
}
