package memory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// Guards against calls that escape the count by which the platform's rates are judged.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		ctx, cancel := context.WithCancel(t.Context())
		updates, _ := s.Watch(ctx, "", 0)
		go func() {
			for range updates {
			}
		}()
		if _, err := s.CompareAndSwap(ctx, "a", nil, 0, 0); err != nil {
			t.Fatal(err)
		}
		_, _ = s.CompareAndSwap(ctx, "a", nil, 0, 0)
		lease, _ := s.GrantLease(ctx, time.Minute)
		_ = s.RenewLease(ctx, lease)
		_, _ = s.Get(ctx, "a")
		time.Sleep(3500 * time.Millisecond)
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
		s.SetFaults(Faults{Down: true})
		_, _, _ = s.List(t.Context(), "")
		want := Calls{Reads: 3, Writes: 4, WatchSeconds: 3, Refused: 1}
		if got := s.Calls(); got != want || got.Total() != 10 {
			t.Errorf("calls %+v, want %+v", got, want)
		}
	})
}

// Guards against an outage in the second half of a slow write that is reported as a success, and against a watch that
// overlooks an outage that was already over when it ran.
func TestShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Faults: Faults{Delay: time.Second}})
		updates, err := s.Watch(t.Context(), "", 0)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(700*time.Millisecond, func() {
			s.SetFaults(Faults{Down: true})
			s.SetFaults(Faults{})
		})
		if _, err := s.CompareAndSwap(t.Context(), "a", nil, 0, 0); !errors.Is(err, kv.ErrOutcomeUnknown) {
			t.Errorf("swap: %v", err)
		}
		for u := range updates {
			err = u.Err
		}
		if !errors.Is(err, kv.ErrUnavailable) {
			t.Errorf("watch ended with %v", err)
		}
	})
}

// Guards against a history that grows without bound or splits a revision when it is cut.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{History: 5})
		lease, _ := s.GrantLease(t.Context(), time.Minute)
		for i := range 4 {
			if _, err := s.CompareAndSwap(t.Context(), fmt.Sprint(i), nil, 0, lease); err != nil {
				t.Fatal(err)
			}
		}
		_ = s.RevokeLease(t.Context(), lease) // One revision with 4 events.
		if len(s.log) != 5 || s.Compacted() != 4 {
			t.Errorf("%d events, compacted at %d", len(s.log), s.Compacted())
		}
		_, _ = s.CompareAndSwap(t.Context(), "a", nil, 0, 0)
		_, _ = s.CompareAndSwap(t.Context(), "b", nil, 0, 0)
		if len(s.log) != 2 || s.Compacted() != 6 {
			t.Errorf("%d events, compacted at %d", len(s.log), s.Compacted())
		}
	})
}

// model is a naive form of the store: a map and a list of all events.
type model struct {
	revision int64
	pairs    map[string]kv.Pair
	events   []kv.Event
}

func (m *model) swap(key string, value byte, revision int64) (int64, error) {
	if m.pairs[key].ModRevision != revision {
		return 0, kv.ErrConflict
	}
	m.revision++
	m.pairs[key] = kv.Pair{Key: key, Value: []byte{value}, ModRevision: m.revision}
	m.events = append(m.events, kv.Event{Pair: m.pairs[key]})
	return m.revision, nil
}

func (m *model) remove(key string, revision int64) (int64, error) {
	old, ok := m.pairs[key]
	if old.ModRevision != revision {
		return 0, kv.ErrConflict
	}
	if ok {
		m.revision++
		delete(m.pairs, key)
		m.events = append(m.events, kv.Event{Pair: kv.Pair{Key: key, ModRevision: m.revision}, Deleted: true})
	}
	return m.revision, nil
}

// step runs one operation, coded in a number, on both and tells whether they agree.
func step(ctx context.Context, s *Store, m *model, code int) bool {
	key := fmt.Sprint(code % 4)
	value := byte(code / 4)
	// One in four operations uses a revision that is mostly outdated.
	revision := m.pairs[key].ModRevision
	if code/64%4 == 0 {
		revision = int64(code / 256 % 8)
	}
	var got, want int64
	var gotErr, wantErr error
	if code/16%4 == 0 {
		got, gotErr = s.Delete(ctx, key, revision)
		want, wantErr = m.remove(key, revision)
	} else {
		got, gotErr = s.CompareAndSwap(ctx, key, []byte{value}, revision, 0)
		want, wantErr = m.swap(key, value, revision)
	}
	pair, err := s.Get(ctx, key)
	wantPair, exists := m.pairs[key]
	return got == want && errors.Is(gotErr, wantErr) && (err == nil) == exists &&
		fmt.Sprint(pair) == fmt.Sprint(wantPair)
}

