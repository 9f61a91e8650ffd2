package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// pauseTime is longer than every limit after which others act on a silent process: 1.5 s silence and 3 s resume window.
const pauseTime = 6 * time.Second

// streams are completions that run at the same time.
type streams struct {
	running sync.WaitGroup
	tokens  []atomic.Int32
	answers []answer
}

func (d *deployment) startStreams(count int, url string, maxTokens int) *streams {
	s := &streams{tokens: make([]atomic.Int32, count), answers: make([]answer, count)}
	for i := range count {
		s.running.Go(func() {
			s.answers[i] = complete(context.Background(), url, d.keys[0], promptOf(i+1, 500), maxTokens, func(n int) {
				s.tokens[i].Store(int32(n))
			})
		})
	}
	return s
}

// waitTokens waits until each stream has so many tokens.
func (s *streams) waitTokens(t testing.TB, want int32) {
	t.Helper()
	eventually(t, "tokens of each stream", func() string {
		for i := range s.tokens {
			if n := s.tokens[i].Load(); n < want {
				return fmt.Sprintf("stream %d has %d of %d", i, n, want)
			}
		}
		return ""
	})
}

func (s *streams) wait() []answer {
	s.running.Wait()
	return s.answers
}

// Guards H1, H2, H5 and H6 for completions: decode sidecars, or decode engines, die with SIGKILL and start again.
func TestCompletionsWhileDecodeHostsAreKilled(t *testing.T) {
	t.Parallel()
	for name, restart := range map[string]func(*deployment, *upstreamHost){
		"sidecar": func(d *deployment, u *upstreamHost) {
			u.sidecar.kill()
			d.startSidecar(u)
		},
		"engine": func(d *deployment, u *upstreamHost) {
			u.upstream.kill()
			d.startStandin(u)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, shape{entries: 2, prefill: 1, decode: 3})
			load := startTraffic(12, d.urls(), d.completion)
			for round := range 5 {
				d.waitWhole(load, 25)
				restart(d, d.find(fmt.Sprintf("decode-%d", round%3)))
			}
			d.waitWhole(load, 25)
			d.checkCompletions(load.stop(), false)
			d.waitMemoryFree()
			t.Log(load.summary())
		})
	}
}

// Guards H1 and H5: an entry process dies with SIGKILL in mid-stream. Its callers lose their connections, the engines
// free the memory, and the other entry process goes on.
func TestEntryKilledInMidStream(t *testing.T) {
	t.Parallel()
	d := deploy(t, shape{entries: 2, prefill: 1, decode: 2})
	lost := d.startStreams(6, d.entries[0].url(), 4000)
	lost.waitTokens(t, 5)
	d.entries[0].kill()
	d.waitMemoryFree()
	for _, a := range lost.wait() {
		if a.whole || a.err == nil || a.wrongText() != "" {
			t.Errorf("a stream of a dead entry process: %v %s", a, a.wrongText())
		}
	}
	load := startTraffic(4, []string{d.entries[1].url()}, d.completion)
	d.waitWhole(load, 20)
	d.checkCompletions(load.stop(), false)
	d.startEntry(d.entries[0])
	d.waitReady()
}

// Guards H5, H2 and H7: all connections between entries and sidecars go silent in mid-stream, while new ones work. The
// answers still arrive whole, each token once, over new connections.
func TestSilentConnectionsInMidStream(t *testing.T) {
	t.Parallel()
	// A booking takes longer than the silence limit, so that it is under way when the connection is given up.
	d := deploy(t, shape{entries: 2, prefill: 1, decode: 2, services: 1, relays: true, latency: 1800 * time.Millisecond})
	running := d.startStreams(4, d.entries[0].url(), 300)
	running.waitTokens(t, 20)
	booked := make(chan answer, 1)
	go func() { booked <- d.booking(context.Background(), d.entries[1].url(), 1) }()
	service := d.find("ledger-0")
	eventually(t, "the booking runs", func() string {
		if d.serviceAudit(service).Running == 0 {
			return "not yet"
		}
		return ""
	})
	silent := 0
	for _, u := range d.upstreams {
		silent += relayAt(t, u.declared).silence()
	}
	if silent == 0 {
		t.Fatal("no connection to silence")
	}
	answers := append(running.wait(), <-booked)
	d.allWhole(answers)
	for _, a := range answers {
		if timeline := d.mustCtl("events", "--request", a.requestID); !strings.Contains(timeline, "answer_resumed") {
			t.Errorf("the answer was not resumed: %v\n%s", a, timeline)
		}
	}
	d.waitMemoryFree()
}

// Guards H1, H2, H5, H6 and H7: sidecars are stopped with SIGSTOP and woken later. Work that waited in their sockets must
// not run then, and what they ran meanwhile must not be answered twice.
func TestFrozenSidecars(t *testing.T) {
	t.Parallel()
	d := deploy(t, whole)
	load := startTraffic(12, d.urls(), d.mixed)
	d.waitWhole(load, 20)
	frozen := []*process{d.find("ledger-0").sidecar, d.find("decode-0").sidecar}
	for _, p := range frozen {
		p.freeze()
	}
	time.Sleep(pauseTime)
	for _, p := range frozen {
		p.signal(syscall.SIGCONT)
	}
	d.waitReady()
	d.waitWhole(load, 40)
	answers := load.stop()
	d.waitMemoryFree()
	d.checkBookings(answers, false)
	d.checkCompletions(answers, false)
	t.Log(load.summary())
}
