// Package metrics has the Prometheus collectors of the processes. Label sets are bounded: no label holds an account, a key
// or a request.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "fulmardoor"

var (
	firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 4, 8, 16, 32, 64}
	tokenGapBuckets   = []float64{0.005, 0.01, 0.02, 0.03, 0.035, 0.05, 0.1, 0.25, 0.5, 1, 2}
)

// NewRegistry returns a registry with the collectors of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// Handler serves a registry.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Entry has the collectors of an entry process.
type Entry struct {
	Registry *prometheus.Registry

	served        *prometheus.CounterVec
	refused       *prometheus.CounterVec
	retried       *prometheus.CounterVec
	targets       *prometheus.CounterVec
	callersLost   prometheus.Counter
	firstToken    *prometheus.HistogramVec
	tokenGap      *prometheus.HistogramVec
	prefillTokens *prometheus.CounterVec
	prefillWasted *prometheus.CounterVec
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, labels)
}

// NewEntry returns registered collectors.
func NewEntry() *Entry {
	m := &Entry{
		Registry: NewRegistry(),
		served:   counterVec("requests_served_total", "Requests that got their whole answer.", "kind", "pool"),
		refused:  counterVec("requests_refused_total", "Requests refused, by reason and verdict.", "reason", "verdict"),
		retried:  counterVec("retries_total", "Further attempts of requests.", "kind"),
		targets:  counterVec("latency_targets_total", "Model requests by whether both latency targets were met.", "model", "met"),
		callersLost: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "callers_lost_total", Help: "Requests whose caller went away.",
		}),
		firstToken:    histogramVec("first_token_seconds", "Time to the first token.", firstTokenBuckets, "model"),
		tokenGap:      histogramVec("token_gap_seconds", "Time between tokens.", tokenGapBuckets, "model"),
		prefillTokens: counterVec("prefill_tokens_total", "Prompt tokens prefilled.", "model"),
		prefillWasted: counterVec("prefill_wasted_tokens_total", "Prompt tokens whose prefill was not used.", "model"),
	}
	m.Registry.MustRegister(m.served, m.refused, m.retried, m.targets, m.callersLost,
		m.firstToken, m.tokenGap, m.prefillTokens, m.prefillWasted)
	return m
}

// Served counts a whole answer.
func (m *Entry) Served(kind, pool string) { m.served.WithLabelValues(kind, pool).Inc() }

// Refused counts a refusal.
func (m *Entry) Refused(reason, verdict string) { m.refused.WithLabelValues(reason, verdict).Inc() }

// Retried counts a further attempt.
func (m *Entry) Retried(kind string) { m.retried.WithLabelValues(kind).Inc() }

// CallerLost counts a caller that went away.
func (m *Entry) CallerLost() { m.callersLost.Inc() }

// Latency counts a model request by whether it met both latency targets.
func (m *Entry) Latency(model string, met bool) {
	value := "no"
	if met {
		value = "yes"
	}
	m.targets.WithLabelValues(model, value).Inc()
}

// FirstToken observes the time to the first token.
func (m *Entry) FirstToken(model string, d time.Duration) {
	m.firstToken.WithLabelValues(model).Observe(d.Seconds())
}

// TokenGap observes the time between two tokens.
func (m *Entry) TokenGap(model string, d time.Duration) {
	m.tokenGap.WithLabelValues(model).Observe(d.Seconds())
}

// Prefilled counts the prompt tokens of a finished prefill.
func (m *Entry) Prefilled(model string, tokens uint32) {
	m.prefillTokens.WithLabelValues(model).Add(float64(tokens))
}

// PrefillWasted counts the prompt tokens of a prefill that no decode engine used.
func (m *Entry) PrefillWasted(model string, tokens uint32) {
	m.prefillWasted.WithLabelValues(model).Add(float64(tokens))
}
