// Package fleet has the core's view of a deployment: its configuration and its upstreams, whatever system announces them.
// Values of this package are immutable once they are published.
package fleet

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind int

const (
	// NonIdempotent requests run at most once. It is the zero value, so that an unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events; they may be repeated only on a resumable route.
	Stream
)

// String returns the form used in logs and metric labels.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non_idempotent"
	}
}

// Stage is the part of a model request that an engine runs.
type Stage int

const (
	// StageNone is the stage of a plain service.
	StageNone Stage = iota
	// StagePrefill engines process prompts only.
	StagePrefill
	// StageDecode engines generate output, and can process a prompt more slowly.
	StageDecode
)

// Target is a service to which a route sends a share of its requests.
type Target struct {
	Service string
	Weight  float64
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting; zero means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a stream, counts as in time.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between events with which a stream counts as in time; zero means none.
	PauseTarget time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts is the largest number of upstreams that may run one request.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may continue at another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Account is a client account with its rate limit.
type Account struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the permitted use per second, and Burst what may be used at once, in tokens if CountsTokens is set and in
	// requests otherwise. A rate of zero means no limit.
	Rate, Burst  float64
	CountsTokens bool
	// PlainTokens is what a request without token counts is charged.
	PlainTokens int
}

// Cost returns the charge of a request with the given prompt and output tokens; hasTokens tells whether it names them.
func (a *Account) Cost(tokens int, hasTokens bool) float64 {
	if !a.CountsTokens {
		return 1
	}
	if !hasTokens {
		return float64(a.PlainTokens)
	}
	return float64(tokens)
}

// Engine describes the model engines of a service.
type Engine struct {
	// KVTokens is the memory of one engine, in tokens.
	KVTokens int
	// KVTokenBytes is the size of one token's KV cache.
	KVTokenBytes float64
	LinkMbps     float64
	// SwitchTime is how long an engine takes to change its stage; zero if it cannot.
	SwitchTime time.Duration
	// ReserveMax is how long room can be reserved before a request arrives; zero if it cannot.
	ReserveMax time.Duration
	// TokensPerEvent is the number of output tokens in one event of a stream, at least 1.
	TokensPerEvent int
	// HandleTTL is how long a prefilled KV cache is kept for its decode engine.
	HandleTTL time.Duration
}

// Service is a pool of upstreams.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send. Limits of heads and idle connections are fixed in the process, above every value that
// a configuration names.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// NeedsKeys is set when the configuration names accounts.
	NeedsKeys bool
	routes    map[string][]*Route // by host, longest prefix first
	accounts  map[string]*Account // by key
}

// NewConfig returns a configuration with indexes for look-ups. accounts maps each key to its account.
func NewConfig(version int64, limits Limits, services []*Service, routes []*Route, accounts map[string]*Account) *Config {
	c := &Config{Version: version, Limits: limits, Services: make(map[string]*Service), NeedsKeys: len(accounts) > 0,
		routes: make(map[string][]*Route), accounts: accounts}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		c.routes[route.Host] = append(c.routes[route.Host], route)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c
}

// Match returns the route with the longest prefix that begins path, among the routes of host.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the account that holds key.
func (c *Config) Account(key string) (*Account, bool) {
	account, ok := c.accounts[key]
	return account, ok
}

// Upstream is one running process of a service.
type Upstream struct {
	// ID names the upstream; Incarnation tells its starts under the same ID apart.
	ID          string
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	// Leaving upstreams take no new work.
	Leaving bool
	// Doubtful upstreams were missing when the store had just come back; they may announce themselves again or be gone.
	Doubtful bool
	Stage    Stage
}
