package processtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// soakLongest is the longest time of one fault.
const soakLongest = 3 * time.Second

func splitAddress(t testing.TB, address string) (host, port string) {
	t.Helper()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return host, port
}

func (f *soakFleet) note(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%6.3f s  ", time.Since(f.began).Seconds())+fmt.Sprintf(format, values...))
}

// disturb brings about one fault.
func (f *soakFleet) disturb(random *rand.Rand) {
	length := 200*time.Millisecond + time.Duration(random.Int64N(int64(soakLongest-200*time.Millisecond)))
	router := f.routers[random.IntN(len(f.routers))]
	live := f.liveRunners()
	runner := live[random.IntN(len(live))]
	switch random.IntN(4) {
	case 0:
		f.disturbLink(random, router, runner, length)
	case 1:
		f.disturbRouter(random, router, length)
	case 2:
		f.disturbStore(random, length)
	default:
		f.disturbRunner(random, runner)
	}
}

func (f *soakFleet) liveRunners() []*soakRunner {
	var live []*soakRunner
	for _, r := range f.all() {
		if !r.ended.Load() {
			live = append(live, r)
		}
	}
	return live
}

func (f *soakFleet) disturbLink(random *rand.Rand, router *soakRouter, runner *soakRunner, length time.Duration) {
	link, name := runner.relay, runner.ID
	if random.IntN(2) == 0 {
		link, name = router.store, "store of "+router.name
	}
	switch random.IntN(4) {
	case 0:
		delay := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		f.note("link to %s delayed by %v for %v", name, delay, length)
		link.slow(delay)
	case 1:
		f.note("link to %s reset", name)
		link.reset()
		return
	case 2:
		f.note("answers from %s lost for %v", name, length)
		link.deafen()
	default:
		f.note("link to %s silent, answers lost for %v", name, length)
		link.silence()
		link.deafen()
	}
	f.later(length, link.heal)
}

func (f *soakFleet) disturbRouter(random *rand.Rand, router *soakRouter, length time.Duration) {
	switch random.IntN(4) {
	case 0:
		f.note("%s killed, started again after %v", router.name, length)
		router.restart(f, syscall.SIGKILL, length)
	case 1:
		f.note("%s asked to stop, started again after %v", router.name, length)
		router.restart(f, syscall.SIGTERM, length)
	case 2:
		f.note("%s stands still for %v", router.name, length)
		router.signal(syscall.SIGSTOP)
		f.later(length, func() { router.signal(syscall.SIGCONT) })
	default:
		f.note("%s reloads, the configuration changes", router.name)
		router.signal(syscall.SIGHUP)
		f.nextConfig()
	}
}

func (f *soakFleet) disturbStore(random *rand.Rand, length time.Duration) {
	faults := []memory.Faults{
		{Down: true}, {Hanging: true}, {Delay: 400 * time.Millisecond, Jitter: 300 * time.Millisecond}, {LoseRate: 0.5, LateBy: time.Second},
		{OldLists: true},
	}
	n := random.IntN(len(faults) + 1)
	if n == len(faults) {
		f.note("store forgets its history")
		f.store.Compact(f.store.Revision())
		return
	}
	f.note("store faults %+v for %v", faults[n], length)
	f.store.SetFaults(faults[n])
	f.later(length, func() { f.store.SetFaults(memory.Faults{}) })
}

func (f *soakFleet) disturbRunner(random *rand.Rand, runner *soakRunner) {
	faults := []platformtest.Fault{
		platformtest.Full, platformtest.Reset, platformtest.Cut, platformtest.Failed, platformtest.Unavailable,
		platformtest.Unsigned, platformtest.Encoded, platformtest.Silent, platformtest.Stalled,
	}
	n := random.IntN(len(faults) + 2)
	if n >= len(faults) {
		f.note("%s (%s) ends", runner.ID, runner.Stage)
		f.endRunner(runner)
		return
	}
	times := 1 + random.IntN(8)
	f.note("%s (%s): the next %d requests meet fault %d", runner.ID, runner.Stage, times, faults[n])
	for range times {
		runner.Fail(faults[n])
	}
}

// heal ends what may still be disturbed.
func (f *soakFleet) heal() {
	f.store.SetFaults(memory.Faults{})
	for _, r := range f.routers {
		r.store.heal()
		r.signal(syscall.SIGCONT)
	}
	for _, r := range f.liveRunners() {
		r.relay.heal()
		r.Heal()
	}
	f.note("healed")
}
