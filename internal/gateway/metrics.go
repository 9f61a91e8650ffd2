package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Metrics counts requests by outcome. No label contains an account, a key or a request id.
type Metrics struct {
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	sends     *prometheus.CounterVec
	// promptCrashes counts the attempts that an engine broke before their first event, and plainCrashes those that an upstream of a
	// plain service broke before their answer was complete.
	promptCrashes, plainCrashes prometheus.Counter
	// limitedSends counts the attempts for which the limit of an upstream gave no permission.
	limitedSends prometheus.Counter
	// leavingAnswers counts the upstreams of which this process learned from an answer that they leave.
	leavingAnswers prometheus.Counter
	// pauses counts the answers with which an upstream asked for no requests for a time.
	pauses prometheus.Counter
	// heldBack counts the requests that left capacity to more urgent ones that waited at other processes.
	heldBack *prometheus.CounterVec
	// refusedAtOnce counts the requests that were refused because of their expected wait, by service.
	refusedAtOnce *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_requests_total", Help: "Requests of callers by kind and outcome.",
		}, []string{"kind", "outcome"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "fulmardoor_gateway_request_seconds", Help: "Time from a request's arrival to the end of its answer.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 0.9, 2, 5, 15},
		}, []string{"kind"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_sends_total", Help: "Requests sent to upstreams by purpose and result.",
		}, []string{"purpose", "result"}),
		promptCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_broken_before_first_event_total", Help: "Attempts that an engine broke before their first event.",
		}),
		plainCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_broken_before_answer_total", Help: "Attempts that an upstream of a plain service broke before their answer was complete.",
		}),
		limitedSends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_limited_sends_total", Help: "Attempts that were not sent because of the limit that an upstream named.",
		}),
		leavingAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_leaving_upstreams_total", Help: "Upstreams that said in an answer that they leave, before the store said so.",
		}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_upstream_pauses_total", Help: "Answers with which an upstream asked for no requests for a time.",
		}),
		heldBack: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_requests_held_back_total", Help: "Requests that left capacity to more urgent ones that waited at other routers.",
		}, []string{"service"}),
		refusedAtOnce: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fulmardoor_gateway_requests_refused_at_once_total", Help: "Requests that were refused because they would have waited too long for an engine.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.requests, m.durations, m.sends, m.promptCrashes, m.plainCrashes, m.limitedSends, m.leavingAnswers, m.pauses, m.heldBack, m.refusedAtOnce)
	return m
}

// CountRequest counts a finished request and its duration.
func (m *Metrics) CountRequest(r *request, outcome string) {
	kind := "none"
	if r.route != nil {
		kind = r.route.Kind.String()
	}
	m.requests.WithLabelValues(kind, outcome).Inc()
	m.durations.WithLabelValues(kind).Observe(time.Since(r.began).Seconds())
}

// countCrash counts an attempt that an upstream of a service broke before its answer.
func (m *Metrics) countCrash(service *fleet.Service) {
	if service.Engine != nil {
		m.promptCrashes.Inc()
	} else {
		m.plainCrashes.Inc()
	}
}

// CountSend counts a call that was sent to an upstream.
func (m *Metrics) CountSend(purpose, result string) { m.sends.WithLabelValues(purpose, result).Inc() }
