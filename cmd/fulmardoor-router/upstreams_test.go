package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/follow"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
	"github.com/fulmardoor/fulmardoor/platform"
	"github.com/fulmardoor/fulmardoor/platform/platformtest"
)

// eachIn returns the each function of an in-memory store.
func eachIn(store *memory.Store) func(ctx context.Context, prefix string, visit func(kv.Pair)) (int64, error) {
	return func(ctx context.Context, prefix string, visit func(kv.Pair)) (int64, error) {
		pairs, revision, err := store.List(ctx, prefix)
		for _, pair := range pairs {
			visit(pair)
		}
		return revision, err
	}
}

// pollUpstreams reads the upstreams of a store every second, as a process without others does, until ctx ends. It calls apply after each read.
func pollUpstreams(ctx context.Context, store *memory.Store, apply func(f *upstreamFeed, update *feedUpdate)) {
	entries := newUpstreamEntries(eachIn(store), zap.NewNop())
	health := follow.NewHealth(func() time.Duration { return readerStorePause }, func(bool) {})
	feed := &upstreamFeed{
		interval: time.Second, storeLostAt: health.FailedAt,
		known: upstreamlist.New(upstreamListOptions(&platform.Settings{UpstreamHeartbeat: 1200 * time.Millisecond})),
	}
	follow.Poll(ctx, follow.PollOptions{
		Read: func(ctx context.Context) error {
			reading, err := entries.list(ctx)
			if err != nil {
				return err
			}
			apply(feed, feed.apply(func(known *upstreamlist.Known) *upstreamlist.List { return known.Read(reading) }))
			return nil
		},
		Interval: feed.pause, Name: "store: upstreams", Status: follow.Status{Logger: zap.NewNop(), Health: health},
	})
}

// Guards against sending work to an upstream that left while this process was cut off from the store: after an outage,
// missing upstreams are kept apart from the listed ones, and dropped after the grace period.
func TestListAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(memory.Options{})
		for _, id := range []string{"a", "b"} {
			store.Put("servers/"+id, platformtest.Entry{Service: "ledger", Address: "10.0.0.1:80", Zone: "demo", Slots: 6}.Text())
		}
		ctx, cancel := context.WithCancel(t.Context())
		var listed, missing atomic.Int64
		done := make(chan struct{})
		go func() {
			defer close(done)
			pollUpstreams(ctx, store, func(f *upstreamFeed, update *feedUpdate) {
				listed.Store(int64(len(update.listed.Upstreams)))
				missing.Store(int64(f.missing()))
			})
		}()
		want := func(p, m int64) {
			t.Helper()
			synctest.Wait()
			if listed.Load() != p || missing.Load() != m {
				t.Errorf("%d listed and %d missing, want %d and %d", listed.Load(), missing.Load(), p, m)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		want(2, 0)
		store.SetFaults(memory.Faults{Down: true})
		time.Sleep(3 * time.Second)
		store.Remove("servers/b")
		store.SetFaults(memory.Faults{})
		time.Sleep(1200 * time.Millisecond)
		want(1, 1)
		time.Sleep(3 * time.Second)
		want(1, 0)
		store.Remove("servers/a")
		time.Sleep(2 * time.Second)
		want(0, 0)
		cancel()
		<-done
	})
}

// Guards against log lines for each odd entry at every list, twice a second.
func TestOddEntriesAreLoggedOnce(t *testing.T) {
	store := memory.New(memory.Options{})
	core, logs := observer.New(zapcore.InfoLevel)
	entries := newUpstreamEntries(eachIn(store), zap.New(core))
	list := func() (found int) {
		t.Helper()
		reading, err := entries.list(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return len(reading.Upstreams)
	}
	wantLines := func(what string, most int) {
		t.Helper()
		if lines := len(logs.TakeAll()); lines == 0 && most > 0 || lines > most {
			t.Errorf("%s: %d log lines, want at most %d", what, lines, most)
		}
	}
	const odd = 2000
	for i := range odd {
		store.Put(fmt.Sprintf("servers/i-%d", i), []byte(strings.Repeat("[", i)))
	}
	store.Put("servers/i-sound", platformtest.Entry{Service: "ledger", Address: "10.0.0.1:80", Zone: "demo", Slots: 6}.Text())
	if found := list(); found != 1 {
		t.Errorf("%d upstreams", found)
	}
	wantLines("first list", maxOddEntriesLogged+1)
	for range 10 {
		list()
	}
	wantLines("further lists", 0)
	store.Put("servers/i-7", []byte("another text that can't be read"))
	list()
	wantLines("same problem with another value", 0)
	store.Put("servers/i-7", []byte("{}"))
	list()
	wantLines("another problem", 1)
	store.Put("servers/i-7", platformtest.Entry{Service: "ledger", Address: "10.0.0.2:80", Zone: "demo", Slots: 6}.Text())
	if found := list(); found != 2 {
		t.Errorf("%d upstreams after an odd entry became sound", found)
	}
	wantLines("sound again", 1)
	for i := range odd {
		store.Remove(fmt.Sprintf("servers/i-%d", i))
	}
	list()
	if len(entries.known) != 1 {
		t.Errorf("%d entries are kept of 1", len(entries.known))
	}
}

// Guards against a process that ends for lack of memory because a list has many long entries: it kept all of them twice.
func TestListOfLongEntriesNeedsOnePage(t *testing.T) {
	const pages, valueBytes = 100, 1 << 20
	value := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("["), valueBytes))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page := 0
		_, _ = fmt.Sscanf(r.URL.Query().Get("after"), "servers/i-%d", &page)
		fmt.Fprintf(w, `{"items":[{"key":"servers/i-%03d","value":%q,"rev":5}],"more_pages":%t,"current_rev":9}`, page+1, value, page+1 < pages)
	}))
	defer server.Close()
	store := platform.NewStore(platform.StoreOptions{Address: server.Listener.Addr().String(), Pool: upstreamconn.New(nil), CallTimeout: 5 * time.Second})
	liveBytes := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := liveBytes()
	entries := newUpstreamEntries(store.Each, zap.NewNop())
	reading, err := entries.list(t.Context())
	if err != nil || len(reading.Odd) != pages {
		t.Fatalf("%d odd entries, %v", len(reading.Odd), err)
	}
	if kept := int64(liveBytes()) - int64(before); kept > 4*valueBytes {
		t.Errorf("%d bytes are kept of %d", kept, pages*valueBytes)
	}
	runtime.KeepAlive(reading)
}

