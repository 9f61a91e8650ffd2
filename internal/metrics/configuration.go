package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// ConfigurationSource gives the collectors access to the state of the configuration.
type ConfigurationSource struct {
	Revision func() uint64
	// Age is the time since the last confirmation that the configuration is the newest; known is false if there was none.
	Age func() (age time.Duration, known bool)
	// State returns the current state, one of States.
	State  func() string
	States []string
}

// WatchConfiguration registers the gauges of the configuration.
func WatchConfiguration(registry *prometheus.Registry, source ConfigurationSource) {
	registry.MustRegister(
		gaugeFunc("configuration_revision", "Store revision of the configuration in force here.",
			func() float64 { return float64(source.Revision()) }),
		gaugeFunc("configuration_age_seconds",
			"Time since the last confirmation that the configuration is the newest; -1 if there was none.",
			func() float64 {
				age, known := source.Age()
				if !known {
					return -1
				}
				return age.Seconds()
			}),
		collectorFunc{
			desc:      description("configuration_state", "1 for the present state of the configuration, 0 for the others.", "state"),
			valueType: prometheus.GaugeValue,
			collect: func(emit func(float64, ...string)) {
				current := source.State()
				for _, state := range source.States {
					emit(boolToFloat(state == current), state)
				}
			},
		})
}

// PropagationDelay measures the propagation delay of the configuration: the time from a revision coming into force in
// this process until another process reports it. Reports arrive in heartbeats, so the delay includes up to one heartbeat
// interval.
type PropagationDelay struct {
	delay prometheus.Histogram

	mu        sync.Mutex // guards the fields below
	revision  uint64
	appliedAt time.Time
	// reported holds the last reported revision of each connected process.
	reported map[string]uint64
}

// NewPropagationDelay returns a PropagationDelay and registers its histogram.
func NewPropagationDelay(registry *prometheus.Registry) *PropagationDelay {
	p := &PropagationDelay{
		delay: histogram("configuration_spread_seconds",
			"Time from a revision in force here to the heartbeat of another process that reports it.", propagationDelayBuckets),
		reported: make(map[string]uint64),
	}
	registry.MustRegister(p.delay)
	return p
}

// Applied records that a revision came into force in this process.
func (p *PropagationDelay) Applied(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision > p.revision {
		p.revision, p.appliedAt = revision, time.Now()
	}
}

// Reported records the revision that another process reports. The first report of a process is not counted, because the
// process may have had the revision for any time before it connected.
func (p *PropagationDelay) Reported(process string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous, known := p.reported[process]
	p.reported[process] = revision
	if known && previous < p.revision && revision >= p.revision {
		p.delay.Observe(time.Since(p.appliedAt).Seconds())
	}
}

// Forget removes a process that is no longer connected.
func (p *PropagationDelay) Forget(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reported, process)
}

// WatchTraffic registers the counters of control messages.
func WatchTraffic(registry *prometheus.Registry, traffic *transport.Traffic) {
	registry.MustRegister(
		collectorFunc{
			desc: description("control_sent_bytes_total",
				"Bytes of control messages sent to other processes, without the frames of lower layers, by kind.", "kind"),
			valueType: prometheus.CounterValue,
			collect: func(emit func(float64, ...string)) {
				traffic.Each(func(kind string, sent, _ uint64) { emit(float64(sent), kind) })
			},
		},
		collectorFunc{
			desc: description("control_received_bytes_total",
				"Bytes of control messages received from other processes, without the frames of lower layers, by kind.", "kind"),
			valueType: prometheus.CounterValue,
			collect: func(emit func(float64, ...string)) {
				traffic.Each(func(kind string, _, received uint64) { emit(float64(received), kind) })
			},
		})
}
