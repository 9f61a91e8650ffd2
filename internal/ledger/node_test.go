package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
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
	inFleet(t, 4, limitTable{"kilimo": {Rate: 100, Burst: 1000}, "msasani": {Rate: 100, Burst: 1000}}, fleetNames, func(t *testing.T, f *fleet) {
		time.Sleep(2 * time.Second)
		for _, name := range fleetNames {
			for account := range f.limits {
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
		fault   func(s *memory.Store)
		written bool
		least   time.Duration
	}{
		{"no fault", func(*memory.Store) {}, true, 0},
		{"unavailable", func(s *memory.Store) { s.SetFaults(memory.Faults{Down: true}) }, false, 0},
		{"answer lost", func(s *memory.Store) { s.SetFaults(memory.Faults{LoseRate: 1}) }, true, 0},
		{"write takes effect late", func(s *memory.Store) {
			s.SetFaults(memory.Faults{LoseRate: 1, LateBy: 3 * time.Second})
		}, true, 3 * time.Second},
		{"outage while in doubt", func(s *memory.Store) {
			s.SetFaults(memory.Faults{LoseRate: 1, LateBy: 3 * time.Second})
			time.AfterFunc(10*time.Millisecond, func() { s.ChangeFaults(func(f *memory.Faults) { f.Down = true }) })
			time.AfterFunc(2*time.Second, func() { s.ChangeFaults(func(f *memory.Faults) { f.Down = false }) })
		}, true, 3 * time.Second},
		{"other write first", func(s *memory.Store) { s.Put("key", []byte("{}")) }, false, 0},
		{"other write while in doubt", func(s *memory.Store) {
			s.SetFaults(memory.Faults{LoseRate: 1, LateBy: time.Hour})
			time.AfterFunc(2*time.Second, func() { s.Put("key", []byte("{}")) })
		}, false, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore(1)
				first := store.Put("key", []byte("first"))
				test.fault(store)
				begun := time.Now()
				result, ok := swap(t.Context(), store, "key", record{Owner: "a", Epoch: 2}, first)
				if !ok || result.written != test.written || time.Since(begun) < test.least {
					t.Errorf("written %v after %v, certain %v", result.written, time.Since(begun), ok)
				}
			})
		})
	}
}

// slowPromises is a network on which every promise is given at once and its reply takes 900 ms.
type slowPromises struct{}

func (slowPromises) Call(_ context.Context, _ string, open *wirev1.StreamOpen, reply proto.Message) error {
	time.Sleep(900 * time.Millisecond)
	proto.Merge(reply, &wirev1.PromiseReply{
		TermMs: uint32(PromiseTerm.Milliseconds()), Promised: open.GetPromise().GetShards(),
	})
	return nil
}

// Guards against a confirmation that counts from the answer of a read or a promise, which may have waited while another
// node became the owner, and against a promise of a node whose own write of the record is in doubt.
func TestConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Config{Self: "b", Shards: 1, Logger: zap.NewNop(), Network: slowPromises{}})
		s := n.shards[0]
		s.record, s.revision = record{Owner: "a", Successor: "b", Epoch: 7}, 3
		request := &wirev1.PromiseRequest{Shards: []*wirev1.ShardEpoch{{Epoch: 7}}}
		for _, writing := range []bool{false, true} {
			s.writing = writing
			if promised := len(n.HandlePromise(t.Context(), request).GetPromised()) > 0; promised == writing {
				t.Errorf("promised %v while writing %v", promised, writing)
			}
		}
		sent := time.Now()
		time.Sleep(time.Second)
		s.held = true
		n.apply(s, kv.Pair{ModRevision: 3}, sent)
		if !s.confirmed(sent.Add(PromiseTerm-1)) || s.confirmed(sent.Add(PromiseTerm)) {
			t.Errorf("confirmed until %v after the read was sent", s.readUntil.Sub(sent))
		}
		sent = time.Now()
		n.askPromise(t.Context(), "b", request)
		if !s.confirmed(sent.Add(PromiseTerm-1)) || s.confirmed(sent.Add(PromiseTerm)) {
			t.Errorf("confirmed until %v after the promise was asked for", s.promiseUntil.Sub(sent))
		}
	})
}

// Guards against a write that is begun while the store does not answer reads: in doubt, it would keep the node from giving
// promises until the store is back.
func TestNoWriteWithoutRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(memory.Options{Faults: memory.Faults{Hanging: true}})
		members := &memberList{names: fleetNames}
		n := New(Config{Self: "a", Shards: 1, Store: store, Members: members, Logger: zap.NewNop()})
		s := n.shards[0]
		s.record, s.revision, s.held = record{Owner: "a", Epoch: 1}, 2, true
		n.maintain(t.Context())
		if calls := store.Calls(); calls.Reads != 1 || calls.Writes != 0 || s.writing {
			t.Errorf("%+v, writing %v", calls, s.writing)
		}
	})
}
