package processtest

import (
	"context"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// setting appends a key to a section of a settings file.
func (d *deployment) setting(file, section, line string) {
	d.t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		d.t.Fatal(err)
	}
	header := "[" + section + "]\n"
	if !strings.Contains(string(text), header) {
		d.t.Fatalf("no section %s in %s", section, file)
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), header, header+line+"\n", 1)), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// Guards against requests that get no answer when the time of a planned stop is over: a booking, which may have run, a stream that has
// begun, and one that waits for its first token.
func TestEndOfStopAnswersRunningRequests(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"entry", "sidecars"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.startPlatform()
			d.addUpstreams(deploymentSpec{prefill: 1, decode: 1, services: 1, latency: time.Minute})
			for _, u := range d.upstreams {
				d.setting(u.settingsFile, "upstream", "drain_limit = 1s")
				u.sidecar.kill()
				d.startSidecar(u)
			}
			d.setting(d.writeEntrySettings(0, 1).settingsFile, "callers", "drain_limit = 1s")
			d.startEntry(d.entries[0])
			d.waitHealthy()
			d.mustApply(d.documentText(nil))
			d.waitReady()
			url := d.entries[0].callerURL()
			answers := make(chan answer, 2)
			go func() { answers <- book(context.Background(), url, d.keys[0], "b1") }()
			streaming := make(chan struct{})
			go func() {
				answers <- complete(context.Background(), url, d.keys[0], uniquePrompt(1, 500), 4000, func(number int) {
					if number == 1 {
						close(streaming)
					}
				})
			}()
			<-streaming
			time.Sleep(200 * time.Millisecond)
			stopping := []*process{d.entries[0].process}
			if name == "sidecars" {
				stopping = []*process{d.findUpstream("ledger-0").sidecar, d.findUpstream("decode-0").sidecar}
			}
			for _, p := range stopping {
				p.signal(syscall.SIGTERM)
			}
			begin := time.Now()
			for range 2 {
				a := <-answers
				wrong := a.kind == "booking" && (a.status != 502 || a.code != "stopping" || a.verdict != "may have run")
				// A stream whose sidecar has ended waits for another upstream.
				wrong = wrong || a.kind == "model" && (a.verdict != "ran" || (name == "entry" && a.code != "stopping"))
				if wrong {
					t.Errorf("after %v: %v", time.Since(begin), a)
				}
			}
			for _, p := range stopping {
				if status := p.waitExit(); status != 1 {
					t.Errorf("%s: exit status %d, want 1, because requests were cut", p.name, status)
				}
			}
		})
	}
}
