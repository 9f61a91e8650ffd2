package rates

import (
	"testing"
	"time"
)

// seed of the workload.
const seed = 1

func rateScenarios() []Scenario {
	base := Scenario{Entries: 3, RequestsPerSecond: 20, Use: 0.8, Favourite: 0.7, Duration: time.Hour}
	named := func(name string, change func(*Scenario)) Scenario {
		s := base
		s.Name = name
		change(&s)
		return s
	}
	return []Scenario{
		named("uneven entries", func(*Scenario) {}),
		named("30 min without store", func(s *Scenario) { s.OutageFrom, s.OutageFor = 10*time.Minute, 30*time.Minute }),
		named("owner of all dies", func(s *Scenario) { s.OwnerDies = 20 * time.Minute }),
		named("2,000 requests/s", func(s *Scenario) { s.RequestsPerSecond, s.Duration = 2000, 2*time.Minute }),
	}
}

// Guards against a ledger that refuses requests within rate. The targets are 0.1% with the platform up and 1% through an
// outage of thirty minutes; the death of the one owner of all accounts has no target of its own and is printed.
func TestRateTable(t *testing.T) {
	for _, s := range rateScenarios() {
		for _, policy := range []Policy{Owner, EqualShares, StoreCall} {
			result := Run(policy, s, seed)
			t.Logf("%-22s %-13s within rate %7d  refused of them %7.3f%%", s.Name, policy, result.WithinRate, 100*result.Share())
			target := 0.001
			if s.OutageFor > 0 {
				target = 0.01
			}
			if policy == Owner && s.OwnerDies == 0 && result.Share() > target {
				t.Errorf("%s: %.3f%% refused within rate, target %.1f%%", s.Name, 100*result.Share(), 100*target)
			}
		}
	}
}
