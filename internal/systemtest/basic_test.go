package systemtest

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// small starts 3 entry processes, 2 prefill and 3 decode engines and 2 plain services.
func small(t *testing.T) *world {
	w := newWorld(t)
	for _, name := range []string{"prefill-0", "prefill-1"} {
		w.addEngine(name, "prefill", nil)
	}
	for _, name := range []string{"decode-0", "decode-1", "decode-2"} {
		w.addEngine(name, "decode", nil)
	}
	w.addService("ledger-0")
	w.addService("ledger-1")
	w.startEntries(3)
	time.Sleep(settleTime)
	w.apply(w.document(nil))
	return w
}

// inSmallWorld runs a test in virtual time with the processes of small.
func inSmallWorld(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := small(t)
		defer w.close()
		test(t, w)
	})
}

func prompt(tokens int) string { return strings.Repeat("abc ", tokens) }

// Guards against a broken path from caller to engine and service.
func TestWholePath(t *testing.T) {
	inSmallWorld(t, func(t *testing.T, w *world) {
		wantWhole(t, w.complete(context.Background(), "entry-0", testKey, prompt(3000), 30), prompt(3000), 30)
		if a := w.book(context.Background(), "entry-1", "b1", nil); !a.whole || a.status != 200 {
			t.Errorf("booking: %+v", a)
		}
		time.Sleep(5 * time.Second)
		if blocks := w.held(); blocks != 0 {
			t.Errorf("engines hold %d blocks after the end", blocks)
		}
	})
}
