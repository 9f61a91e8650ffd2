package confsync

import (
	"fmt"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// merger joins documents that are added in the order of their revisions. Names of accounts, keys, models, pools and
// upstreams are global; the first document that claims one has it.
type merger struct {
	snapshot *Snapshot
	// keys holds one document for each team with the keys that are in force.
	keys []*configv1.Document
	// owners holds the team that has a name, by kind of claim.
	owners [kinds]map[string]string
}

// claimKind is a kind of name that only one team can have.
type claimKind int

const (
	kindAccount claimKind = iota
	kindKey
	kindKeyHash
	// kindPool is a model or a plain service; upstreams name either in the same field.
	kindPool
	kindUpstream
	kindAddress

	kinds
)

// newMerger returns a merger with room for the documents.
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
	sizes := [kinds]int{
		kindAccount: accounts, kindKey: keyCount, kindKeyHash: keyCount, kindUpstream: upstreams, kindAddress: upstreams,
	}
	for kind, size := range sizes {
		m.owners[kind] = make(map[string]string, size)
	}
	return m
}

// take claims something for a team. It returns the owner's name if another team has it.
func (m *merger) take(kind claimKind, name, team string) (owner string, taken bool) {
	owner, known := m.owners[kind][name]
	if !known {
		m.owners[kind][name] = team
		return team, false
	}
	return owner, owner != team
}

func (m *merger) conflict(team, word, name, format string, args ...any) {
	m.snapshot.conflicts = append(m.snapshot.conflicts, Conflict{
		Team:    team,
		Section: settings.SectionName(word, name),
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
		if owner, taken := m.take(kindAccount, account.GetName(), d.Team); taken {
			m.conflict(d.Team, "account", account.GetName(), "team %s has this account", owner)
			continue
		}
		m.snapshot.accounts[account.GetName()] = account
	}
}

// addKeys leaves out keys of an account that belongs to another team, which would otherwise spend that team's rate.
func (m *merger) addKeys(d *TeamDocument) {
	inForce := &configv1.Document{Keys: make([]*configv1.Document_Key, 0, len(d.Document.GetKeys()))}
	for _, key := range d.Document.GetKeys() {
		if owner := m.owners[kindAccount][key.GetAccount()]; owner != d.Team {
			m.conflict(d.Team, "key", key.GetName(), "its account belongs to team %s", owner)
			continue
		}
		if owner, taken := m.take(kindKey, key.GetName(), d.Team); taken {
			m.conflict(d.Team, "key", key.GetName(), "team %s has a key of this name", owner)
			continue
		}
		if owner, taken := m.take(kindKeyHash, key.GetSha256(), d.Team); taken {
			m.conflict(d.Team, "key", key.GetName(), "team %s has the same key", owner)
			continue
		}
		inForce.Keys = append(inForce.Keys, key)
	}
	m.keys = append(m.keys, inForce)
}

func (m *merger) addModels(d *TeamDocument) {
	for _, model := range d.Document.GetModels() {
		if owner, taken := m.take(kindPool, model.GetName(), d.Team); taken {
			m.conflict(d.Team, "model", model.GetName(), "team %s has a model or service of this name", owner)
			continue
		}
		m.snapshot.models[model.GetName()] = model
	}
}

// addUpstreams leaves out upstreams for a pool of another team, which would otherwise receive that team's requests.
func (m *merger) addUpstreams(d *TeamDocument) {
	for _, upstream := range d.Document.GetUpstreams() {
		name, pool := upstream.GetName(), upstream.GetPool()
		if owner, taken := m.take(kindPool, pool, d.Team); taken {
			m.conflict(d.Team, "upstream", name, "its pool %s belongs to team %s", pool, owner)
			continue
		}
		if owner, taken := m.take(kindUpstream, name, d.Team); taken {
			m.conflict(d.Team, "upstream", name, "team %s has an upstream of this name", owner)
			continue
		}
		if owner, taken := m.take(kindAddress, upstream.GetAddress(), d.Team); taken {
			m.conflict(d.Team, "upstream", name, "team %s has an upstream with this address", owner)
			continue
		}
		m.snapshot.upstreams[name] = upstream
		m.snapshot.pools[pool] = append(m.snapshot.pools[pool], upstream)
	}
}

func (m *merger) addRoutes(d *TeamDocument) {
	for _, route := range d.Document.GetRoutes() {
		if owner := m.owners[kindPool][route.GetPool()]; owner != d.Team {
			m.conflict(d.Team, "route", route.GetName(), "its pool %s belongs to team %s", route.GetPool(), owner)
			continue
		}
		path := document.CleanPath(route.GetPath())
		if other := overlapping(m.snapshot.routes[path], route); other != nil {
			m.conflict(d.Team, "route", route.GetName(), "route %q of another team has this path and method", other.GetName())
			continue
		}
		m.snapshot.routes[path] = append(m.snapshot.routes[path], route)
	}
}

func overlapping(routes []*configv1.Document_Route, route *configv1.Document_Route) *configv1.Document_Route {
	for _, other := range routes {
		if document.SharedMethod(other, route) != "" {
			return other
		}
	}
	return nil
}
