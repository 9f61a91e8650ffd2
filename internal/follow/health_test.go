package follow

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

// Guards against followers that each ask a service which does not answer, and against those that go on late or never after it
// answers again.
func TestFollowersShareOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var changes []bool
		health := NewHealth(func() time.Duration { return 2 * time.Second }, func(available bool) { changes = append(changes, available) })
		var down atomic.Bool
		var calls [4]atomic.Int64
		for i := range calls {
			go Poll(ctx, PollOptions{
				Name: "list", Interval: func() time.Duration { return time.Second }, Status: Status{Logger: zap.NewNop(), Health: health},
				Read: func(context.Context) error {
					calls[i].Add(1)
					if down.Load() {
						return kv.ErrUnavailable
					}
					return nil
				},
			})
		}
		total := func() (sum int64) {
			for i := range calls {
				sum += calls[i].Load()
			}
			return sum
		}
		time.Sleep(1500 * time.Millisecond)
		down.Store(true)
		before := total()
		time.Sleep(20 * time.Second)
		if made := total() - before; made < 10 || made > 24 {
			t.Errorf("%d calls in an outage of 20 s", made)
		}
		if health.Available() {
			t.Error("the service counts as available")
		}
		down.Store(false)
		for i := range calls {
			calls[i].Store(0)
		}
		health.TryNow()
		time.Sleep(10 * time.Millisecond)
		for i := range calls {
			if calls[i].Load() != 1 {
				t.Errorf("follower %d made %d calls when the service answered again", i, calls[i].Load())
			}
		}
		if len(changes) != 2 || changes[0] || !changes[1] {
			t.Errorf("changes %v", changes)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a follower that asks all the time because only its own calls fail.
func TestFollowerThatFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		health := NewHealth(func() time.Duration { return 2 * time.Second }, func(bool) {})
		calls := 0
		poll := func(read func(context.Context) error) {
			go Poll(ctx, PollOptions{
				Name: "list", Interval: func() time.Duration { return 10 * time.Millisecond }, Status: Status{Logger: zap.NewNop(), Health: health}, Read: read,
			})
		}
		poll(func(context.Context) error { return nil })
		poll(func(context.Context) error { calls++; return kv.ErrUnavailable })
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		if calls > 30 {
			t.Errorf("%d calls in 10 s", calls)
		}
	})
}

// Guards against processes that watch a key although others tell them of new values, and against those that do not watch it again when
// the others do not any more.
func TestKeyThatOthersFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.New(memory.Options{})
		store.Put("config", []byte("1"))
		var elsewhere atomic.Bool
		var values []string
		go WatchKey(ctx, store, "config", Status{Logger: zap.NewNop()}, elsewhere.Load, func(pair kv.Pair) { values = append(values, string(pair.Value)) })
		change := func(value string, want ...string) {
			t.Helper()
			time.Sleep(time.Second)
			store.Put("config", []byte(value))
			time.Sleep(time.Second)
			if !slices.Equal(values, want) {
				t.Errorf("after %q: got %q, want %q", value, values, want)
			}
		}
		change("2", "1", "2")
		elsewhere.Store(true)
		change("3", "1", "2")
		change("4", "1", "2")
		elsewhere.Store(false)
		change("5", "1", "2", "4", "5")
		cancel()
		synctest.Wait()
	})
}

// Guards against followers that hang because the pause between two calls is looked up, under the mutex of another component, while Health is
// locked, and that component calls Health.
func TestPauseIsLookedUpWithoutLock(t *testing.T) {
	var health *Health
	health = NewHealth(func() time.Duration {
		health.TryNow()
		return time.Millisecond
	}, func(bool) {})
	done := make(chan struct{})
	go func() {
		defer close(done)
		health.failed()
		health.failed()
		health.wait(t.Context())
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the followers hang")
	}
}
