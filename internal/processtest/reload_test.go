package processtest

import (
	"context"
	"syscall"
	"testing"
)

// Guards against an entry process or a sidecar that ends at SIGHUP, which operators and log rotation send to make a process reload, and
// cuts its requests.
func TestSIGHUPCutsNoRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentSpec{entries: 1, prefill: 1, decode: 1, services: 1})
	const tokens = 80
	streaming := make(chan struct{})
	result := make(chan answer, 1)
	go func() {
		result <- complete(context.Background(), d.entries[0].callerURL(), d.keys[0], uniquePrompt(1, 500), tokens, func(number int) {
			if number == 1 {
				close(streaming)
			}
		})
	}()
	<-streaming
	processes := []*process{d.entries[0].process}
	for _, u := range d.upstreams {
		processes = append(processes, u.sidecar)
	}
	for _, p := range processes {
		p.signal(syscall.SIGHUP)
	}
	if a := <-result; !a.whole {
		t.Errorf("stream beside SIGHUP: %v", a)
	}
	if a := book(context.Background(), d.entries[0].callerURL(), d.keys[0], "b1"); !a.whole {
		t.Errorf("booking after SIGHUP: %v", a)
	}
	for _, p := range processes {
		if p.hasEnded() {
			t.Errorf("%s ended at SIGHUP", p.name)
		}
	}
}
