// Package document reads, compares and edits the documents in which teams declare their accounts, keys, routes, models
// and upstreams.
package document

import (
	"strings"
	"time"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// Values of the fields state and role.
const (
	StateGranted   = "granted"
	StateWithdrawn = "withdrawn"

	StateActive  = "active"
	StateLeaving = "leaving"

	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleService = "service"
)

const (
	// MaxBytes is the maximum length of a document. The key-value service stores values of up to 1 MB.
	MaxBytes = 1_000_000
	// MinBurstSeconds is the minimum burst as a multiple of the rate per second. The bucket capacity is the burst
	// minus ledger.MaxStartDelay (2 s) of rate, and must be large enough for a request.
	MinBurstSeconds = 4

	maxTimeout   = 24 * time.Hour
	maxPatience  = 1000
	maxMaxTokens = 1 << 20

	fieldPrefix = "fulmardoor.config.v1.Document."
)

// rules holds the rules for single fields. The defaults are documented in the schema's comments.
var rules = settings.Rules{
	fieldPrefix + "Header.team":     teamRule().AsRequired(),
	fieldPrefix + "Header.apply_id": settings.Name(),

	fieldPrefix + "Account.rate":  settings.Between(1, settings.MaxTokens).AsRequired(),
	fieldPrefix + "Account.burst": settings.Between(1, settings.MaxTokens).AsRequired(),

	fieldPrefix + "Key.account": settings.Name().AsRequired(),
	fieldPrefix + "Key.sha256": settings.Rule{Required: true, Secret: true, Check: settings.IsSHA256,
		Allowed: "the hexadecimal SHA-256 of the key, 64 digits"},
	fieldPrefix + "Key.state": settings.OneOf(StateGranted, StateWithdrawn).WithDefault(StateGranted),

	fieldPrefix + "Route.path":        settings.Rule{Required: true, Check: isPath, Allowed: `a path that starts with "/"`},
	fieldPrefix + "Route.methods":     settings.Rule{Check: isMethodList, Allowed: strings.Join(knownMethods, ", ") + "; comma-separated"},
	fieldPrefix + "Route.pool":        settings.Name().AsRequired(),
	fieldPrefix + "Route.cost_tokens": settings.Between(1, settings.MaxTokens).WithDefault("1"),
	fieldPrefix + "Route.timeout":     settings.DurationBetween(time.Millisecond, maxTimeout).WithDefault("30s"),

	fieldPrefix + "Model.first_token_target": settings.DurationBetween(time.Millisecond, maxTimeout).WithDefault("1800ms"),
	fieldPrefix + "Model.token_gap_target":   settings.DurationBetween(time.Microsecond, maxTimeout).WithDefault("35ms"),
	fieldPrefix + "Model.patience":           settings.Between(0.01, maxPatience).WithDefault("1"),
	fieldPrefix + "Model.default_max_tokens": settings.Between(1, maxMaxTokens).WithDefault("256"),

	fieldPrefix + "Upstream.address": settings.Address().AsRequired(),
	fieldPrefix + "Upstream.pool":    settings.Name().AsRequired(),
	fieldPrefix + "Upstream.role":    settings.OneOf(RolePrefill, RoleDecode, RoleService).AsRequired(),
	fieldPrefix + "Upstream.state":   settings.OneOf(StateActive, StateLeaving).WithDefault(StateActive),
}

var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Parse decodes and validates a document, sets the defaults and converts hashes to lower case. name is the file name in
// faults. The error is a *settings.Faults with all faults.
func Parse(name string, text []byte) (*configv1.Document, error) {
	if len(text) > MaxBytes {
		faults := &settings.Faults{}
		faults.Add(settings.Fault{File: name, Problem: "document is longer than 1000000 bytes"})
		return nil, faults.Err()
	}
	document := &configv1.Document{}
	positions, faults := settings.DecodeWithRules(name, text, document, rules)
	c := &checker{document: document, positions: positions, faults: faults}
	c.run()
	for _, key := range document.GetKeys() {
		key.Sha256 = strings.ToLower(key.GetSha256())
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// Methods returns the methods that a route accepts; nil means all.
func Methods(route *configv1.Document_Route) []string {
	if strings.TrimSpace(route.GetMethods()) == "" {
		return nil
	}
	methods := strings.Split(route.GetMethods(), ",")
	for i := range methods {
		methods[i] = strings.TrimSpace(methods[i])
	}
	return methods
}

// teamRule excludes "/", because the team is the last part of the document's key in the store.
func teamRule() settings.Rule {
	return settings.Rule{
		Allowed: "1 to 128 letters, digits or any of . _ : @ -",
		Check:   IsTeam,
	}
}

// IsTeam reports whether text is a valid name of a team.
func IsTeam(text string) bool {
	return settings.IsName(text) && !strings.Contains(text, "/")
}

func isPath(text string) bool {
	return strings.HasPrefix(text, "/") && !strings.ContainsAny(text, "?#;\"'` \t")
}

func isMethodList(text string) bool {
	for _, method := range Methods(&configv1.Document_Route{Methods: text}) {
		valid := false
		for _, candidate := range knownMethods {
			valid = valid || candidate == method
		}
		if !valid {
			return false
		}
	}
	return true
}
