package ingress

import (
	"net/netip"
	"sync"
)

// table knows the open connections of a listener and decides which of them yields at the limit. Its methods may be called concurrently.
type table struct {
	maxOpen, maxPerAddress int

	mu       sync.Mutex // guards the fields below and those of sources and places
	open     int
	accepted uint64
	sources  map[netip.Addr]*source
}

// source has the connections of one address.
type source struct {
	open int
	// newest is the newest connection that has not sent a complete head; older ones follow by place.older.
	newest *place
}

// place is that of one connection in a table.
type place struct {
	address netip.Addr
	number  uint64 // counts accepted connections; larger is newer
	source  *source
	// waiting is set until the first head of the connection is complete. older and newer are neighbours among the waiting ones of the source.
	waiting      bool
	older, newer *place
	conn         *conn
}

func newTable(maxOpen, maxPerAddress int) *table {
	return &table{maxOpen: maxOpen, maxPerAddress: maxPerAddress, sources: make(map[netip.Addr]*source)}
}

// add gives a new connection its place, unless cause says why there is none. The connection at yields, if it is not nil, lost its place and must be closed.
func (t *table) add(p *place) (yields *place, cause Cause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.maxOpen {
		if yields = t.yieldingLocked(p.address); yields == nil {
			return nil, CauseConnections
		}
	}
	s := t.sources[p.address]
	// A connection of the same address that yields makes room below the limit of the address too: both limits are equal by default.
	if s != nil && s.open >= t.maxPerAddress && (yields == nil || yields.source != s) {
		return nil, CauseSourceConnections
	}
	if yields != nil {
		t.removeLocked(yields)
		s = t.sources[p.address] // the connection that yields may have been the only one of the address
	}
	if s == nil {
		s = &source{}
		t.sources[p.address] = s
	}
	t.accepted++
	t.open++
	s.open++
	p.source, p.number, p.waiting, p.older = s, t.accepted, true, s.newest
	if s.newest != nil {
		s.newest.newer = p
	}
	s.newest = p
	return yields, ""
}

// yieldingLocked returns the connection that yields to a new one from an address: of the address that has most connections, the newest one
// that has not sent a complete head. An address without such connections is passed over, but no address loses a connection to one that has more.
func (t *table) yieldingLocked(newcomer netip.Addr) *place {
	own := 1
	if s := t.sources[newcomer]; s != nil {
		own += s.open
	}
	var best *place
	most := 0
	for address, s := range t.sources {
		open := s.open
		if address == newcomer {
			open = own
		}
		if s.newest == nil || open < own || open < most {
			continue
		}
		if open > most || s.newest.number > best.number {
			best, most = s.newest, open
		}
	}
	return best
}

// headComplete keeps a connection from yielding to new ones.
func (t *table) headComplete(p *place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.stopWaiting()
}

// remove frees the place of a connection. Further calls do nothing.
func (t *table) remove(p *place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(p)
}

func (t *table) removeLocked(p *place) {
	s := p.source
	if s == nil {
		return
	}
	p.stopWaiting()
	p.source = nil
	t.open--
	if s.open--; s.open == 0 {
		delete(t.sources, p.address)
	}
}

// count returns the number of open connections.
func (t *table) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// stopWaiting unlinks the place from the waiting ones of its source.
func (p *place) stopWaiting() {
	if !p.waiting {
		return
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		p.source.newest = p.older
	}
	if p.older != nil {
		p.older.newer = p.newer
	}
	p.waiting, p.older, p.newer = false, nil, nil
}
