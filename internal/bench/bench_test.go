package bench

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var only = flag.String("only", "", "run only rows that contain this text")

var dFlag = flag.Int("d", 2, "")

var full = flag.Bool("full", false, "run all policies, loads and faults, and print the table")

// scenarios returns the loads of the table.
func scenarios(duration time.Duration, seed uint64) []Scenario {
	var out []Scenario
	add := func(name string, factor, rate float64, hog, faults bool) {
		load := Load{Factor: factor, Hog: hog, Duration: duration, Seed: seed}
		if faults {
			load.CancelShare = 0.01
		}
		out = append(out, Scenario{Name: name, Load: load, RateFactor: rate, Faults: faults})
	}
	for _, factor := range []float64{0.5, 0.9, 1, 1.2, 2} {
		add(fmt.Sprintf("load %.1f", factor), factor, grantedRate, false, false)
	}
	add("hog", 0.9, grantedRate, true, false)
	add("hog, no rate limit", 0.9, unlimitedRate, true, false)
	add("load 2.0, no rate limit", 2, unlimitedRate, false, false)
	add("load 1.2, faults", 1.2, grantedRate, false, true)
	return out
}

const (
	// grantedRate is the sum of the granted rates as a multiple of capacity. A promise to refuse nothing within rate can
	// only be kept if the granted rates fit the fleet with some room for chance.
	grantedRate = 0.9
	// unlimitedRate is so high that the ledger refuses nothing and the pools meet the whole load.
	unlimitedRate = 100
)

func run(t *testing.T, d Deployment, p Policy, s Scenario) *Result {
	var result *Result
	synctest.Test(t, func(*testing.T) { result = Run(d, p, s) })
	return result
}

// Guards against a change of the decisions that loses goodput, wastes prefills or starves an account.
func TestPolicyTable(t *testing.T) {
	dTest = *dFlag
	if !*full {
		t.Skip("not yet")
	}
	slots := make(chan struct{}, 4)
	for _, d := range []Deployment{Kilimo(), Hakata()} {
		for _, s := range scenarios(60*time.Second, 1) {
			for _, p := range append([]Policy{Chosen}, Naive...) {
				name := fmt.Sprintf("%-7s %-24s %-14s", d.Name, s.Name, p.Name)
				if !strings.Contains(name, *only) {
					continue
				}
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					slots <- struct{}{}
					defer func() { <-slots }()
					fmt.Println(name, run(t, d, p, s))
				})
			}
		}
	}
}
