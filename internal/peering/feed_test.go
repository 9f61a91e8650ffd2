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
	"github.com/fulmardoor/fulmardoor/internal/upstreamlist"
)

// fedList records the lists of upstreams that a process got.
type fedList struct {
	mu   sync.Mutex
	list *upstreamlist.List
}

func (l *fedList) set(list *upstreamlist.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = list
}

// last returns the last list; nil for none.
func (l *fedList) last() *upstreamlist.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

// ids returns the ids of the upstreams, each with ! if it is leaving.
func (l *fedList) ids() (ids []string) {
	list := l.last()
	if list == nil {
		return nil
	}
	for _, upstream := range list.Upstreams {
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
		n.mesh.PublishUpstreams(&upstreamlist.List{Contact: upstreamlist.Contact{Since: 1, Revision: 1, SinceAt: readAt, ReadAt: readAt}, Upstreams: list})
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
			fed := n.fed.last()
			if fed.ReadAt.Before(readAt.Add(-10*time.Millisecond)) || fed.ReadAt.After(readAt.Add(250*time.Millisecond)) {
				t.Errorf("round %d: a list that was read %v ago is taken for one of %v ago", round, time.Since(readAt), time.Since(fed.ReadAt))
			}
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
	list := listFromMessage(make(map[string]*fleet.Upstream), &wirev1.UpstreamList{Upstreams: []*wirev1.Upstream{
		sound, nil, {}, {Id: "b"}, {Id: "b", Service: "s"}, {Id: "b", Service: "s", Address: "0.0.0.0:80"}, {Id: "b", Service: "s", Address: "10.0.0.1:80", Stage: 7},
		{Id: "b", Service: "s", Address: "10.0.0.1:80", Stage: -1},
	}}, time.Now()).Upstreams
	if len(list) != 1 || list[0].ID != "a" || list[0].Slots <= 0 {
		t.Errorf("%d upstreams: %+v", len(list), list)
	}
}

// Guards against a reader that hears nothing of the upstreams that leave while it is cut off from the store, and against lists that lose their contact or
// the entries that name no upstream on their way.
func TestListsComeFromProcessInTouch(t *testing.T) {
	f := startFleet(t, 3, 1)
	reads := func(i int) bool { process, _ := f.nodes[i].mesh.ListsFrom(); return process == "" }
	eventually(t, "the first process reads", func() bool { return reads(0) && !reads(1) && !reads(2) })
	f.nodes[0].upstreamsLost.Store(true)
	f.nodes[0].mesh.NotifyStatusChanged()
	eventually(t, "the second one reads", func() bool { return !reads(0) && reads(1) && !reads(2) })
	now := time.Now()
	list := &upstreamlist.List{
		Contact:   upstreamlist.Contact{Since: 4, Revision: 9, SinceAt: now.Add(-3 * time.Second), ReadAt: now},
		Upstreams: []*fleet.Upstream{{ID: "a", Service: "model", Address: "10.0.0.1:80"}}, Unusable: []string{"b"}, Evacuated: []string{"dc-7"},
	}
	f.nodes[1].mesh.PublishUpstreams(list)
	for _, i := range []int{0, 2} {
		eventually(t, "the others get its list", func() bool {
			got := f.nodes[i].fed.last()
			return got != nil && got.Since == 4 && got.Revision == 9 && got.ReadAt.Sub(got.SinceAt) == 3*time.Second && len(got.Upstreams) == 1 &&
				slices.Equal(got.Unusable, list.Unusable) && slices.Equal(got.Evacuated, list.Evacuated)
		})
	}
	f.nodes[0].upstreamsLost.Store(false)
	f.nodes[0].mesh.NotifyStatusChanged()
	eventually(t, "the first one reads again", func() bool { return reads(0) && !reads(1) && !reads(2) })
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
