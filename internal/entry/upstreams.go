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
	// linkIdleTimeout is the time after which an unused link that was dialled on demand is closed.
	linkIdleTimeout   = time.Minute
	idleCheckInterval = 10 * time.Second
	// onDemandDialWait is the longest wait for the session of a link that was dialled on demand.
	onDemandDialWait = 200 * time.Millisecond
	// affinityUpstreams is the number of upstreams that a prompt prefers by the hash of its prefix.
	affinityUpstreams = 2
)

// upstream is one upstream of the configuration. In a large fleet, a process has a link to only few of them.
type upstream struct {
	name    string
	address string
	pool    string
	role    wirev1.EngineRole
	// roleName is the role as it is written in the document.
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

// upstreamPool holds all upstreams of the configuration and maintains links to a subset of each pool and role. The subset is
// chosen by a hash of the name of this process, so that the links of all processes spread evenly over the upstreams.
type upstreamPool struct {
	self      string
	subset    int
	connector transport.Connector
	opts      *transport.Options

	mu     sync.Mutex // guards the fields below
	byName map[string]*upstream
	// available holds the upstreams that are not leaving, linked those of them that have a link. The slices are never
	// changed, only replaced, so that callers may read them without the lock.
	available map[poolRole][]*upstream
	linked    map[poolRole][]*upstream
}

// poolRole is the pool and role that a request needs.
type poolRole struct {
	pool string
	role wirev1.EngineRole
}

func newUpstreamPool(self string, subset int, connector transport.Connector, opts *transport.Options) *upstreamPool {
	return &upstreamPool{
		self: self, subset: subset, connector: connector, opts: opts, byName: make(map[string]*upstream),
	}
}

// apply replaces the upstreams by those of a configuration, and closes the links that no upstream uses any more.
func (p *upstreamPool) apply(declared []*configv1.Document_Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byName
	p.byName = make(map[string]*upstream, len(declared))
	p.available = make(map[poolRole][]*upstream)
	for _, d := range declared {
		u := newUpstream(d, old[d.GetName()])
		p.byName[u.name] = u
		if !u.leaving {
			key := poolRole{u.pool, u.role}
			p.available[key] = append(p.available[key], u)
		}
	}
	for name, previous := range old {
		current := p.byName[name]
		if l := previous.link.Load(); l != nil && (current == nil || current.link.Load() != l) {
			go l.closeAfterCalls()
		}
	}
	p.linkSubsets()
	p.updateLinked()
}

// newUpstream returns a declared upstream. It keeps the link of the previous one if the address is the same.
func newUpstream(d *configv1.Document_Upstream, previous *upstream) *upstream {
	u := &upstream{
		name: d.GetName(), address: d.GetAddress(), pool: d.GetPool(),
		role: role.Parse(d.GetRole()), roleName: d.GetRole(), leaving: d.GetState() == "leaving",
	}
	if previous != nil && previous.address == u.address {
		u.link.Store(previous.link.Load())
	}
	return u
}

// linkSubsets connects to the subset of each pool and role. A link that is no longer in the subset becomes one on demand,
// which is closed when it is idle. The caller holds mu.
func (p *upstreamPool) linkSubsets() {
	for key, list := range p.available {
		chosen := make(map[*upstream]bool, p.subset)
		for _, i := range scheduler.HighestRanked(xxhash.Sum64String(p.self+"\x00"+key.pool), upstreamNames(list), p.subset) {
			chosen[list[i]] = true
		}
		for _, u := range list {
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

func upstreamNames(list []*upstream) []string {
	names := make([]string, len(list))
	for i, u := range list {
		names[i] = u.name
	}
	return names
}

// dial gives an upstream a new link. The caller holds mu.
func (p *upstreamPool) dial(u *upstream, onDemand bool) {
	l := &link{peer: transport.NewPeer(u.address, p.connector, p.opts), onDemand: onDemand}
	l.touch()
	u.link.Store(l)
}

// updateLinked rebuilds linked. The caller holds mu.
func (p *upstreamPool) updateLinked() {
	p.linked = make(map[poolRole][]*upstream)
	for key, list := range p.available {
		for _, u := range list {
			if u.link.Load() != nil {
				p.linked[key] = append(p.linked[key], u)
			}
		}
	}
}

// linkedUpstreams returns the upstreams of a pool and role that are not leaving and have a link. The caller must not change
// the slice.
func (p *upstreamPool) linkedUpstreams(pool string, engineRole wirev1.EngineRole) []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.linked[poolRole{pool, engineRole}]
}

// availableUpstreams returns the upstreams of a pool and role that are not leaving, with or without a link. The caller must
// not change the slice.
func (p *upstreamPool) availableUpstreams(pool string, engineRole wirev1.EngineRole) []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.available[poolRole{pool, engineRole}]
}

// linkPreferred connects to the upstreams that a key prefers among all of a pool and role. Every entry process can then send
// the same prompt to the same engine, although each maintains links to only few of them.
func (p *upstreamPool) linkPreferred(ctx context.Context, pool string, engineRole wirev1.EngineRole, key uint64) {
	list := p.availableUpstreams(pool, engineRole)
	if len(list) <= p.subset {
		return
	}
	for _, i := range scheduler.HighestRanked(key, upstreamNames(list), affinityUpstreams) {
		p.ensureLink(ctx, list[i])
	}
}

// ensureLink dials an upstream that has no link, and waits for its session for at most onDemandDialWait.
func (p *upstreamPool) ensureLink(ctx context.Context, u *upstream) {
	p.mu.Lock()
	isNew := u.link.Load() == nil && p.byName[u.name] == u
	if isNew {
		p.dial(u, true)
		p.updateLinked()
	}
	p.mu.Unlock()
	l := u.link.Load()
	if l == nil {
		return
	}
	l.touch()
	if isNew {
		ctx, cancel := context.WithTimeout(ctx, onDemandDialWait)
		defer cancel()
		_, _ = l.peer.Wait(ctx) // the scheduler chooses no upstream without a session
	}
}

// run closes idle on-demand links until ctx ends.
func (p *upstreamPool) run(ctx context.Context) {
	for wait.For(ctx, idleCheckInterval) {
		p.closeIdleLinks()
	}
}

func (p *upstreamPool) closeIdleLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.byName {
		l := u.link.Load()
		if l == nil || !l.onDemand || l.calls.Load() > 0 || l.idleTime() < linkIdleTimeout {
			continue
		}
		u.link.Store(nil)
		go l.closeAfterCalls()
	}
	p.updateLinked()
}

// get returns the upstream with a name, or nil.
func (p *upstreamPool) get(name string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// all returns all upstreams of the configuration.
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
