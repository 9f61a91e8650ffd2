package bench

import (
	"context"
	"sync"
	"time"
)

// Scenario is a load with the faults of a run.
type Scenario struct {
	Name string
	Load Load
	// RateFactor is the rate granted to an account as a multiple of its share of capacity.
	RateFactor float64
	Faults     bool
}

// Run plays a scenario. It must run in a synctest bubble.
func Run(d Deployment, p Policy, s Scenario) *Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := newFleet(d)
	for i, sidecar := range fleet.sidecars {
		time.AfterFunc(time.Duration(i)*heartbeatInterval/time.Duration(len(fleet.sidecars)), func() { sidecar.serve(ctx) })
	}
	time.Sleep(heartbeatInterval)
	started := time.Now()
	result := newResult(d, s.Load)
	ledger := newLedger(d, s.RateFactor)
	var entries []*entry
	for i := range d.Entries {
		entries = append(entries, newEntry(ctx, fleet, p, i, ledger, result, s.Load.Seed))
	}
	if s.Faults {
		planFaults(fleet, entries, s.Load.Duration)
	}
	go func() {
		for time.Since(started) < s.Load.Duration {
			result.sample(fleet)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	play(ctx, entries, generate(d, s.Load))
	return result
}

// play sends the calls and waits for their ends.
func play(ctx context.Context, entries []*entry, calls []*Call) {
	start := time.Now()
	var running sync.WaitGroup
	for _, call := range calls {
		time.Sleep(call.At - time.Since(start))
		e := entries[call.Entry]
		if e.dead.Load() {
			e = entries[(call.Entry+1)%len(entries)]
		}
		running.Go(func() { e.serve(ctx, call) })
	}
	running.Wait()
	time.Sleep(resumeWindow + stallLimit)
}

// planFaults spreads one fault of each kind over the run.
func planFaults(f *fleet, entries []*entry, duration time.Duration) {
	prefills := len(f.deployment.PrefillSpeeds)
	decode := f.sidecars[prefills:]
	at := func(share float64, do func()) {
		time.AfterFunc(time.Duration(share*float64(duration)), do)
	}
	kill := func(s *sidecar, broken *fault) {
		broken.die()
		s.fail(errEngineDied, engineRestart)
	}
	at(0.15, func() { kill(decode[0], decode[0].decode.fault) })
	at(0.30, func() { decode[1].decode.stallFor(8 * time.Second) })
	at(0.45, func() { f.link("", f.deployment.DataCentres[2]).hangFor(time.Second) })
	at(0.60, func() {
		e := entries[len(entries)-1]
		e.dead.Store(true)
		e.die(errEntryDied)
	})
	at(0.75, func() {
		f.sidecars[0].prefill.forget()
		kill(f.sidecars[0], f.sidecars[0].prefill.fault)
	})
}
