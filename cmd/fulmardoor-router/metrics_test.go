package main

import (
	"testing"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/platform"
)

// Guards against a router without the metrics by which an operator finds the one that is off, and against a panic before it has heard of anything.
func TestRouterMetrics(t *testing.T) {
	r := newRouter("", &platform.Settings{Name: "a", Host: "127.0.0.1", DataCentre: "here", FirstPort: 1, StoreAddress: "127.0.0.1:2"}, zap.NewNop())
	families, err := r.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		if len(family.GetMetric()) == 1 {
			values[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	for name, want := range map[string]float64{
		"fulmardoor_router_config_version": 0, "fulmardoor_router_store_contact": 1, "fulmardoor_router_upstream_list_age_seconds": 0, "fulmardoor_router_relay": 0,
		"fulmardoor_router_members": 0, "fulmardoor_router_known": 1, "fulmardoor_router_connections": 0, "fulmardoor_router_requests_running": 0,
	} {
		if value, ok := values[name]; !ok || value != want {
			t.Errorf("%s: %v, %v, want %v", name, value, ok, want)
		}
	}
}
