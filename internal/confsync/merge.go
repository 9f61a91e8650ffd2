package confsync

import (
	"fmt"
	"strings"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// merger joins documents that are added in the order of their revisions. Names of accounts, keys, models, pools and
// upstreams are global; the first document that claims one has it.
type merger struct {
	snapshot *Snapshot
	// keys holds one document for each team with the keys that are in force.
	keys   []*configv1.Document
	owners map[claim]string
}

// claim is something that only one team can have.
type claim struct{ kind, name string }

// Kinds of claims. A pool is a model or a plain service; upstreams name either in the same field.
const (
	kindAccount  = "account"
	kindKey      = "key"
	kindKeyHash  = "key hash"
	kindPool     = "pool"
	kindUpstream = "upstream"
	kindAddress  = "upstream address"
)

func newMerger() *merger {
	return &merger{
		snapshot: &Snapshot{
			teams:     map[string]*TeamDocument{},
			accounts:  map[string]*configv1.Document_Account{},
			models:    map[string]*configv1.Document_Model{},
			upstreams: map[string]*configv1.Document_Upstream{},
			pools:     map[string][]*configv1.Document_Upstream{},
			routes:    map[string][]*configv1.Document_Route{},
		},
		owners: map[claim]string{},
	}
}

// take claims something for a team. It returns the owner's name if another team has it.
func (m *merger) take(kind, name, team string) (owner string, taken bool) {
	c := claim{kind, name}
	owner, known := m.owners[c]
	if !known {
		m.owners[c] = team
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
	inForce := &configv1.Document{}
	for _, key := range d.Document.GetKeys() {
		if owner := m.owners[claim{kindAccount, key.GetAccount()}]; owner != d.Team {
			m.conflict(d.Team, "key", key.GetName(), "its account belongs to team %s", owner)
			continue
		}
		if owner, taken := m.take(kindKey, key.GetName(), d.Team); taken {
			m.conflict(d.Team, "key", key.GetName(), "team %s has a key of this name", owner)
			continue
		}
		if owner, taken := m.take(kindKeyHash, strings.ToLower(key.GetSha256()), d.Team); taken {
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
		if owner := m.owners[claim{kindPool, route.GetPool()}]; owner != d.Team {
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
