package metrics

import (
	"context"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// Guards against reporting an account that does not have the lowest share, counting tokens older than AccountWindow, and
// averaging the shares of all accounts.
func TestAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAccounts()
		expect := func(step string, got AccountShare, account string, ratio float64) {
			t.Helper()
			if got.Account != account || got.Ratio != ratio {
				t.Errorf("%s: %v, want %s %v", step, got, account, ratio)
			}
		}
		expect("empty", a.LeastGranted(), "", 1)
		a.CountRequested("", 100, false)
		a.CountRequested("served", 1000, true)
		a.Ended("served", 1000, true)
		a.CountRequested("over-rate", 100, true)
		a.CountRequested("over-rate", 300, false)
		a.Ended("over-rate", 100, true)
		a.CountRequested("failing", 100, true)
		a.Ended("failing", 50, true)
		a.Ended("failing", 50, false)
		expect("granted", a.LeastGranted(), "over-rate", 0.25)
		expect("served", a.LeastServed(), "failing", 0.5)
		time.Sleep(AccountWindow / 2)
		a.CountRequested("over-rate", 400, true)
		expect("half a window later", a.LeastGranted(), "over-rate", 0.625)
		time.Sleep(AccountWindow / 2)
		expect("a window later", a.LeastGranted(), "", 1)
		expect("a window later", a.LeastServed(), "", 1)
	})
}

// Guards against counting refusals that the caller caused as within rate, and against reasons that are not counted.
func TestRefusedWithinRate(t *testing.T) {
	callerErrors := map[wirev1.Reason]bool{}
	for _, name := range []string{
		"RATE_EXCEEDED", "REQUEST_TOO_LARGE_FOR_BURST", "KEY_MISSING", "KEY_UNKNOWN", "KEY_WITHDRAWN", "NO_ROUTE",
		"UNKNOWN_MODEL", "BODY_TOO_LARGE", "MALFORMED", "REQUEST_TIMEOUT",
	} {
		callerErrors[wirev1.Reason(wirev1.Reason_value["REASON_"+name])] = true
	}
	m := NewEntry()
	for number := range wirev1.Reason_name {
		m.Refused(&verdict.Refusal{Reason: wirev1.Reason(number), Verdict: verdict.NotRun})
	}
	if got := len(values(t, m.Registry, "requests_refused_total")); got != len(wirev1.Reason_name) {
		t.Errorf("%d reasons counted", got)
	}
	if got, want := len(values(t, m.Registry, "requests_refused_within_rate_total")), len(wirev1.Reason_name)-len(callerErrors); got != want {
		t.Errorf("%d within rate, want %d", got, want)
	}
	for reason := range callerErrors {
		if WithinRate(reason) {
			t.Errorf("%v counts as within rate", reason)
		}
	}
}

// Guards against calls that are counted with the wrong kind or result, and against a wrapper that changes results.
func TestInstrumentStore(t *testing.T) {
	registry := prometheus.NewRegistry()
	s := InstrumentStore(registry, memory.New(memory.Options{}))
	ctx := context.Background()
	if _, err := s.Get(ctx, "a"); !errors.Is(err, kv.ErrNotFound) {
		t.Error(err)
	}
	revision, err := s.CompareAndSwap(ctx, "a", []byte("1"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(ctx, "a", []byte("2"), 0, 0); !errors.Is(err, kv.ErrConflict) {
		t.Error(err)
	}
	if pair, err := s.Get(ctx, "a"); err != nil || pair.ModRevision != revision || string(pair.Value) != "1" {
		t.Errorf("%v, %v", pair, err)
	}
	want := map[string]float64{
		"call=compare_and_swap result=conflict": 1, "call=compare_and_swap result=ok": 1,
		"call=get result=not_found": 1, "call=get result=ok": 1,
	}
	if got := values(t, registry, "store_calls_total"); !maps.Equal(got, want) {
		t.Errorf("calls %v", got)
	}
}

// Guards against a wrapper that hides the earlier values of the store, without which the ledger does not repair a shard record of another writer.
func TestInstrumentStoreKeepsEarlierValues(t *testing.T) {
	registry := prometheus.NewRegistry()
	next := memory.New(memory.Options{})
	reader, ok := InstrumentStore(registry, next).(kv.HistoryReader)
	if !ok {
		t.Fatal("the wrapper has no earlier values")
	}
	first := next.Put("a", []byte("1"))
	next.Put("a", []byte("2"))
	if pair, err := reader.GetAt(t.Context(), "a", first); err != nil || string(pair.Value) != "1" {
		t.Errorf("%+v, %v", pair, err)
	}
	if got := values(t, registry, "store_calls_total"); !maps.Equal(got, map[string]float64{"call=get_at result=ok": 1}) {
		t.Errorf("calls %v", got)
	}
}

// Guards against a delay that is counted twice, for a process that already had the revision, or for a process that reports
// for the first time.
func TestPropagationDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := prometheus.NewRegistry()
		s := NewPropagationDelay(registry)
		s.Reported("late", 1)
		s.Reported("ahead", 5)
		s.Applied(5)
		time.Sleep(400 * time.Millisecond)
		for range 2 {
			s.Reported("late", 5)
			s.Reported("ahead", 5)
			s.Reported("new", 5)
		}
		s.Applied(4)
		s.Reported("late", 5)
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		if h := families[0].GetMetric()[0].GetHistogram(); h.GetSampleCount() != 1 || h.GetSampleSum() != 0.4 {
			t.Errorf("%d delays, sum %v", h.GetSampleCount(), h.GetSampleSum())
		}
	})
}

// Guards against shards without an owner that are not counted.
func TestShardsWithoutOwner(t *testing.T) {
	m := NewEntry()
	m.WatchShards(func() []Shard {
		return []Shard{{"granting", true}, {"remote", true}, {"remote", false}, {"waiting", false}}
	})
	if got := values(t, m.Registry, "ledger_shards_without_owner"); got[""] != 2 {
		t.Errorf("without owner: %v", got)
	}
	want := map[string]float64{"state=granting": 1, "state=remote": 2, "state=waiting": 1}
	if got := values(t, m.Registry, "ledger_shards"); !maps.Equal(got, want) {
		t.Errorf("shards %v", got)
	}
}

// values returns the values of a counter or gauge by their labels.
func values(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != namespace+"_"+name {
			continue
		}
		for _, m := range family.GetMetric() {
			var labels []string
			for _, l := range m.GetLabel() {
				labels = append(labels, l.GetName()+"="+l.GetValue())
			}
			found[strings.Join(labels, " ")] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return found
}
