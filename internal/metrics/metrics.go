// Package metrics defines the Prometheus collectors of the processes. Labels never hold accounts, keys or requests, so that
// the number of time series is bounded.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "fulmardoor"

var (
	firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 4, 8, 16, 32, 64}
	tokenGapBuckets   = []float64{0.005, 0.01, 0.02, 0.03, 0.035, 0.05, 0.1, 0.25, 0.5, 1, 2}
	waitBuckets       = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64}
	storeBuckets      = []float64{0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5}
	// A change of the configuration must be in force everywhere within 3 s, so 3 s is a bucket boundary.
	propagationDelayBuckets = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 30}
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

// Handler returns a handler that serves the metrics of a registry.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
}

func histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, labels)
}

func gaugeFunc(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read)
}

func description(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// collectorFunc is a collector of one metric. It calls collect at each scrape, which passes the values to emit.
type collectorFunc struct {
	desc      *prometheus.Desc
	collect   func(emit func(value float64, labels ...string))
	valueType prometheus.ValueType
}

// Describe implements prometheus.Collector.
func (c collectorFunc) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect implements prometheus.Collector.
func (c collectorFunc) Collect(ch chan<- prometheus.Metric) {
	c.collect(func(value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(c.desc, c.valueType, value, labels...)
	})
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
