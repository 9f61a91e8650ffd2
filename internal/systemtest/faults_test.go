package systemtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/fulmardoor/fulmardoor/standin/engine"
	"github.com/fulmardoor/fulmardoor/standin/service"
)

// freeBound is the time within which engines free the memory of requests that are gone: resume window, silence limit and
// some way.
const freeBound = 6 * time.Second

// fault is one thing that goes wrong at a moment.
type fault struct {
	name   string
	inject func(w *world, random *rand.Rand)
}

// mendTime is the length of faults that end.
const mendTime = 3 * time.Second

var modelNames = []string{"prefill-0", "prefill-1", "decode-0", "decode-1", "decode-2"}
var serviceNames = []string{"ledger-0", "ledger-1"}

func pick(random *rand.Rand, names []string) string { return names[random.IntN(len(names))] }

func entryName(random *rand.Rand) string { return fmt.Sprintf("entry-%d", random.IntN(3)) }

// linkFaults concern the connections between one entry and one sidecar.
func linkFaults(names []string) []fault {
	return []fault{
		{"reset", func(w *world, random *rand.Rand) {
			w.network.Reset(w.addressOf(entryName(random)), w.addressOf(pick(random, names)))
		}},
		{"silence", func(w *world, random *rand.Rand) {
			w.network.Silence(w.addressOf(entryName(random)), w.addressOf(pick(random, names)))
		}},
		{"cut", func(w *world, random *rand.Rand) {
			a, b := w.addressOf(entryName(random)), w.addressOf(pick(random, names))
			w.network.Cut(a, b)
			time.AfterFunc(mendTime, func() { w.network.Heal(a, b) })
		}},
		{"sidecar dies", func(w *world, random *rand.Rand) { w.restartSidecar(pick(random, names)) }},
	}
}

func serviceFaults() []fault {
	set := func(name string, faults service.Faults) fault {
		return fault{name, func(w *world, random *rand.Rand) { w.services[pick(random, serviceNames)].SetFaults(faults) }}
	}
	return append(linkFaults(serviceNames),
		set("drop before", service.Faults{DropBefore: true, Count: 1}),
		set("drop after", service.Faults{DropAfter: true, Count: 1}),
		set("stall before", service.Faults{StallBefore: true, Count: 1}),
		set("stall after", service.Faults{StallAfter: true, Count: 1}),
		set("slow", service.Faults{DelayMS: 700, Count: 3}),
	)
}

func engineFaults() []fault {
	set := func(name string, faults engine.Faults, mend bool) fault {
		return fault{name, func(w *world, random *rand.Rand) {
			core := w.engines[pick(random, modelNames)]
			core.SetFaults(faults)
			if mend {
				time.AfterFunc(mendTime, func() { core.SetFaults(engine.Faults{}) })
			}
		}}
	}
	return append(linkFaults(modelNames),
		set("stall", engine.Faults{Stall: true}, true),
		set("stalled transfer", engine.Faults{StallTransfer: true}, true),
		set("refuse", engine.Faults{Refuse: true}, true),
		fault{"drop connections", func(w *world, random *rand.Rand) {
			w.engines[pick(random, modelNames)].SetFaults(engine.Faults{Drop: true})
		}},
	)
}

// play injects count faults at random moments within a span.
func play(w *world, random *rand.Rand, faults []fault, count int, span time.Duration) []string {
	var names []string
	for range count {
		time.Sleep(time.Duration(random.Int64N(int64(span) / int64(count))))
		f := faults[random.IntN(len(faults))]
		names = append(names, f.name)
		f.inject(w, random)
	}
	return names
}

func parameters(tests int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = tests
	p.MaxShrinkCount = 0
	p.Workers = 1
	return p
}

