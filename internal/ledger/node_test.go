package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

func reasonOf(err error) wirev1.Reason {
	if err == nil {
		return wirev1.Reason_REASON_UNSPECIFIED
	}
	return verdict.As(err).Reason
}

func chargeWithin(n *Node, d time.Duration, id *wirev1.CallID, account string, tokens uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return n.Charge(ctx, id, account, tokens, nil)
}

// Guards against wrong refusals of charges from any node to any owner.
func TestChargeFromEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := limitTable{"kilimo": {Rate: 100, Burst: 1000}, "msasani": {Rate: 100, Burst: 1000}}
		f := newFleet(t, 1, 4, limits, "a", "b", "c")
		f.start("a", "b", "c")
		defer f.stop()
		time.Sleep(2 * time.Second)
		for _, name := range []string{"a", "b", "c"} {
			for account := range limits {
				if err := chargeWithin(f.node(name), time.Second, f.id(), account, 250); err != nil {
					t.Errorf("charge by %s for %s: %v", name, account, err)
				}
			}
		}
		err := chargeWithin(f.node("a"), time.Second, f.id(), "kilimo", 750)
		if r := verdict.As(err); r.Reason != wirev1.Reason_REASON_RATE_EXCEEDED || r.RetryAfter < 6*time.Second {
			t.Errorf("charge over the rate: %v, retry after %v", err, r.RetryAfter)
		}
		if got := reasonOf(chargeWithin(f.node("b"), time.Second, f.id(), "kilimo", 801)); got !=
			wirev1.Reason_REASON_REQUEST_TOO_LARGE_FOR_BURST {
			t.Errorf("charge over the capacity: %v", got)
		}
		if got := reasonOf(chargeWithin(f.node("b"), time.Second, f.id(), "nobody", 1)); got !=
			wirev1.Reason_REASON_UNKNOWN_ACCOUNT {
			t.Errorf("unknown account: %v", got)
		}
	})
}

// Guards against a lost or late write that is believed not to be done, or to be done when another node's was.
func TestSwapOutcome(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(f *fakeStore)
		written bool
		least   time.Duration
	}{
		{"no fault", func(*fakeStore) {}, true, 0},
		{"unavailable", func(f *fakeStore) { f.down = true }, false, 0},
		{"answer lost", func(f *fakeStore) { f.loseRate = 1 }, true, 0},
		{"write takes effect late", func(f *fakeStore) { f.loseRate, f.late = 1, 3*time.Second }, true, 3 * time.Second},
		{"other write first", func(f *fakeStore) { _, _ = f.swap("key", []byte("{}"), 1) }, false, 0},
		{"other write while in doubt", func(f *fakeStore) {
			f.loseRate, f.late = 1, time.Hour
			time.AfterFunc(2*time.Second, func() { f.set(func(f *fakeStore) { _, _ = f.swap("key", []byte("{}"), 1) }) })
		}, false, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore(1)
				store.set(func(f *fakeStore) { _, _ = f.swap("key", []byte("first"), 0) })
				store.set(test.fault)
				begun := time.Now()
				result, ok := swap(t.Context(), store, "key", record{Owner: "a", Epoch: 2}, 1)
				if !ok || result.written != test.written || time.Since(begun) < test.least {
					t.Errorf("written %v after %v, certain %v", result.written, time.Since(begun), ok)
				}
			})
		})
	}
}
