// Package metrics has the Prometheus collectors of the processes. Label sets are bounded: no label holds an account, a key
// or a request.
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
	// 3 s is the limit for a change to be in force everywhere.
	spreadBuckets = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 30}
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

// collectorFunc is a collector of one metric whose values are read at each scrape.
type collectorFunc struct {
	desc    *prometheus.Desc
	collect func(send func(value float64, labels ...string))
	kind    prometheus.ValueType
}

// Describe implements prometheus.Collector.
func (c collectorFunc) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

// Collect implements prometheus.Collector.
func (c collectorFunc) Collect(ch chan<- prometheus.Metric) {
	c.collect(func(value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(c.desc, c.kind, value, labels...)
	})
}

func boolean(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