// Guards against requests for a runner whose entry turned odd, also within the time after an outage in which the last entry of a missing one counts,
// against an end of the requests that it runs, and against a runner that stays away although its entry is sound again.
func TestRunnerWhoseEntryTurnsOdd(t *testing.T) {
	for _, odd := range []string{"", "{}", strings.Repeat("[", 20_000), `{"service":"ledger","address":"10.0.0.1:99999","zone":"demo","slots":1e99,"state":"ready"}`} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New(memory.Options{})
			sound := platformtest.Entry{Service: "ledger", Address: "10.0.0.1:80", Zone: "demo", Slots: 6}.Text()
			store.Put("servers/i-a", sound)
			board := placement.NewBoard("demo", nil)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				pollUpstreams(ctx, store, func(_ *upstreamFeed, update *feedUpdate) { board.Update(update.upstreams); board.Sweep() })
			}()
			picked := func() bool {
				_, ok := board.PickPlain(placement.Query{Service: &fleet.Service{Name: "ledger"}, Now: time.Now()})
				return ok
			}
			want := func(what string, wanted bool) {
				t.Helper()
				synctest.Wait()
				if picked() != wanted {
					t.Errorf("%s, entry %.40s: picked %v", what, odd, !wanted)
				}
			}
			time.Sleep(1500 * time.Millisecond)
			want("sound", true)
			work := board.BeginRun("i-a", 0)
			store.Put("servers/i-a", []byte(odd))
			time.Sleep(time.Second)
			want("odd", false)
			if board.Own()["i-a"].Running != 1 {
				t.Errorf("its request is no longer counted")
			}
			store.Put("servers/i-a", sound)
			time.Sleep(time.Second)
			want("sound again", true)
			work.End()
			store.SetFaults(memory.Faults{Down: true})
			time.Sleep(3 * time.Second)
			store.Put("servers/i-a", []byte(odd))
			store.SetFaults(memory.Faults{})
			time.Sleep(500 * time.Millisecond)
			want("odd after an outage", false)
			store.Put("servers/i-a", sound)
			time.Sleep(time.Second)
			want("sound after an outage", true)
			store.SetFaults(memory.Faults{Down: true})
			time.Sleep(3 * time.Second)
			store.Remove("servers/i-a")
			store.SetFaults(memory.Faults{})
			time.Sleep(500 * time.Millisecond)
			want("missing after an outage", true)
			time.Sleep(4 * time.Second)
			want("missing for longer", false)
			cancel()
			<-done
		})
	}
}

// Guards against requests that a router forwards to itself or to the store, because an entry of another writer names that address: each comes back as a
// new request until its deadline.
func TestEntryWithAddressOfThisProcess(t *testing.T) {
	store := memory.New(memory.Options{})
	s := &platform.Settings{Host: "10.0.0.9", FirstPort: 7500, CallerAddress: "10.0.0.9:8360", ReadyAddress: "10.0.0.9:8365", StoreAddress: "10.0.0.8:8361"}
	entries := newUpstreamEntries(eachIn(store), zap.NewNop())
	entries.reserve(s.CallerAddress, s.ReadyAddress, s.StoreAddress, "10.0.0.9:7500")
	for i, address := range []string{"10.0.0.9:8360", "[::ffff:10.0.0.9]:8360", "10.0.0.9:8365", "10.0.0.8:8361", "10.0.0.9:7500", "10.0.0.9:8361"} {
		store.Put(fmt.Sprintf("servers/i-%d", i), platformtest.Entry{Service: "ledger", Address: address, Zone: "demo", Slots: 6}.Text())
	}
	reading, err := entries.list(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if list := reading.Upstreams; len(list) != 1 || list[0].Address != "10.0.0.9:8361" {
		t.Errorf("%d upstreams", len(list))
	}
}
