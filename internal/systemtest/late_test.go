package systemtest

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a first message that arrives after its call was declared not run and tried elsewhere: the connection goes
// silent with the message in it and delivers it later, when the entry has a new connection. The sidecar keeps the old
// connection longer than the entry.
func TestLateFirstMessage(t *testing.T) {
	for phase := time.Duration(0); phase < 500*time.Millisecond; phase += 40 * time.Millisecond {
		for _, late := range []time.Duration{200 * time.Millisecond, time.Second, 1600 * time.Millisecond, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) { lateMessage(t, phase, late) })
		}
	}
}

func lateMessage(t *testing.T, phase, late time.Duration) {
	w := newWorld(t)
	w.silenceFactor = 10
	defer w.close()
	w.addService("ledger-0")
	w.addService("ledger-1")
	w.startEntries(1)
	time.Sleep(settleTime)
	w.apply(w.document(nil))
	time.Sleep(phase)
	links := w.network.SilenceForNow(w.addressOf("entry-0"))
	for i := range 4 {
		go w.book(context.Background(), "entry-0", fmt.Sprintf("b%d", i), nil)
	}
	time.Sleep(late)
	links.Resume()
	time.Sleep(time.Minute)
	for i := range 4 {
		name := fmt.Sprintf("b%d", i)
		if runs := w.runsOf(name); runs > 1 {
			t.Errorf("phase %v, late %v: booking %s ran %d times", phase, late, name, runs)
		}
	}
}
