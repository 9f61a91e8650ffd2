package follow

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/kvtest"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

func newTestMembers(store kv.Store, name string, ttl time.Duration) *Members {
	return NewMembers(MemberOptions{
		Store: store, List: store.List, Prefix: "entries/", Name: name, Value: []byte("10.0.0.1:7500"), LeaderKey: "leader", TTL: ttl,
		HistoryChanged: func() <-chan struct{} { return nil }, Status: Status{Logger: zap.NewNop()},
	}, func(int) {}, func(map[string]string) {})
}

// Guards against entries of another writer that count as members: each takes a share of the fleet's limits and is dialled again and again, and
// one whose name sorts first leaves the fleet without a leader. Guards against a log line for each at every list, too.
func TestOddMembersAreNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(memory.Options{})
		for i, value := range []string{"", "{}", "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9", "host.example:7500", ":7500", "\xff\xfe", strings.Repeat("[", 1<<20)} {
			store.Put(fmt.Sprintf("entries/a-odd-%d", i), []byte(value))
		}
		store.Put("entries/", []byte("10.0.0.8:7500"))
		core, logs := observer.New(zapcore.WarnLevel)
		var count int
		var values map[string]string
		members := NewMembers(MemberOptions{
			Store: store, List: store.List, Prefix: "entries/", Name: "front-1", Value: []byte("10.0.0.1:7500"), LeaderKey: "leader", TTL: 9 * time.Second,
			Check: func(value []byte) error { return fleet.CheckAddress(string(value)) }, ShrinkDelay: time.Second,
			HistoryChanged: func() <-chan struct{} { return nil }, Status: Status{Logger: zap.New(core)},
		}, func(n int) { count = n }, func(list map[string]string) { values = list })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); members.Run(ctx) }()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if count != 1 || len(values) != 1 || values["front-1"] != "10.0.0.1:7500" {
			t.Errorf("%d members: %.200s", count, fmt.Sprint(values))
		}
		if pair, err := store.Get(t.Context(), "leader"); err != nil || string(pair.Value) != "front-1" {
			t.Errorf("leader %q, %v", pair.Value, err)
		}
		lines := logs.TakeAll()
		if len(lines) == 0 || len(lines) > 1 {
			t.Errorf("%d log lines after several lists, want 1", len(lines))
		}
		store.Put("entries/a-odd-0", []byte("10.0.0.2:7500"))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if count != 2 || values["a-odd-0"] != "10.0.0.2:7500" {
			t.Errorf("%d members after an odd entry became sound: %.200s", count, fmt.Sprint(values))
		}
		cancel()
		<-done
	})
}

// Guards against a fleet without a leader for good, because another writer left the leader's key: it has no lease that ends. A key with a lease is
// that of a process, and stays.
func TestLeaderKeyOfAnotherWriter(t *testing.T) {
	for _, leased := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New(memory.Options{})
			lease := int64(0)
			if leased {
				var err error
				if lease, err = store.GrantLease(t.Context(), time.Minute); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := store.CompareAndSwap(t.Context(), "leader", []byte("[[["), 0, lease); err != nil {
				t.Fatal(err)
			}
			members := newTestMembers(store, "front-1", 9*time.Second)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); members.Run(ctx) }()
			time.Sleep(10 * time.Second)
			synctest.Wait()
			if pair, err := store.Get(t.Context(), "leader"); err != nil || (string(pair.Value) == "front-1") == leased {
				t.Errorf("key with a lease %v: %q, %v", leased, pair.Value, err)
			}
			cancel()
			<-done
		})
	}
}

// Guards against a leader that was cut off from the store and gives orders when it returns, although another process took over, against orders of both
// within the time that the platform asks for between them, and against a fencing number that does not grow.
func TestLeaderThatWasCutOff(t *testing.T) {
	const ttl = 1800 * time.Millisecond
	shared := memory.New(memory.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var gates []*kvtest.Gate
	var processes []*Members
	var running sync.WaitGroup
	for i := range 3 {
		gate := kvtest.NewGate(shared)
		members := newTestMembers(gate, fmt.Sprintf("front-%d", i), ttl)
		gates, processes = append(gates, gate), append(processes, members)
		running.Go(func() { members.Run(ctx) })
	}
	type order struct {
		process int
		fence   int64
		at      time.Time
	}
	var last order
	// watch notes who may give orders, until done returns true.
	watch := func(what string, done func() bool) {
		t.Helper()
		for deadline := time.Now().Add(4 * (ttl + TakeoverDelay)); !done(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: did not happen; the last one to give orders is process %d", what, last.process)
			}
			for i, members := range processes {
				fence, ok := members.Leadership().Fence()
				if !ok {
					continue
				}
				if next := (order{i, fence, time.Now()}); next.fence != last.fence {
					if next.fence < last.fence || last.fence != 0 && next.at.Sub(last.at) < 3*time.Second {
						t.Errorf("process %d may give orders with fence %d, process %d with %d %v before", i, fence, last.process, last.fence, next.at.Sub(last.at))
					}
					last = next
				}
				last.at = time.Now()
			}
		}
	}
	watch("a process leads", func() bool { return last.fence != 0 })
	cut := last.process
	gates[cut].Set(kvtest.CutOff)
	watch("another one leads", func() bool { return last.process != cut })
	gates[cut].Set(kvtest.Open)
	returned := time.Now()
	watch("some time passes", func() bool { return time.Since(returned) > ttl+TakeoverDelay })
	if _, ok := processes[cut].Leadership().Fence(); ok || last.process == cut {
		t.Error("the process that was cut off leads again, beside the other one")
	}
	cancel()
	running.Wait()
}
