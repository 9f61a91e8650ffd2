package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// allWhole guards H9: a planned stop cuts no request.
func (d *deployment) allWhole(answers []answer) {
	d.t.Helper()
	const shown = 5
	cut := 0
	for _, a := range answers {
		if a.whole {
			continue
		}
		if cut++; cut <= shown {
			d.t.Errorf("not whole: %v", a)
		}
	}
	if cut > shown {
		d.t.Errorf("%d of %d answers are not whole", cut, len(answers))
	}
	d.checkBookings(answers, false)
	d.checkCompletions(answers, false)
}

// Guards H9: SIGTERM to an entry process under load. The balancer of this test follows readiness.
func TestEntryStopsGracefullyUnderLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, whole)
	load := startTraffic(12, d.urls(), d.mixed)
	d.waitWhole(load, 20)
	leaving := d.entries[0]
	leaving.signal(syscall.SIGTERM)
	eventually(t, "readiness fails", func() string {
		response, err := caller.Get(leaving.admURL() + "/readyz")
		if err != nil {
			return err.Error()
		}
		_ = response.Body.Close()
		if response.StatusCode != 503 {
			return response.Status
		}
		return ""
	})
	load.steer(d.entries[1].url())
	if status := leaving.exit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
	if !strings.Contains(leaving.output(), "stopped, no request was cut") {
		t.Error("the log does not say that no request was cut")
	}
	d.waitWhole(load, 20)
	d.allWhole(load.stop())
}

// Guards H9 and H8: SIGTERM to a sidecar of each kind under load; its work ends and new work goes to the others.
func TestSidecarsStopGracefullyUnderLoad(t *testing.T) {
	t.Parallel()
	s := whole
	s.prefill = 2
	d := deploy(t, s)
	load := startTraffic(12, d.urls(), d.mixed)
	for _, name := range []string{"ledger-0", "decode-0", "prefill-0"} {
		d.waitWhole(load, 20)
		u := d.find(name)
		u.sidecar.signal(syscall.SIGTERM)
		if status := u.sidecar.exit(); status != 0 {
			t.Errorf("%s: exit status %d", name, status)
		}
		if !strings.Contains(u.sidecar.output(), "stopped, no call was cut") {
			t.Errorf("%s: the log does not say that no call was cut", name)
		}
	}
	d.waitWhole(load, 20)
	d.allWhole(load.stop())
}

// Guards H9: a second SIGTERM ends entry and sidecar at once, with a message and a status that say what was cut, and the
// callers learn that their requests ran.
func TestSecondSIGTERMEndsAtOnce(t *testing.T) {
	t.Parallel()
	const streams, maxTokens = 3, 4000 // 100 s of output, so that nothing ends by itself during the test
	for name, pick := range map[string]func(*deployment) *process{
		"entry":   func(d *deployment) *process { return d.entries[0].process },
		"sidecar": func(d *deployment) *process { return d.find("decode-0").sidecar },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, shape{entries: 1, prefill: 1, decode: 1})
			var begun atomic.Int32
			load := startTraffic(streams, d.urls(), func(ctx context.Context, url string, number int) answer {
				return complete(ctx, url, d.keys[0], promptOf(number, 500), maxTokens, func(number int) {
					if number == 1 {
						begun.Add(1)
					}
				})
			})
			eventually(t, "streams run", func() string {
				if n := begun.Load(); n < streams {
					return fmt.Sprintf("%d of %d", n, streams)
				}
				return ""
			})
			load.cancel()
			p := pick(d)
			p.signal(syscall.SIGTERM)
			time.Sleep(2 * time.Second)
			if p.ended() {
				t.Fatal("the first SIGTERM cut running requests")
			}
			p.signal(syscall.SIGTERM)
			if status := p.exit(); status != 1 {
				t.Errorf("exit status %d, want 1", status)
			}
			if out := p.output(); !strings.Contains(out, "3 requests were cut") && !strings.Contains(out, "3 calls were cut") {
				t.Errorf("no line says what was cut: %s", out)
			}
			for _, a := range load.stop() {
				if a.whole || a.tokens == 0 || (a.verdict != "ran" && a.err == nil) {
					t.Errorf("a stream that was cut: %v", a)
				}
			}
			d.waitMemoryFree()
		})
	}
}
