package bench

import (
	"flag"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	full = flag.Bool("full", false, "run all policies, loads and faults, and print the table")
	only = flag.String("only", "", "run only rows that contain this text, and check no bounds")
	seed = flag.Uint64("seed", 1, "seed of the workload")
)

const (
	// grantedRate is the sum of the granted rates as a multiple of capacity. A promise to refuse nothing within rate can
	// only be kept if the granted rates fit the fleet with some room for chance.
	grantedRate = 0.9
	// unlimitedRate is so high that the ledger refuses nothing and the pools meet the whole load.
	unlimitedRate = 100
	// parallelRuns bounds the runs at the same time.
	parallelRuns = 4

	fullDuration  = time.Minute
	shortDuration = 20 * time.Second
)

// scenarios returns the loads of the table.
func scenarios(duration time.Duration) []Scenario {
	var out []Scenario
	add := func(name string, factor, rate float64, excess, faults bool) {
		load := Load{Factor: factor, Excess: excess, Duration: duration, Seed: *seed}
		if faults {
			// A minute, so that the faults do not overlap more than they do in the full version.
			load.Duration = fullDuration
			load.CancelShare = 0.01
		}
		out = append(out, Scenario{Name: name, Load: load, RateFactor: rate, Faults: faults})
	}
	for _, factor := range []float64{0.5, 0.9, 1, 1.2, 2} {
		add(fmt.Sprintf("load %.1f", factor), factor, grantedRate, false, false)
	}
	add("excess", 0.9, grantedRate, true, false)
	add("excess, no rate limit", 0.9, unlimitedRate, true, false)
	add("load 2.0, no rate limit", 2, unlimitedRate, false, false)
	add("load 1.2, faults", 1.2, grantedRate, false, true)
	return out
}

// row names one run.
type row struct {
	deployment, scenario, policy string
}

func (r row) String() string {
	return fmt.Sprintf("%-7s %-24s %-14s", r.deployment, r.scenario, r.policy)
}

// inShort reports whether a row is part of the short version.
func (r row) inShort() bool {
	switch r.scenario {
	case "load 1.0":
		return r.policy == Chosen.Name || (r.deployment == "Kilimo" && !r.timing())
	case "load 2.0", "excess, no rate limit", "load 1.2, faults":
		return r.policy == Chosen.Name
	default:
		return false
	}
}

// timing reports whether the policy differs from the chosen one only in when it reserves.
func (r row) timing() bool {
	return strings.HasSuffix(r.policy, "prefill") || strings.HasSuffix(r.policy, "arrival")
}

// table holds the results of a test run.
type table struct {
	mu      sync.Mutex
	results map[row]*Result
	order   []row
}

// Guards against a change of the decisions that loses goodput, wastes prefills, refuses within rate or starves an
// account. The bounds are the targets of design section 1.4 and the naive policies, never an earlier figure.
func TestPolicyTable(t *testing.T) {
	results := &table{results: make(map[row]*Result)}
	duration := shortDuration
	if *full {
		duration = fullDuration
	}
	t.Run("runs", func(t *testing.T) { results.run(t, duration) })
	if *full {
		results.print()
	}
	if *only == "" {
		results.check(t)
	}
}

func (b *table) run(t *testing.T, duration time.Duration) {
	slots := make(chan struct{}, parallelRuns)
	for _, d := range []Deployment{Kilimo(), Hakata()} {
		for _, s := range scenarios(duration) {
			for _, p := range append([]Policy{Chosen}, Naive...) {
				r := row{d.Name, s.Name, p.Name}
				if !strings.Contains(r.String(), *only) || !(*full || r.inShort()) {
					continue
				}
				t.Run(r.String(), func(t *testing.T) {
					t.Parallel()
					slots <- struct{}{}
					defer func() { <-slots }()
					var result *Result
					synctest.Test(t, func(*testing.T) { result = Run(d, p, s) })
					b.add(r, result)
				})
			}
		}
	}
}

func (b *table) add(r row, result *Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results[r] = result
	b.order = append(b.order, r)
}

// print writes the table, ordered by deployment, scenario and policy.
func (b *table) print() {
	sort.Slice(b.order, func(i, j int) bool { return b.order[i].String() < b.order[j].String() })
	for _, r := range b.order {
		fmt.Println(r, b.results[r])
	}
}

const (
	wastedTarget  = 0.01
	refusedTarget = 0.001
	worstTarget   = 0.9
	// overloadTarget is the goodput at twice the capacity as a share of that at capacity.
	overloadTarget = 0.9
	// timingTolerance is the goodput that the chosen policy may lose to one that differs only in when it reserves; such
	// policies trade goodput for waste in either direction.
	timingTolerance = 0.95
)

// check holds the bounds for the rows that ran.
func (b *table) check(t *testing.T) {
	for r, result := range b.results {
		if r.policy != Chosen.Name {
			b.checkNaive(t, r, result)
			continue
		}
		if got := result.WastedShare(); got >= wastedTarget {
			t.Errorf("%v: wasted prefill %.2f%%, target under 1%%", r, 100*got)
		}
		unlimited := strings.Contains(r.scenario, "no rate limit")
		if got := result.RefusedShare(); !unlimited && got >= refusedTarget {
			t.Errorf("%v: refused within rate %.2f%%, target under 0.1%%", r, 100*got)
		}
		if got := result.WorstServed(); strings.HasPrefix(r.scenario, "excess") && got < worstTarget {
			t.Errorf("%v: worst-served account %.3f of its fair share, target 0.9", r, got)
		}
		capacity := b.results[row{r.deployment, "load 1.0", Chosen.Name}]
		if got := result.Goodput(); strings.HasPrefix(r.scenario, "load 2.0") && got < overloadTarget*capacity.Goodput() {
			t.Errorf("%v: goodput %.3f, at capacity %.3f", r, got, capacity.Goodput())
		}
	}
}

// checkNaive holds the chosen policy against another one in the same scenario.
func (b *table) checkNaive(t *testing.T, r row, naive *Result) {
	chosen := b.results[row{r.deployment, r.scenario, Chosen.Name}]
	tolerance := 1.0
	if r.timing() || r.scenario == "load 0.5" {
		tolerance = timingTolerance
	}
	if chosen.Goodput() < tolerance*naive.Goodput() {
		t.Errorf("%v: goodput %.3f, chosen policy %.3f", r, naive.Goodput(), chosen.Goodput())
	}
}
