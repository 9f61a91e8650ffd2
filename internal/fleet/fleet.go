// Package fleet has the types for the configuration and the upstreams of a deployment, independent of the platform that they
// are read from.
// Values of this package are immutable once they are published.
package fleet

import (
	"sort"
	"strings"
	"time"
)

// Kind says whether requests of a route may be retried after they may have run.
type Kind int

const (
	// NonIdempotent requests run at most once. It is the zero value, so that requests of an unknown kind are never retried.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events. They may be retried only on a resumable route.
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

// Stage is the part of a model request that an engine executes.
type Stage int

const (
	// StageNone is the stage of upstreams that are not model engines.
	StageNone Stage = iota
	// StagePrefill engines process prompts only.
	StagePrefill
	// StageDecode engines generate output. They can also process prompts, but more slowly.
	StageDecode
)

// Target is a service that gets a share of a route's requests, in proportion to Weight.
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
	// Timeout is the longest time that a client waits for a request; zero means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which a response, or the first event of a stream, meets the target.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between events with which a stream meets the target; zero means no target.
	PauseTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts is the largest number of upstreams that may run one request.
	Attempts int
	// NoKeyRequired is set if requests need no key.
	NoKeyRequired bool
	// Resumable is set if an interrupted stream may be continued by another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Account is a client account with its rate limit.
type Account struct {
	Name string
	// Priority is compared before the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the rate limit per second and Burst the capacity of the token bucket, in model tokens if CountsTokens is set
	// and in requests otherwise. A rate of zero means no limit.
	Rate, Burst  float64
	CountsTokens bool
	// PlainTokens is the charge for a request without token counts, in tokens.
	PlainTokens int
}

// Cost returns the charge for a request. tokens is the sum of its prompt and output tokens; it is used only if hasTokens is
// set.
func (a *Account) Cost(tokens int, hasTokens bool) float64 {
	if !a.CountsTokens {
		return 1
	}
	if !hasTokens {
		return float64(a.PlainTokens)
	}
	return float64(tokens)
}

// Engine has the properties of the model engines of a service.
type Engine struct {
	// KVTokens is the capacity of one engine's KV cache, in tokens.
	KVTokens int
	// KVTokenBytes is the size of one token in the KV cache.
	KVTokenBytes float64
	// LinkMbps is the bandwidth for KV cache transfers between engines, in megabits per second.
	LinkMbps float64
	// SwitchTime is how long an engine takes to change its stage; zero if it cannot change.
	SwitchTime time.Duration
	// MaxReservationTTL is the longest time for which KV cache memory can be reserved for a request before it arrives; zero
	// if reservations are not supported.
	MaxReservationTTL time.Duration
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

// Limits are the configured limits for clients. Those for request heads and idle connections are settings of the process (package ingress), whose
// defaults are above every value that a configuration has for them.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// NeedsKeys is set if the configuration has accounts.
	NeedsKeys bool
	routes    map[string][]*Route // by host, longest prefix first
	accounts  map[string]*Account // by key
}

// NewConfig returns a configuration with lookup indexes. accounts maps each key to its account.
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

// Match returns the route of host with the longest path prefix that matches path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, route := range c.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the account that key belongs to.
func (c *Config) Account(key string) (*Account, bool) {
	account, ok := c.accounts[key]
	return account, ok
}

// Accounts returns the accounts that have a key.
func (c *Config) Accounts() []*Account {
	seen := make(map[*Account]bool, len(c.accounts))
	var accounts []*Account
	for _, account := range c.accounts {
		if !seen[account] {
			seen[account] = true
			accounts = append(accounts, account)
		}
	}
	return accounts
}

// Upstream is a running process of a service.
type Upstream struct {
	// ID identifies the upstream; Incarnation distinguishes its starts under the same ID.
	ID          string
	Incarnation int64
	Service     string
	Address     string
	DataCentre  string
	Slots       int
	// Leaving is set if the upstream takes no new requests.
	Leaving bool
	// Unconfirmed is set if the upstream's entry is missing from the store since an outage of the store. The upstream may
	// have stopped, or it may not have announced itself again yet.
	Unconfirmed bool
	// Evacuated is set while the operators ask that the upstreams of this data centre get no requests. Unlike Leaving it may end.
	Evacuated bool
	Stage     Stage
}
