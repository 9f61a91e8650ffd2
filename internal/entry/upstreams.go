package entry

import (
	"sync"
	"sync/atomic"
	"time"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/sidecar/role"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

const (
	retireLimit = 10 * time.Minute
	retirePoll  = time.Second
)

// upstream is one upstream of the configuration with the session to its sidecar.
type upstream struct {
	name    string
	address string
	pool    string
	role    wirev1.EngineRole
	// roleName is the role as the document names it.
	roleName string
	leaving  bool
	peer     *transport.Peer
	// calls counts the calls that use the peer.
	calls *atomic.Int64
}

// retire closes the session when no call uses it any more, so that a change of the configuration cuts no call.
func (u *upstream) retire() {
	for begin := time.Now(); u.calls.Load() > 0 && time.Since(begin) < retireLimit; {
		time.Sleep(retirePoll)
	}
	u.peer.Close()
}

// candidate describes the upstream for the scheduler.
func (u *upstream) candidate() scheduler.Candidate {
	c := scheduler.Candidate{Upstream: u.name, Address: u.address, Pool: u.pool, Role: u.role}
	session := u.peer.Session()
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
	session := u.peer.Session()
	if session == nil {
		return ""
	}
	return session.Remote().GetDataCentre()
}

// upstreamPool keeps a session to the sidecar of each upstream of the configuration.
type upstreamPool struct {
	connector transport.Connector
	opts      *transport.Options

	mu     sync.Mutex // guards the fields below
	byName map[string]*upstream
	// serving holds the upstreams that may take new work. The slices are never changed, only replaced.
	serving map[poolRole][]*upstream
}

// poolRole is what a request looks for.
type poolRole struct {
	pool string
	role wirev1.EngineRole
}

func newUpstreamPool(connector transport.Connector, opts *transport.Options) *upstreamPool {
	return &upstreamPool{connector: connector, opts: opts, byName: make(map[string]*upstream)}
}

// apply connects new upstreams and drops those that the configuration no longer has.
func (p *upstreamPool) apply(declared []*configv1.Document_Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := make(map[string]bool, len(declared))
	for _, d := range declared {
		keep[d.GetName()] = true
		p.applyOne(d)
	}
	for name, u := range p.byName {
		if !keep[name] {
			delete(p.byName, name)
			go u.retire()
		}
	}
	p.serving = make(map[poolRole][]*upstream)
	for _, u := range p.byName {
		if !u.leaving {
			key := poolRole{u.pool, u.role}
			p.serving[key] = append(p.serving[key], u)
		}
	}
}

func (p *upstreamPool) applyOne(d *configv1.Document_Upstream) {
	old := p.byName[d.GetName()]
	next := &upstream{
		name: d.GetName(), address: d.GetAddress(), pool: d.GetPool(),
		role: role.Parse(d.GetRole()), roleName: d.GetRole(), leaving: d.GetState() == "leaving",
	}
	p.byName[d.GetName()] = next
	if old != nil && old.address == d.GetAddress() {
		next.peer, next.calls = old.peer, old.calls
		return
	}
	if old != nil {
		go old.retire()
	}
	next.peer, next.calls = transport.NewPeer(d.GetAddress(), p.connector, p.opts), new(atomic.Int64)
}

// find returns the upstreams of a pool and role that may take new work. The caller must not change the slice.
func (p *upstreamPool) find(pool string, want wirev1.EngineRole) []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serving[poolRole{pool, want}]
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
		u.peer.Close()
	}
}
