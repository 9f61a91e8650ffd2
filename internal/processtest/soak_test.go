package processtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

const (
	// soakFaults is the time in which faults begin. Each lasts 3 s at most.
	soakFaults = 6 * time.Second
	// soakRecovery is the time after the last fault in which every kind of request must be served by every router. The
	// users' bound for recovery is 12 s; dead peers and engines are forgotten within it.
	soakRecovery = 12 * time.Second
	soakRouters  = 3
	// soakRateSlack is the tolerated amount over the rate of an account, in tokens.
	soakRateSlack = 8000
	// soakSeeds is the number of seeds of a usual run; SOAK_SEEDS and SOAK_FIRST choose others.
	soakSeeds = 2
)

// soakRouter is a router with its own path to the store.
type soakRouter struct {
	name, callers, ready, settings string
	store                          *relay

	mu      sync.Mutex // guards process
	process *process
}

// soakFleet is the world of one seed.
type soakFleet struct {
	t       *testing.T
	dir     string
	store   *memory.Store
	routers []*soakRouter

	mu      sync.Mutex // guards the fields below
	runners []*soakRunner
	started int
	version int
	events  []string // what was done, for the log of a failed seed
	began   time.Time
}

// soakRunner is a runner behind a relay, as it is announced.
type soakRunner struct {
	*platformtest.Runner
	relay *relay
	ended atomic.Bool
}

func newSoakFleet(t *testing.T) *soakFleet {
	f := &soakFleet{t: t, dir: t.TempDir(), store: memory.New(memory.Options{}), began: time.Now()}
	server := httptest.NewServer(platformtest.NewStore(f.store))
	t.Cleanup(server.Close)
	f.nextConfig()
	for _, stage := range []string{"", "", "prefill", "decode", "decode", "decode"} {
		f.addRunner(stage)
	}
	for i := range soakRouters {
		r := &soakRouter{name: fmt.Sprintf("router-%d", i+1), callers: freeAddress(t), ready: freeAddress(t),
			store: startRelay(t, server.Listener.Addr().String())}
		r.settings = filepath.Join(f.dir, r.name+".conf")
		host, port := splitAddress(t, freeAddress(t))
		settings := platformtest.RouterSettings{
			Name: r.name, Host: host, Zone: "here", Store: r.store.address, Callers: r.callers, Ready: r.ready, Ports: port + "," + port,
			StopGraceS: 4, RateSlack: soakRateSlack,
		}
		if err := os.WriteFile(r.settings, settings.Text(), 0o600); err != nil {
			t.Fatal(err)
		}
		r.start(f)
		f.routers = append(f.routers, r)
	}
	return f
}

func (r *soakRouter) start(f *soakFleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process = start(f.t, f.dir, r.name, "fulmardoor-router", "run", "--settings", r.settings, "--metrics-port", "0")
}

// restart ends the router by a signal and starts it again after a pause. It returns at once.
func (r *soakRouter) restart(f *soakFleet, by syscall.Signal, pause time.Duration) {
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	p.signal(by)
	f.later(pause, func() {
		<-p.done
		r.start(f)
	})
}

func (r *soakRouter) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process.signal(s)
}

// isReady asks as the balancer does.
func (r *soakRouter) isReady() bool {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// nextConfig writes the configuration with the next version.
func (f *soakFleet) nextConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Put("op/config", fmt.Appendf(nil, platformtest.SoakConfig, f.version))
}

func (f *soakFleet) addRunner(stage string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	id := "i-" + strconv.Itoa(f.started)
	runner := platformtest.NewRunner(f.t, id, stage)
	r := &soakRunner{Runner: runner, relay: startRelay(f.t, runner.Address)}
	f.runners = append(f.runners, r)
	entry := platformtest.Entry{Service: "shop", Address: r.relay.address, Zone: "here", Stage: stage, Slots: 6}
	if stage != "" {
		entry.Service = "llm"
	}
	f.store.Put("servers/"+id, entry.Text())
}

// endRunner ends a runner as a crash does; its entry is removed a second later, and another one takes its place.
func (f *soakFleet) endRunner(r *soakRunner) {
	if r.ended.Swap(true) {
		return
	}
	r.Stop()
	f.later(time.Second, func() {
		f.store.Remove("servers/" + r.ID)
		f.addRunner(r.Stage)
	})
}

// all returns all runners, those that have ended included.
func (f *soakFleet) all() []*soakRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*soakRunner(nil), f.runners...)
}

// later runs an action after a time, unless the test has ended.
func (f *soakFleet) later(after time.Duration, action func()) {
	timer := time.AfterFunc(after, action)
	f.t.Cleanup(func() { timer.Stop() })
}

// TestSoak guards the promises against mixes of faults that no single test brings about: each seed runs three routers, a
// store and runners for some seconds under load, cuts, delays, resets, silence, signals and faults of store and runners, and
// checks from outside what callers got and what runners ran.
func TestSoak(t *testing.T) {
	first, seeds := soakNumber(t, "SOAK_FIRST", 1), soakNumber(t, "SOAK_SEEDS", soakSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			trackSources()
			soak(t, uint64(seed))
		})
	}
}

func soakNumber(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

func soak(t *testing.T, seed uint64) {
	f := newSoakFleet(t)
	t.Cleanup(func() {
		if t.Failed() {
			showLogs(t, f.dir)
		}
	})
	for _, r := range f.routers {
		eventually(t, r.name+" is ready", func() string {
			if r.isReady() {
				return ""
			}
			return "not ready"
		})
	}
	load := startSoakLoad(f)
	f.began = time.Now()
	random := rand.New(rand.NewPCG(seed, 0))
	for time.Since(f.began) < soakFaults {
		f.disturb(random)
		time.Sleep(time.Duration(random.Int64N(int64(800 * time.Millisecond))))
	}
	time.Sleep(soakLongest)
	f.heal()
	f.awaitRecovery()
	results := load.stop()
	f.check(results)
	if t.Failed() {
		for _, event := range f.events {
			t.Log(event)
		}
	}
}