// watched collects the events of a watch up to a revision.
func watched(updates <-chan kv.WatchUpdate, revision int64) (events []kv.Event) {
	const maxUpdates = 1000
	for range maxUpdates {
		u := <-updates
		events = append(events, u.Events...)
		if u.Revision >= revision || u.Err != nil {
			return events
		}
	}
	return events
}

// Guards against any difference between the store and a naive map in values, revisions, errors and watched events.
func TestAgainstModel(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("agrees with a map", prop.ForAll(func(codes []int) bool {
		agrees := true
		synctest.Test(t, func(t *testing.T) {
			s := New(Options{})
			m := &model{revision: firstRevision, pairs: make(map[string]kv.Pair)}
			live, _ := s.Watch(t.Context(), "", firstRevision)
			for _, code := range codes {
				agrees = agrees && step(t.Context(), s, m, code)
			}
			late, _ := s.Watch(t.Context(), "", firstRevision)
			want := fmt.Sprint(m.events)
			agrees = agrees && fmt.Sprint(watched(live, m.revision)) == want
			agrees = agrees && fmt.Sprint(watched(late, m.revision)) == want
		})
		return agrees
	}, gen.SliceOf(gen.IntRange(0, 1<<16))))
	properties.TestingRun(t)
}

// Guards against a fault that fails calls in another way than its comment says, which would leave the tests that rely on
// it without effect.
func TestFaultsOfWritesAndReads(t *testing.T) {
	tests := []struct {
		name     string
		faults   Faults
		swapErr  error
		took     time.Duration
		soon     bool  // the write is in the store when the call has ended
		later    bool  // the write is in the store after a minute
		listedAt int64 // revision of a list after a minute; 0 for an error
	}{
		{"none", Faults{}, nil, 0, true, true, 3},
		{"hanging", Faults{Hanging: true}, kv.ErrOutcomeUnknown, time.Second, false, false, 0},
		{"answers lost", Faults{LoseRate: 1}, kv.ErrOutcomeUnknown, 0, true, true, 3},
		{"late", Faults{LoseRate: 1, LateBy: 5 * time.Second}, kv.ErrOutcomeUnknown, 0, false, true, 3},
		{"one late", Faults{LoseAnswers: 1, LateBy: 5 * time.Second}, kv.ErrOutcomeUnknown, 0, false, true, 3},
		{"only late if lost", Faults{LateBy: 5 * time.Second}, nil, 0, true, true, 3},
		{"old lists", Faults{OldLists: true}, nil, 0, true, true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{})
				first := s.Put("key", nil)
				s.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				begun := time.Now()
				_, err := s.CompareAndSwap(ctx, "key", []byte("new"), first, 0)
				written := func() bool { return len(s.Contents("key")[0].Value) > 0 }
				if !errors.Is(err, test.swapErr) || time.Since(begun) != test.took || written() != test.soon {
					t.Errorf("%v after %v, written %v", err, time.Since(begun), written())
				}
				time.Sleep(time.Minute)
				ctx, cancel = context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if _, revision, _ := s.List(ctx, ""); written() != test.later || revision != test.listedAt {
					t.Errorf("after a minute: written %v, listed revision %d", written(), revision)
				}
			})
		})
	}
}

// Guards against watches that go on delivering under the faults that silence them, or lose what they held back.
func TestSilentWatches(t *testing.T) {
	for _, test := range []struct {
		faults          Faults
		events, notices int // in 10 s, with one change
	}{
		{Faults{}, 1, 20}, {Faults{NoProgress: true}, 1, 0}, {Faults{Hanging: true}, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := New(Options{})
			updates, err := s.Watch(t.Context(), "", 0)
			if err != nil {
				t.Fatal(err)
			}
			s.SetFaults(test.faults)
			events, notices := 0, 0
			go func() {
				for u := range updates {
					events += len(u.Events)
					if len(u.Events) == 0 {
						notices++
					}
				}
			}()
			time.Sleep(250 * time.Millisecond)
			s.Put("key", nil)
			time.Sleep(10 * time.Second)
			synctest.Wait()
			if events != test.events || notices != test.notices {
				t.Errorf("%+v: %d events, %d notices", test.faults, events, notices)
			}
			s.SetFaults(Faults{})
			time.Sleep(time.Second)
			synctest.Wait()
			if events != 1 {
				t.Errorf("%+v: %d events after the fault", test.faults, events)
			}
		})
	}
}