// Guards against a booking that runs twice, a "not run" that is false, and an answer that belongs to no run, while
// connections break, sidecars die and the service fails, two at a time and more.
func TestBookingsUnderFaults(t *testing.T) {
	properties := gopter.NewProperties(parameters(60))
	properties.Property("bookings run at most once and verdicts are true", prop.ForAll(func(seed uint64) string {
		return bookingsRun(t, seed)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func bookingsRun(t *testing.T, seed uint64) (violation string) {
	inSmallWorld(t, func(t *testing.T, w *world) {
		random := rand.New(rand.NewPCG(seed, 1))
		const count = 40
		answers := make([]answer, count)
		done := make(chan struct{}, count)
		for i := range count {
			at := time.Duration(random.Int64N(int64(8 * time.Second)))
			entry := entryName(random)
			time.AfterFunc(at, func() {
				answers[i] = w.book(context.Background(), entry, fmt.Sprintf("b%d", i), nil)
				done <- struct{}{}
			})
		}
		names := play(w, random, serviceFaults(), 6, 8*time.Second)
		for range count {
			<-done
		}
		time.Sleep(time.Minute)
		for i, a := range answers {
			runs := w.runsOf(fmt.Sprintf("b%d", i))
			switch {
			case runs > 1:
				violation = fmt.Sprintf("booking %d ran %d times", i, runs)
			case a.whole && runs != 1:
				violation = fmt.Sprintf("booking %d answered %d but ran %d times", i, a.status, runs)
			case a.verdict == "not run" && runs != 0:
				violation = fmt.Sprintf("booking %d ran although the verdict was not run (%s)", i, a.code)
			case !a.whole && a.verdict == "":
				violation = fmt.Sprintf("booking %d has neither answer nor verdict: %+v", i, a)
			}
		}
		if violation != "" {
			violation = fmt.Sprintf("seed %d, faults %v: %s", seed, names, violation)
		}
	})
	return violation
}

// Guards against answers with lost, doubled or foreign tokens, and engine memory that stays held, while connections break,
// sidecars die and engines stall or fail.
func TestCompletionsUnderFaults(t *testing.T) {
	properties := gopter.NewProperties(parameters(40))
	properties.Property("answers are whole and memory is freed", prop.ForAll(func(seed uint64) string {
		return completionsRun(t, seed)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func completionsRun(t *testing.T, seed uint64) (violation string) {
	inSmallWorld(t, func(t *testing.T, w *world) {
		random := rand.New(rand.NewPCG(seed, 2))
		const count = 30
		answers := make([]answer, count)
		prompts := make([]string, count)
		done := make(chan struct{}, count)
		for i := range count {
			prompts[i] = fmt.Sprintf("stall %d of seed %d ", i, seed) + prompt(500+random.IntN(6000))
			at := time.Duration(random.Int64N(int64(8 * time.Second)))
			entry := entryName(random)
			ctx, cancel := context.WithCancel(context.Background())
			if random.IntN(6) == 0 {
				time.AfterFunc(at+time.Duration(random.Int64N(int64(2*time.Second))), cancel)
			}
			time.AfterFunc(at, func() {
				answers[i] = w.complete(ctx, entry, testKey, prompts[i], 40)
				cancel()
				done <- struct{}{}
			})
		}
		names := play(w, random, engineFaults(), 6, 8*time.Second)
		for range count {
			<-done
		}
		time.Sleep(mendTime + freeBound)
		whole := 0
		for i, a := range answers {
			want := engine.Output("drafter", prompts[i], 0, 40)
			if a.whole {
				whole++
			}
			if got := a.text; got != join(want[:min(a.tokens, len(want))]) || (a.whole && a.tokens != len(want)) {
				violation = fmt.Sprintf("answer %d: whole %v, %d tokens, got %q", i, a.whole, a.tokens, got)
			}
		}
		if blocks := w.held(); blocks != 0 {
			violation = fmt.Sprintf("engines hold %d blocks: %+v", blocks, w.holders())
		}
		if whole < count/3 {
			violation = fmt.Sprintf("only %d of %d answers whole: %v", whole, count, codes(answers))
		}
		if violation != "" {
			violation = fmt.Sprintf("seed %d, faults %v: %s", seed, names, violation)
		}
	})
	return violation
}

func join(tokens []string) string {
	text := ""
	for _, token := range tokens {
		text += token
	}
	return text
}

func (w *world) holders() []engine.Holder {
	var holders []engine.Holder
	for _, e := range w.engines {
		holders = append(holders, e.Audit().Holders...)
	}
	return holders
}

// codes lists how requests without a whole answer ended.
func codes(answers []answer) []string {
	var list []string
	for _, a := range answers {
		if !a.whole {
			list = append(list, fmt.Sprintf("%s/%s/%d", a.code, a.verdict, a.tokens))
		}
	}
	return list
}
