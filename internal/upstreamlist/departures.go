package upstreamlist

import "github.com/fulmardoor/fulmardoor/internal/fleet"

// maxDeparted is the number of starts of upstreams that are remembered as departed.
const maxDeparted = 4096

// start identifies one start of an upstream.
type start struct {
	id          string
	incarnation int64
	address     string
}

func startOf(upstream *fleet.Upstream) start {
	return start{upstream.ID, upstream.Incarnation, upstream.Address}
}

// departures has the starts of upstreams that have left, with the store's revision at which their entries were missing. The oldest ones make room for new
// ones.
type departures struct {
	revisions map[start]int64
	order     []start
}

func (d *departures) add(key start, revision int64) {
	if key.incarnation == 0 { // without an incarnation, a later start would be taken for this one
		return
	}
	if d.revisions == nil {
		d.revisions = make(map[start]int64)
	}
	if _, known := d.revisions[key]; !known {
		if len(d.order) == maxDeparted {
			delete(d.revisions, d.order[0])
			d.order = d.order[1:]
		}
		d.order = append(d.order, key)
	}
	d.revisions[key] = revision
}

func (d *departures) forget(key start) {
	if _, known := d.revisions[key]; !known {
		return
	}
	delete(d.revisions, key)
	for i, other := range d.order {
		if other == key {
			d.order = append(d.order[:i:i], d.order[i+1:]...)
			return
		}
	}
}
