package main

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
)

// registerMetrics registers what an operator compares over all routers to find the one that differs.
func (r *router) registerMetrics() {
	for _, gauge := range []struct {
		name, help string
		value      func() float64
	}{
		{"fulmardoor_router_config_version", "Version of the configuration in force; 0 for none.", func() float64 { return float64(r.configVersion()) }},
		{"fulmardoor_router_store_contact", "Whether the store answered the last call.", func() float64 { return number(r.storeStatus.Health.Available()) }},
		{"fulmardoor_router_upstream_list_age_seconds", "Time since the list of upstreams was read from the store, by any router.", func() float64 { return r.feed.age().Seconds() }},
		{"fulmardoor_router_upstreams_missing", "Upstreams that are used although the newest list lacks them, after an outage of the store.", func() float64 { return float64(r.feed.missing()) }},
		{"fulmardoor_router_relay", "Whether this router passes on the reports of others.", func() float64 { return number(r.mesh.Status().Relay) }},
		{"fulmardoor_router_members", "Routers in the store.", func() float64 { return float64(r.mesh.Status().Members) }},
		{"fulmardoor_router_known", "Routers whose reports arrive, this one included.", func() float64 { return float64(r.mesh.Status().Known) }},
		{"fulmardoor_router_connections", "Routers that are connected directly.", func() float64 { return float64(r.mesh.Status().Connections) }},
		{"fulmardoor_router_body_memory_bytes", "Memory taken by large bodies of requests in flight.", func() float64 { return float64(r.gateway.BodyMemory.Used()) }},
		{"fulmardoor_router_answer_memory_bytes", "Memory taken by large answers that are not complete.", func() float64 { return float64(r.gateway.AnswerMemory.Used()) }},
		{"fulmardoor_router_requests_running", "Requests in flight.", func() float64 { return float64(r.gateway.Running()) }},
	} {
		r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
	r.registry.MustRegister(newDemandCollector(r.backlog))
}

// demandCollector implements prometheus.Collector for the requests that wait for engines.
type demandCollector struct {
	backlog *backlog.Backlog
	desc    *prometheus.Desc
}

func newDemandCollector(demand *backlog.Backlog) *demandCollector {
	return &demandCollector{demand, prometheus.NewDesc("fulmardoor_router_waiting_demand_requests",
		"Requests that wait for engines, at this router (here) and at the others (elsewhere).", []string{"service", "priority", "where"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *demandCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.desc }

// Collect implements prometheus.Collector.
func (c *demandCollector) Collect(metrics chan<- prometheus.Metric) {
	here, elsewhere := c.backlog.Waiting(time.Now())
	for where, demand := range map[string]map[string]backlog.Levels{"here": here, "elsewhere": elsewhere} {
		for service, levels := range demand {
			for priority, d := range levels {
				metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(d.Requests), service, strconv.Itoa(priority), where)
			}
		}
	}
}

// number returns 1 for true and 0 for false.
func number(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
