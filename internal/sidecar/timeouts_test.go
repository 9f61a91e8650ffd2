package sidecar

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// answeringTransport answers each request at once.
type answeringTransport struct{}

func (answeringTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
}

// Guards against a service that counts as stalled after a single slow call because it was probed before, and against a stall
// that a probe does not end or ends before the backoff is over.
func TestProbeOfSoundServiceCountsAsNoTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewServiceUpstreamWithTransport("http://service", answeringTransport{})
		if err := u.Probe(t.Context()); err != nil {
			t.Fatal(err)
		}
		for i := range stallThreshold {
			if u.Stalled() {
				t.Fatalf("stalled after %d timeouts", i)
			}
			u.timeouts.recordTimeout()
		}
		if !u.Stalled() {
			t.Fatalf("not stalled after %d timeouts", stallThreshold)
		}
		if u.Probe(t.Context()) == nil || !u.Stalled() {
			t.Error("the stall ended before its backoff")
		}
		time.Sleep(minStallBackoff)
		if err := u.Probe(t.Context()); err != nil || u.Stalled() {
			t.Errorf("stalled after the backoff and a probe: %v", err)
		}
		u.timeouts.recordTimeout()
		if !u.Stalled() {
			t.Error("not stalled after one timeout that follows a stall")
		}
	})
}
