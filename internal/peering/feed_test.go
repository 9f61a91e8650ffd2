package peering

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// fedList records the lists of upstreams that a process got.
type fedList struct {
	mu     sync.Mutex
	list   []*fleet.Upstream
	readAt time.Time
	count  int
}

func (l *fedList) set(list []*fleet.Upstream, readAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list, l.readAt, l.count = list, readAt, l.count+1
}

// ids returns the ids of the upstreams, each with ! if it is leaving.
func (l *fedList) ids() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, upstream := range l.list {
		id := upstream.ID
		if upstream.Leaving {
			id += "!"
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Guards against processes of a large fleet that do not learn from the one reader which upstreams there are, in calm and after the reader and a relay
// were lost, and that take an old list for a new one.
func TestUpstreamsReachLargeFleet(t *testing.T) {
	f := startFleet(t, 20, 3)
	// publish is what a process does that reads the list from the store.
	publish := func(n *node, readAt time.Time, ids ...string) {
		var list []*fleet.Upstream
		for i, id := range ids {
			list = append(list, &fleet.Upstream{ID: id, Incarnation: int64(i), Service: "model", Address: "10.0.0.1:80", Stage: fleet.StageDecode, Leaving: id == "b"})
		}
		n.mesh.PublishUpstreams(list, readAt)
	}
	reader := func() *node {
		for _, n := range f.nodes {
			if process, _ := n.mesh.ListsFrom(); process == "" {
				return n
			}
		}
		t.Fatal("no process reads the list")
		return nil
	}
	eventually(t, "one process reads for all", func() bool {
		readers := 0
		for _, n := range f.nodes {
			if process, _ := n.mesh.ListsFrom(); process == "" {
				readers++
			}
		}
		return readers == 1
	})
	for round, ids := range [][]string{{"a", "b"}, {"b", "c"}, {}, {"a", "c"}, {"d"}} {
		source := reader()
		readAt := time.Now().Add(-300 * time.Millisecond)
		publish(source, readAt, ids...)
		want := fmt.Sprint(idsOf(ids))
		eventually(t, fmt.Sprintf("round %d: all know %s", round, want), func() bool {
			for _, n := range f.nodes {
				if n != source && fmt.Sprint(n.fed.ids()) != want {
					return false
				}
			}
			return true
		})
		for _, n := range f.nodes {
			if n == source {
				continue
			}
			n.fed.mu.Lock()
			if n.fed.readAt.Before(readAt.Add(-10*time.Millisecond)) || n.fed.readAt.After(readAt.Add(250*time.Millisecond)) {
				t.Errorf("round %d: a list that was read %v ago is taken for one of %v ago", round, time.Since(readAt), time.Since(n.fed.readAt))
			}
			n.fed.mu.Unlock()
		}
		if round >= 2 {
			f.stop(t, slices.Index(f.nodes, source))
			f.waitKnown(t, 20-round+1)
		}
	}
}

func idsOf(ids []string) []string {
	marked := slices.Clone(ids)
	for i, id := range marked {
		if id == "b" {
			marked[i] = "b!"
		}
	}
	slices.Sort(marked)
	return marked
}

// Guards against an upstream of another process's list that names no upstream, or one with numbers that overflow.
func TestOddUpstreamMessages(t *testing.T) {
	sound := &wirev1.Upstream{Id: "a", Service: "model", Address: "10.0.0.1:80", Slots: math.MaxUint32, Stage: wirev1.UpstreamStage_UPSTREAM_STAGE_DECODE}
	list := updateUpstreams(make(map[string]*fleet.Upstream), &wirev1.UpstreamList{Upstreams: []*wirev1.Upstream{
		sound, nil, {}, {Id: "b"}, {Id: "b", Service: "s"}, {Id: "b", Service: "s", Address: "0.0.0.0:80"}, {Id: "b", Service: "s", Address: "10.0.0.1:80", Stage: 7},
		{Id: "b", Service: "s", Address: "10.0.0.1:80", Stage: -1},
	}})
	if len(list) != 1 || list[0].ID != "a" || list[0].Slots <= 0 {
		t.Errorf("%d upstreams: %+v", len(list), list)
	}
}

// Guards against processes that do not learn from the reader when the store answers again, and ask it themselves all the time.
func TestRegainedStoreIsTold(t *testing.T) {
	f := startFleet(t, 20, 3)
	for _, n := range f.nodes {
		n.storeLost.Store(true)
		n.mesh.NotifyStatusChanged()
	}
	time.Sleep(heartbeatInterval)
	for _, n := range f.nodes {
		if n.storeRegained.Load() > 0 {
			t.Fatalf("%s hears of a store that nobody regained", n.mesh.options.Name)
		}
	}
	regained := func(n *node) {
		n.storeLost.Store(false)
		n.mesh.NotifyStatusChanged()
	}
	regained(f.nodes[0])
	eventually(t, "all hear of it", func() bool {
		heard := 0
		for _, n := range f.nodes {
			if n.storeRegained.Load() > 0 {
				heard++
				regained(n)
			}
		}
		return heard >= len(f.nodes)-1
	})
}
