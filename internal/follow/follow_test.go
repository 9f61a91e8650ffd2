package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

// Guards against a watch that, after the store compacted its history, is restarted at the same compacted revision in a
// loop: it made 70 calls a second.
func TestKeyAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(memory.Options{})
		store.Put("config", []byte("1"))
		for range 10 {
			store.Put("other", []byte("x"))
		}
		store.Compact(store.Revision() - 1)
		ctx, cancel := context.WithCancel(t.Context())
		var seen []string
		done := make(chan struct{})
		go func() {
			defer close(done)
			WatchKey(ctx, store, "config", Status{Logger: zap.NewNop()}, nil, func(pair kv.Pair) { seen = append(seen, string(pair.Value)) })
		}()
		time.Sleep(10 * time.Second)
		before := store.Calls().Total()
		store.Put("config", []byte("2"))
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if len(seen) != 2 || seen[1] != "2" {
			t.Errorf("values %v, want 1 and 2", seen)
		}
		if before > 20 {
			t.Errorf("%d calls in 10 s", before)
		}
	})
}

// Guards against sending work to an upstream that left while this process was cut off from the store: after an outage,
// missing pairs are reported separately from the present ones, and dropped after the grace period.
func TestListAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(memory.Options{})
		store.Put("up/a", nil)
		store.Put("up/b", nil)
		ctx, cancel := context.WithCancel(t.Context())
		var present, missing atomic.Int64
		done := make(chan struct{})
		go func() {
			defer close(done)
			PollList(ctx, PollOptions{
				List: func(ctx context.Context) ([]kv.Pair, error) {
					pairs, _, err := store.List(ctx, "up/")
					return pairs, err
				},
				Interval: time.Second, MissingGrace: 2 * time.Second, Status: Status{Logger: zap.NewNop()},
			}, func(p, m []kv.Pair) {
				present.Store(int64(len(p)))
				missing.Store(int64(len(m)))
			})
		}()
		want := func(p, m int64) {
			t.Helper()
			synctest.Wait()
			if present.Load() != p || missing.Load() != m {
				t.Errorf("%d present and %d missing, want %d and %d", present.Load(), missing.Load(), p, m)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		want(2, 0)
		store.SetFaults(memory.Faults{Down: true})
		time.Sleep(3 * time.Second)
		store.Remove("up/b")
		store.SetFaults(memory.Faults{})
		time.Sleep(1200 * time.Millisecond)
		want(1, 1)
		time.Sleep(3 * time.Second)
		want(1, 0)
		store.Remove("up/a")
		time.Sleep(2 * time.Second)
		want(0, 0)
		cancel()
		<-done
	})
}
