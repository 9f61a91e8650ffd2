package confsync

import (
	"fmt"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// merger merges the documents of all teams, which are added in the order of their revisions. Names of accounts, keys,
// models, pools and upstreams are global; each belongs to the team of the first document that uses it.
type merger struct {
	snapshot *Snapshot
	// keys holds one document for each team, which contains only the keys that are in force.
	keys []*configv1.Document
	// owners holds the owning team of each name, by kind of name.
	owners [claimKindCount]map[string]string
}

// claimKind is a kind of name that only one team can own.
type claimKind int

const (
	kindAccount claimKind = iota
	kindKey
	kindKeyHash
	// kindPool is the name of a model or a plain service; an upstream refers to either one by its pool field.
	kindPool
	kindUpstream
	kindAddress

	claimKindCount
)

// newMerger returns a merger whose maps are sized for the documents.
func newMerger(documents []*TeamDocument) *merger {
	var accounts, keyCount, upstreams int
	for _, d := range documents {
		accounts += len(d.Document.GetAccounts())
		keyCount += len(d.Document.GetKeys())
		upstreams += len(d.Document.GetUpstreams())
	}
	m := &merger{
		snapshot: &Snapshot{
			teams:     make(map[string]*TeamDocument, len(documents)),
			accounts:  make(map[string]*configv1.Document_Account, accounts),
			models:    map[string]*configv1.Document_Model{},
			upstreams: make(map[string]*configv1.Document_Upstream, upstreams),
			pools:     map[string][]*configv1.Document_Upstream{},
			routes:    map[string][]*configv1.Document_Route{},
		},
	}
	sizes := [claimKindCount]int{
		kindAccount: accounts, kindKey: keyCount, kindKeyHash: keyCount, kindUpstream: upstreams, kindAddress: upstreams,
	}
	for kind, size := range sizes {
		m.owners[kind] = make(map[string]string, size)
	}
	return m
}

// claim registers a name for a team unless it has an owner already. It returns the owning team and whether that is
// another team.
func (m *merger) claim(kind claimKind, name, team string) (owner string, taken bool) {
	owner, known := m.owners[kind][name]
	if !known {
		m.owners[kind][name] = team
		return team, false
	}
	return owner, owner != team
}

func (m *merger) addConflict(team, sectionKind, name, format string, args ...any) {
	m.snapshot.conflicts = append(m.snapshot.conflicts, Conflict{
		Team:    team,
		Section: settings.SectionName(sectionKind, name),
		Problem: fmt.Sprintf(format, args...),
	})
}

func (m *merger) add(d *TeamDocument) {
	m.addAccounts(d)
	m.addKeys(d)
	m.addModels(d)
	m.addUpstreams(d)
	m.addRoutes(d)
}

func (m *merger) addAccounts(d *TeamDocument) {
	for _, account := range d.Document.GetAccounts() {
		if owner, taken := m.claim(kindAccount, account.GetName(), d.Team); taken {
			m.addConflict(d.Team, "account", account.GetName(), "team %s has this account", owner)
			continue
		}
		m.snapshot.accounts[account.GetName()] = account
	}
}

// addKeys leaves out keys of an account that belongs to another team; their requests would use up that team's rate.
func (m *merger) addKeys(d *TeamDocument) {
	inForce := &configv1.Document{Keys: make([]*configv1.Document_Key, 0, len(d.Document.GetKeys()))}
	for _, key := range d.Document.GetKeys() {
		if owner := m.owners[kindAccount][key.GetAccount()]; owner != d.Team {
			m.addConflict(d.Team, "key", key.GetName(), "its account belongs to team %s", owner)
			continue
		}
		if owner, taken := m.claim(kindKey, key.GetName(), d.Team); taken {
			m.addConflict(d.Team, "key", key.GetName(), "team %s has a key of this name", owner)
			continue
		}
		if owner, taken := m.claim(kindKeyHash, key.GetSha256(), d.Team); taken {
			m.addConflict(d.Team, "key", key.GetName(), "team %s has the same key", owner)
			continue
		}
		inForce.Keys = append(inForce.Keys, key)
	}
	m.keys = append(m.keys, inForce)
}

func (m *merger) addModels(d *TeamDocument) {
	for _, model := range d.Document.GetModels() {
		if owner, taken := m.claim(kindPool, model.GetName(), d.Team); taken {
			m.addConflict(d.Team, "model", model.GetName(), "team %s has a model or service of this name", owner)
			continue
		}
		m.snapshot.models[model.GetName()] = model
	}
}

// addUpstreams leaves out upstreams for a pool that belongs to another team; they would receive that team's requests.
func (m *merger) addUpstreams(d *TeamDocument) {
	for _, upstream := range d.Document.GetUpstreams() {
		name, pool := upstream.GetName(), upstream.GetPool()
		if owner, taken := m.claim(kindPool, pool, d.Team); taken {
			m.addConflict(d.Team, "upstream", name, "its pool %s belongs to team %s", pool, owner)
			continue
		}
		if owner, taken := m.claim(kindUpstream, name, d.Team); taken {
			m.addConflict(d.Team, "upstream", name, "team %s has an upstream of this name", owner)
			continue
		}
		if owner, taken := m.claim(kindAddress, upstream.GetAddress(), d.Team); taken {
			m.addConflict(d.Team, "upstream", name, "team %s has an upstream with this address", owner)
			continue
		}
		m.snapshot.upstreams[name] = upstream
		m.snapshot.pools[pool] = append(m.snapshot.pools[pool], upstream)
	}
}

func (m *merger) addRoutes(d *TeamDocument) {
	for _, route := range d.Document.GetRoutes() {
		if owner := m.owners[kindPool][route.GetPool()]; owner != d.Team {
			m.addConflict(d.Team, "route", route.GetName(), "its pool %s belongs to team %s", route.GetPool(), owner)
			continue
		}
		path := document.CleanPath(route.GetPath())
		if other := overlapping(m.snapshot.routes[path], route); other != nil {
			m.addConflict(d.Team, "route", route.GetName(), "route %q of another team has this path and method", other.GetName())
			continue
		}
		m.snapshot.routes[path] = append(m.snapshot.routes[path], route)
	}
}

// overlapping returns a route of routes that shares a method with route, or nil if there is none.
func overlapping(routes []*configv1.Document_Route, route *configv1.Document_Route) *configv1.Document_Route {
	for _, other := range routes {
		if document.SharedMethod(other, route) != "" {
			return other
		}
	}
	return nil
}
