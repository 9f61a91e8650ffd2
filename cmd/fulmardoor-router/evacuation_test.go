package main

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// Guards against requests to the upstreams of a data centre that the operators evacuate, against upstreams that get none after the evacuation has
// ended, and against a failed read that ends an evacuation.
func TestEvacuatedDataCentre(t *testing.T) {
	store := memory.New(memory.Options{})
	for id, zone := range map[string]string{"i-a": "north", "i-b": "south"} {
		store.Put("servers/"+id, platformtest.Entry{Service: "shop", Address: "10.0.0.9:8080", Zone: zone, Slots: 6}.Text())
	}
	var failing bool
	each := eachIn(store)
	entries := newUpstreamEntries(func(ctx context.Context, prefix string, visit func(kv.Pair)) (int64, error) {
		if failing && prefix == "op/evacuate/" {
			return 0, context.DeadlineExceeded
		}
		return each(ctx, prefix, visit)
	}, zap.NewNop())
	entries.readEvacuations = true
	board := placement.NewBoard("north", nil)
	known := upstreamlist.New(upstreamlist.Options{})
	update := func() {
		if reading, err := entries.list(t.Context()); err == nil {
			known.Apply(known.Read(reading), time.Time{}, time.Now())
			board.Update(known.Upstreams())
		}
	}
	wantPicked := func(when string, want map[string]bool) {
		t.Helper()
		update()
		picked := make(map[string]bool)
		excluded := make(map[string]bool)
		for {
			upstream, ok := board.PickPlain(placement.Query{Service: &fleet.Service{Name: "shop"}, Now: time.Now(), Excluded: excluded})
			if !ok {
				break
			}
			picked[upstream.ID], excluded[upstream.ID] = true, true
			if !board.Accepts(upstream) {
				t.Errorf("%s: %s was picked, but is not accepted", when, upstream.ID)
			}
		}
		if len(picked) != len(want) || picked["i-a"] != want["i-a"] || picked["i-b"] != want["i-b"] {
			t.Errorf("%s: picked %v, want %v", when, picked, want)
		}
	}
	wantPicked("before", map[string]bool{"i-a": true, "i-b": true})
	revision := store.Put("op/evacuate/south", nil)
	wantPicked("evacuated", map[string]bool{"i-a": true})
	failing = true
	wantPicked("while the store does not answer", map[string]bool{"i-a": true})
	failing = false
	if _, err := store.Delete(t.Context(), "op/evacuate/south", revision); err != nil {
		t.Fatal(err)
	}
	wantPicked("after it", map[string]bool{"i-a": true, "i-b": true})
}
