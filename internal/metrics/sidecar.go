package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// Sidecar holds the collectors of a sidecar.
type Sidecar struct {
	Registry *prometheus.Registry

	calls         *prometheus.CounterVec
	stalls        prometheus.Counter
	placeWaitTime *prometheus.HistogramVec
}

// NewSidecar returns collectors that are registered in a new registry. load returns the current load of the upstream and is
// called at each scrape.
func NewSidecar(load func() *wirev1.Load) *Sidecar {
	m := &Sidecar{
		Registry: NewRegistry(),
		calls: counterVec("calls_total",
			"Calls that ended or were refused, by verdict and reason; the reason of a whole answer is \"none\".", "verdict", "reason"),
		stalls: counter("stalls_total", "Times that the upstream stopped to make progress."),
		placeWaitTime: histogramVec("place_wait_seconds", "Time that requests waited for a place, by whether they got one.",
			waitBuckets, "granted"),
	}
	gauge := func(name, help string, value func(*wirev1.Load) float64) prometheus.Collector {
		return gaugeFunc(name, help, func() float64 { return value(load()) })
	}
	m.Registry.MustRegister(m.calls, m.stalls, m.placeWaitTime,
		gauge("places", "Places of the upstream.", func(l *wirev1.Load) float64 { return float64(l.GetPlaces()) }),
		gauge("places_free", "Free places of the upstream.", func(l *wirev1.Load) float64 { return float64(l.GetPlacesFree()) }),
		gauge("place_waits", "Requests that wait for a place now.", func(l *wirev1.Load) float64 { return float64(l.GetWaiting()) }),
		gauge("accepting", "1 if the upstream takes new work.", func(l *wirev1.Load) float64 { return boolToFloat(l.GetAccepting()) }),
		gauge("stalled", "1 while the upstream makes no progress.", func(l *wirev1.Load) float64 { return boolToFloat(l.GetStalled()) }),
		gauge("queue_seconds", "Estimated wait for a place.",
			func(l *wirev1.Load) float64 { return float64(l.GetQueueMs()) / 1000 }))
	return m
}

// Ended counts a call that ended or was refused.
func (m *Sidecar) Ended(v verdict.Verdict, reason wirev1.Reason) {
	name := "none"
	if reason != wirev1.Reason_REASON_UNSPECIFIED {
		name = verdict.ReasonName(reason)
	}
	m.calls.WithLabelValues(v.String(), name).Inc()
}

// Stalled counts a stall: the upstream stopped making progress.
func (m *Sidecar) Stalled() { m.stalls.Inc() }

// ObservePlaceWait observes the time that a request waited for a place.
func (m *Sidecar) ObservePlaceWait(d time.Duration, granted bool) {
	value := "no"
	if granted {
		value = "yes"
	}
	m.placeWaitTime.WithLabelValues(value).Observe(d.Seconds())
}
