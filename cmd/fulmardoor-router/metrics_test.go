package main

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/platform"
)

// Guards against a router without the metrics by which an operator finds the one that is off, and against a panic before it has heard of anything.
func TestRouterMetrics(t *testing.T) {
	r := newRouter("", &platform.Settings{Name: "a", Host: "127.0.0.1", DataCentre: "here", FirstPort: 1, StoreAddress: "127.0.0.1:2"}, runOptions{fleetPriority: true}, zap.NewNop())
	r.backlog.SetOwn("model", backlog.Levels{2: {Requests: 3, MemoryTokens: 30}})
	r.backlog.SetOthers("b", map[string]backlog.Levels{"model": {0: {Requests: 1, MemoryTokens: 10}}}, time.Now())
	families, err := r.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		if len(family.GetMetric()) == 1 {
			values[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
		}
		for _, metric := range family.GetMetric() {
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += " " + label.GetValue()
			}
			values[name] = metric.GetGauge().GetValue()
		}
	}
	for name, want := range map[string]float64{
		"fulmardoor_router_config_version": 0, "fulmardoor_router_store_contact": 1, "fulmardoor_router_upstream_list_age_seconds": 0, "fulmardoor_router_relay": 0,
		"fulmardoor_router_members": 0, "fulmardoor_router_known": 1, "fulmardoor_router_connections": 0, "fulmardoor_router_requests_running": 0,
		"fulmardoor_router_waiting_demand_requests 2 model here": 3, "fulmardoor_router_waiting_demand_requests 0 model elsewhere": 1,
	} {
		if value, ok := values[name]; !ok || value != want {
			t.Errorf("%s: %v, %v, want %v", name, value, ok, want)
		}
	}
}
