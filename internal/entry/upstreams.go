package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/sidecar/role"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// idleLimit is the time after which an unused link that was dialled on demand is closed.
	idleLimit    = time.Minute
	sweepPause   = 10 * time.Second
	demandWait   = 200 * time.Millisecond
	affinityRows = 2
)

// upstream is one upstream of the configuration. Most rows of a large fleet have no link.
type upstream struct {
	name    string
	address string
	pool    string
	role    wirev1.EngineRole
	// roleName is the role as the document names it.
	roleName string
	leaving  bool
	link     atomic.Pointer[link]
}

// session returns the live session to the sidecar, or nil.
func (u *upstream) session() *transport.Session {
	l := u.link.Load()
	if l == nil {
		return nil
	}
	return l.peer.Session()
}

// candidate describes the upstream for the scheduler.
func (u *upstream) candidate() scheduler.Candidate {
	c := scheduler.Candidate{Upstream: u.name, Address: u.address, Pool: u.pool, Role: u.role}
	session := u.session()
	if session == nil {
		return c
	}
	beat, at := session.Heartbeat()
	c.Connected = beat != nil
	c.Load = beat.GetLoad()
	c.LoadAge = time.Since(at)
	c.DataCentre = session.Remote().GetDataCentre()
	return c
}

// dataCentre returns the data centre of the sidecar, empty while there is no session.
func (u *upstream) dataCentre() string {
	session := u.session()
	if session == nil {
		return ""
	}
	return session.Remote().GetDataCentre()
}

// upstreamPool knows all upstreams of the configuration and keeps links to a subset of each pool and role. The subset is
// chosen by the name of this process, so that the processes of a fleet spread evenly over the upstreams.
type upstreamPool struct {
	self      string
	subset    int
	connector transport.Connector
	opts      *transport.Options

	mu     sync.Mutex // guards the fields below
	byName map[string]*upstream
	// rows holds the upstreams that may take new work, linked those of them with a link. The slices are never changed, only
	// replaced.
	rows   map[poolRole][]*upstream
	linked map[poolRole][]*upstream
}

// poolRole is what a request looks for.
type poolRole struct {
	pool string
	role wirev1.EngineRole
}

func newUpstreamPool(self string, subset int, connector transport.Connector, opts *transport.Options) *upstreamPool {
	return &upstreamPool{
		self: self, subset: subset, connector: connector, opts: opts, byName: make(map[string]*upstream),
	}
}

// apply takes over the upstreams of a configuration.
func (p *upstreamPool) apply(declared []*configv1.Document_Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byName
	p.byName = make(map[string]*upstream, len(declared))
	p.rows = make(map[poolRole][]*upstream)
	for _, d := range declared {
		u := newRow(d, old[d.GetName()])
		p.byName[u.name] = u
		if !u.leaving {
			key := poolRole{u.pool, u.role}
			p.rows[key] = append(p.rows[key], u)
		}
	}
	for name, before := range old {
		now := p.byName[name]
		if l := before.link.Load(); l != nil && (now == nil || now.link.Load() != l) {
			go l.retire()
		}
	}
	p.linkSubsets()
	p.listLinked()
}

// newRow returns the row of a declared upstream; a link to the same address is kept.
func newRow(d *configv1.Document_Upstream, before *upstream) *upstream {
	u := &upstream{
		name: d.GetName(), address: d.GetAddress(), pool: d.GetPool(),
		role: role.Parse(d.GetRole()), roleName: d.GetRole(), leaving: d.GetState() == "leaving",
	}
	if before != nil && before.address == u.address {
		u.link.Store(before.link.Load())
	}
	return u
}

// linkSubsets connects to the subset of each pool and role. A link that falls out of the subset becomes one on demand, which
// ends when it is idle. The caller holds mu.
func (p *upstreamPool) linkSubsets() {
	for key, rows := range p.rows {
		chosen := make(map[*upstream]bool, p.subset)
		for _, i := range scheduler.Preferred(xxhash.Sum64String(p.self+"\x00"+key.pool), rowNames(rows), p.subset) {
			chosen[rows[i]] = true
		}
		for _, u := range rows {
			l := u.link.Load()
			switch {
			case chosen[u] && l == nil:
				p.dial(u, false)
			case l != nil:
				l.onDemand = !chosen[u]
			}
		}
	}
}

func rowNames(rows []*upstream) []string {
	names := make([]string, len(rows))
	for i, u := range rows {
		names[i] = u.name
	}
	return names
}

// dial gives a row a link. The caller holds mu.
func (p *upstreamPool) dial(u *upstream, onDemand bool) {
	l := &link{peer: transport.NewPeer(u.address, p.connector, p.opts), onDemand: onDemand}
	l.use()
	u.link.Store(l)
}

// listLinked lists the rows with a link. The caller holds mu.
func (p *upstreamPool) listLinked() {
	p.linked = make(map[poolRole][]*upstream)
	for key, rows := range p.rows {
		for _, u := range rows {
			if u.link.Load() != nil {
				p.linked[key] = append(p.linked[key], u)
			}
		}
	}
}

// find returns the upstreams of a pool and role that may take new work and have a link. The caller must not change the slice.
func (p *upstreamPool) find(pool string, want wirev1.EngineRole) []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.linked[poolRole{pool, want}]
}

// declared returns the upstreams of a pool and role that may take new work, with or without a link.
func (p *upstreamPool) declared(pool string, want wirev1.EngineRole) []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[poolRole{pool, want}]
}

// reach connects to the rows that a key prefers among all of a pool and role, so that every entry process can send the same
// prompt to the same engine although each keeps links to few of them.
func (p *upstreamPool) reach(ctx context.Context, pool string, want wirev1.EngineRole, key uint64) {
	rows := p.declared(pool, want)
	if len(rows) <= p.subset {
		return
	}
	for _, i := range scheduler.Preferred(key, rowNames(rows), affinityRows) {
		p.demand(ctx, rows[i])
	}
}

// demand makes sure that a row has a link, and waits a little for a new one.
func (p *upstreamPool) demand(ctx context.Context, u *upstream) {
	p.mu.Lock()
	isNew := u.link.Load() == nil && p.byName[u.name] == u
	if isNew {
		p.dial(u, true)
		p.listLinked()
	}
	p.mu.Unlock()
	l := u.link.Load()
	if l == nil {
		return
	}
	l.use()
	if isNew {
		ctx, cancel := context.WithTimeout(ctx, demandWait)
		defer cancel()
		_, _ = l.peer.Wait(ctx) // without a session the row is not chosen
	}
}

// run closes idle links on demand until ctx ends.
func (p *upstreamPool) run(ctx context.Context) {
	for wait.For(ctx, sweepPause) {
		p.sweep()
	}
}

func (p *upstreamPool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.byName {
		l := u.link.Load()
		if l == nil || !l.onDemand || l.calls.Load() > 0 || l.idle() < idleLimit {
			continue
		}
		u.link.Store(nil)
		go l.retire()
	}
	p.listLinked()
}

// get returns the upstream with a name, or nil.
func (p *upstreamPool) get(name string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// all returns every upstream.
func (p *upstreamPool) all() []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*upstream, 0, len(p.byName))
	for _, u := range p.byName {
		list = append(list, u)
	}
	return list
}

func (p *upstreamPool) close() {
	for _, u := range p.all() {
		if l := u.link.Load(); l != nil {
			l.peer.Close()
		}
	}
}
