package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// ConfigurationSource is what the metrics read of the configuration's state.
type ConfigurationSource struct {
	Revision func() uint64
	// Age is the time since the last confirmation; known is false if there was none.
	Age func() (age time.Duration, known bool)
	// State is one of States.
	State  func() string
	States []string
}

// WatchConfiguration adds the gauges of the configuration.
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
			desc: description("configuration_state", "1 for the present state of the configuration, 0 for the others.", "state"),
			kind: prometheus.GaugeValue,
			collect: func(send func(float64, ...string)) {
				present := source.State()
				for _, state := range source.States {
					send(boolean(state == present), state)
				}
			},
		})
}

// Spread measures how long other processes take to report a revision after it came into force here. It sees what the
// heartbeats say, so it is late by up to one heartbeat interval.
type Spread struct {
	delay prometheus.Histogram

	mu        sync.Mutex // guards the fields below
	revision  uint64
	appliedAt time.Time
	reported  map[string]uint64
}

// NewSpread returns a registered Spread.
func NewSpread(registry *prometheus.Registry) *Spread {
	s := &Spread{
		delay: histogram("configuration_spread_seconds",
			"Time from a revision in force here to the heartbeat of another process that reports it.", spreadBuckets),
		reported: make(map[string]uint64),
	}
	registry.MustRegister(s.delay)
	return s
}

// Applied notes a revision that came into force here.
func (s *Spread) Applied(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.revision {
		s.revision, s.appliedAt = revision, time.Now()
	}
}

// Reported notes the revision of a process. The first report of a process says nothing about the delay.
func (s *Spread) Reported(process string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.reported[process]
	s.reported[process] = revision
	if known && before < s.revision && revision >= s.revision {
		s.delay.Observe(time.Since(s.appliedAt).Seconds())
	}
}

// Forget drops a process that is no longer connected.
func (s *Spread) Forget(process string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reported, process)
}

// WatchTraffic adds the counters of control messages.
func WatchTraffic(registry *prometheus.Registry, traffic *transport.Traffic) {
	registry.MustRegister(
		collectorFunc{
			desc: description("control_sent_bytes_total",
				"Bytes of control messages sent to other processes, without the frames of lower layers, by kind.", "kind"),
			kind: prometheus.CounterValue,
			collect: func(send func(float64, ...string)) {
				traffic.Each(func(kind string, sent, _ uint64) { send(float64(sent), kind) })
			},
		},
		collectorFunc{
			desc: description("control_received_bytes_total",
				"Bytes of control messages received from other processes, without the frames of lower layers, by kind.", "kind"),
			kind: prometheus.CounterValue,
			collect: func(send func(float64, ...string)) {
				traffic.Each(func(kind string, _, received uint64) { send(float64(received), kind) })
			},
		})
}
