package processtest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/document"
)

// changeBound is the time after a change from which on a withdrawn key and a leaving upstream get no new work.
const changeBound = 5 * time.Second

// Guards H3, H8 and H7: an entry process is stopped with SIGSTOP. Meanwhile a key is withdrawn and upstreams are declared
// leaving through the other one. Requests that waited in its socket, and those that come after it woke, must not run for the
// withdrawn key, and the leaving upstreams get no new work later than 5 s after the change.
func TestFrozenEntryMissesChanges(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 3, prefill: 1, decode: 2, services: 2, latency: 5 * time.Millisecond})
	frozen, awake := d.entries[0], d.entries[1]
	load := startTraffic(4, []string{awake.url()}, d.mixed)
	d.waitWhole(load, 10)
	// The frozen process is in the middle of work, so that it holds connections, nonces and a configuration.
	d.allWhole([]answer{d.booking(t.Context(), frozen.url(), 1_000_001), d.completion(t.Context(), frozen.url(), 1_000_002)})
	frozen.freeze()

	var mu sync.Mutex // guards answers
	var answers []answer
	var waiting sync.WaitGroup
	send := func(phase, key string, count int) {
		for i := range count {
			waiting.Go(func() {
				a := book(context.Background(), frozen.url(), key, fmt.Sprintf("%s-%d", phase, i))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
			waiting.Go(func() {
				a := complete(context.Background(), frozen.url(), key, promptOf(2_000_000+i, 300), 10, nil)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	}
	send("withdrawn-before", d.keys[1], 5)
	send("granted-before", d.keys[0], 5)
	leaving := []*upstreamHost{d.find("ledger-0"), d.find("decode-0")}
	text, revision, err := d.adminClient(awake).Document(t.Context(), team)
	if err != nil {
		t.Fatal(err)
	}
	text, err = document.SetKeyState(text, "agents-2", document.StateWithdrawn)
	for _, u := range leaving {
		if err == nil {
			text, err = document.SetUpstreamState(text, u.name, document.StateLeaving)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	reply, err := d.adminClient(awake).Apply(t.Context(), team, text, revision)
	if err != nil || reply.Outcome != admin.OutcomeAccepted {
		t.Fatalf("apply: %+v %v", reply, err)
	}
	changed := time.Now()
	send("withdrawn-after", d.keys[1], 5)
	send("granted-after", d.keys[0], 5)
	time.Sleep(time.Until(changed.Add(changeBound)))
	bookings, decodes := len(d.serviceAudit(leaving[0]).Bookings), d.engineAudit(leaving[1]).Counts.DecodesStarted
	time.Sleep(time.Second)
	frozen.signal(syscall.SIGCONT)
	send("withdrawn-woken", d.keys[1], 5)
	send("granted-woken", d.keys[0], 5)
	waiting.Wait()
	d.waitWhole(load, 20)
	load.steer(frozen.url())
	d.waitWhole(load, 20) // the process that woke serves again
	rest := load.stop()

	if n := len(d.serviceAudit(leaving[0]).Bookings) - bookings; n != 0 {
		t.Errorf("%s got %d bookings later than %v after it was declared leaving", leaving[0].name, n, changeBound)
	}
	if n := d.engineAudit(leaving[1]).Counts.DecodesStarted - decodes; n != 0 {
		t.Errorf("%s got %d decodes later than %v after it was declared leaving", leaving[1].name, n, changeBound)
	}
	runs := d.bookingRuns()
	for _, phase := range []string{"withdrawn-before", "withdrawn-after", "withdrawn-woken"} {
		for i := range 5 {
			if name := fmt.Sprintf("%s-%d", phase, i); runs[name] != 0 {
				t.Errorf("booking %s ran %d times for a withdrawn key", name, runs[name])
			}
		}
	}
	d.checkBookings(append(answers, rest...), false)
	d.checkCompletions(append(answers, rest...), false)
	d.waitMemoryFree()
}
