package confsync

import (
	"cmp"
	"slices"
	"strings"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/keys"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// TeamDocument is the state of one team's document. It is immutable.
type TeamDocument struct {
	Team string
	// Revision is the store revision of the newest version, and Text is that version.
	Revision uint64
	Text     []byte
	// Document is the version in force, with defaults; nil if there is none.
	Document *configv1.Document
	// GoodRevision is the revision of Document.
	GoodRevision uint64
	// Faults is a *settings.Faults if the newest version cannot be used.
	Faults error
}

// Conflict is an entry of a document that is not in force, because an older document of another team has the same name,
// key, address or route, or owns the account or pool that the entry refers to.
type Conflict struct {
	Team string
	// Section is the entry, for example `account "vendor-app"`.
	Section string
	// Problem describes the conflict and names the other team or its route.
	Problem string
}

// Snapshot is the configuration in force. It is immutable.
type Snapshot struct {
	// Revision is the store revision up to which all changes are included.
	Revision uint64

	teams     map[string]*TeamDocument
	conflicts []Conflict
	keys      *keys.Table
	accounts  map[string]*configv1.Document_Account
	models    map[string]*configv1.Document_Model
	upstreams map[string]*configv1.Document_Upstream
	pools     map[string][]*configv1.Document_Upstream
	routes    map[string][]*configv1.Document_Route
}

func emptySnapshot() *Snapshot { return newMerger(nil).snapshot }

// snapshot builds a snapshot of the current state. If no document changed, it reuses the maps of previous.
func (h *history) snapshot(changed bool, previous *Snapshot) *Snapshot {
	if !changed {
		same := *previous
		same.Revision = h.revision
		return &same
	}
	teams := make(map[string]*TeamDocument, len(h.teams))
	inForce := make([]*TeamDocument, 0, len(h.teams))
	for team, r := range h.teams {
		if r.deleted {
			continue
		}
		teams[team] = r.parsed
		if r.parsed.Document != nil {
			inForce = append(inForce, r.parsed)
		}
	}
	slices.SortFunc(inForce, func(a, b *TeamDocument) int {
		return cmp.Or(cmp.Compare(a.GoodRevision, b.GoodRevision), strings.Compare(a.Team, b.Team))
	})
	m := newMerger(inForce)
	m.snapshot.Revision = h.revision
	m.snapshot.teams = teams
	for _, d := range inForce {
		m.add(d)
	}
	m.snapshot.keys = keys.NewTable(m.keys)
	return m.snapshot
}

// Team returns a team's document.
func (s *Snapshot) Team(team string) (*TeamDocument, bool) {
	d, ok := s.teams[team]
	return d, ok
}

// Teams returns all documents ordered by team.
func (s *Snapshot) Teams() []*TeamDocument {
	all := make([]*TeamDocument, 0, len(s.teams))
	for _, d := range s.teams {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *TeamDocument) int { return strings.Compare(a.Team, b.Team) })
	return all
}

// Conflicts returns the entries that are not in force because they conflict with an older document.
func (s *Snapshot) Conflicts() []Conflict { return slices.Clone(s.conflicts) }

// Key returns the account and state of a caller's key.
func (s *Snapshot) Key(key string) (account string, state keys.State) { return s.keys.Lookup(key) }

// Account returns a client account.
func (s *Snapshot) Account(name string) (*configv1.Document_Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Accounts returns all client accounts ordered by name.
func (s *Snapshot) Accounts() []*configv1.Document_Account { return sorted(s.accounts) }

// Model returns a model.
func (s *Snapshot) Model(name string) (*configv1.Document_Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// HasOpenModel reports whether a model is open to callers without a key.
func (s *Snapshot) HasOpenModel() bool {
	for _, model := range s.models {
		if model.GetOpen() {
			return true
		}
	}
	return false
}

// Models returns all models ordered by name.
func (s *Snapshot) Models() []*configv1.Document_Model { return sorted(s.models) }

// Upstream returns an upstream.
func (s *Snapshot) Upstream(name string) (*configv1.Document_Upstream, bool) {
	u, ok := s.upstreams[name]
	return u, ok
}

// Upstreams returns all upstreams ordered by name.
func (s *Snapshot) Upstreams() []*configv1.Document_Upstream { return sorted(s.upstreams) }

// Pool returns the upstreams of a pool with a role.
func (s *Snapshot) Pool(pool, role string) []*configv1.Document_Upstream {
	var found []*configv1.Document_Upstream
	for _, u := range s.pools[pool] {
		if u.GetRole() == role {
			found = append(found, u)
		}
	}
	return found
}

// Route returns the route with the longest path that covers path, in whole path segments, and the method.
func (s *Snapshot) Route(method, path string) (*configv1.Document_Route, bool) {
	for prefix := document.CleanPath(path); prefix != ""; prefix = parent(prefix) {
		for _, route := range s.routes[prefix] {
			if document.AcceptsMethod(route, method) {
				return route, true
			}
		}
	}
	return nil, false
}

// parent removes the last segment of a path. The parent of "/" is "".
func parent(path string) string {
	end := strings.LastIndexByte(path, '/')
	if end < 0 || path == "/" {
		return ""
	}
	return document.CleanPath(path[:end+1])
}

type named interface{ GetName() string }

func sorted[T named](all map[string]T) []T {
	list := make([]T, 0, len(all))
	for _, item := range all {
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}

// checkTeam returns a fault if a document names another team than the one under whose key it is stored.
func checkTeam(team string, d *configv1.Document) error {
	declared := d.GetHeader().GetTeam()
	if declared == team {
		return nil
	}
	faults := &settings.Faults{}
	faults.Add(settings.Fault{File: team, Section: "document", Key: "team", Value: declared,
		Problem: "document of another team", Allowed: team})
	return faults.Err()
}
