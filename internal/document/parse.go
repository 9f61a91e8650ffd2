// Package document reads, compares and edits the documents in which teams declare their accounts, keys, routes, models
// and upstreams.
package document

import (
	"strings"
	"time"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/settings"
)

// Values of fields that hold a word.
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
	// MaxBytes is the longest text of a document. The key-value service holds values of up to 1 MB.
	MaxBytes = 1_000_000
	// MinBurstSeconds is the least burst in seconds of rate: the ledger holds back StartSlack (2 s) of rate from the
	// burst, and a request needs room beside it.
	MinBurstSeconds = 4

	maxTimeout   = 24 * time.Hour
	maxPatience  = 1000
	maxMaxTokens = 1 << 20

	fieldPrefix = "fulmardoor.config.v1.Document."
)

// rules are the rules of single fields; the defaults are those of the schema's comments.
var rules = settings.Rules{
	fieldPrefix + "Header.team":     teamRule().Need(),
	fieldPrefix + "Header.apply_id": settings.Name(),

	fieldPrefix + "Account.rate":  settings.Between(1, settings.MaxTokens).Need(),
	fieldPrefix + "Account.burst": settings.Between(1, settings.MaxTokens).Need(),

	fieldPrefix + "Key.account": settings.Name().Need(),
	fieldPrefix + "Key.sha256": settings.Rule{Required: true, Secret: true, Check: settings.IsSHA256,
		Allowed: "the hexadecimal SHA-256 of the key, 64 digits"},
	fieldPrefix + "Key.state": settings.OneOf(StateGranted, StateWithdrawn).Or(StateGranted),

	fieldPrefix + "Route.path":        settings.Rule{Required: true, Check: isPath, Allowed: `a path that starts with "/"`},
	fieldPrefix + "Route.methods":     settings.Rule{Check: areMethods, Allowed: strings.Join(knownMethods, ", ") + "; comma separated"},
	fieldPrefix + "Route.pool":        settings.Name().Need(),
	fieldPrefix + "Route.cost_tokens": settings.Between(1, settings.MaxTokens).Or("1"),
	fieldPrefix + "Route.timeout":     settings.DurationBetween(time.Millisecond, maxTimeout).Or("30s"),

	fieldPrefix + "Model.first_token_target": settings.DurationBetween(time.Millisecond, maxTimeout).Or("1800ms"),
	fieldPrefix + "Model.token_gap_target":   settings.DurationBetween(time.Microsecond, maxTimeout).Or("35ms"),
	fieldPrefix + "Model.patience":           settings.Between(0.01, maxPatience).Or("1"),
	fieldPrefix + "Model.default_max_tokens": settings.Between(1, maxMaxTokens).Or("256"),

	fieldPrefix + "Upstream.address": settings.Address().Need(),
	fieldPrefix + "Upstream.pool":    settings.Name().Need(),
	fieldPrefix + "Upstream.role":    settings.OneOf(RolePrefill, RoleDecode, RoleService).Need(),
	fieldPrefix + "Upstream.state":   settings.OneOf(StateActive, StateLeaving).Or(StateActive),
}

var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Parse reads a document, fills in the defaults and brings hashes to lower case. name stands for the text in faults. The error is a
// *settings.Faults with every fault.
func Parse(name string, text []byte) (*configv1.Document, error) {
	if len(text) > MaxBytes {
		faults := &settings.Faults{}
		faults.Add(settings.Fault{File: name, Problem: "document is longer than 1000000 bytes"})
		return nil, faults.Err()
	}
	document := &configv1.Document{}
	positions, faults := settings.DecodeRules(name, text, document, rules)
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

// Methods returns the methods of a route; nil stands for all.
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

// IsTeam reports whether text is an acceptable name of a team.
func IsTeam(text string) bool {
	return settings.IsName(text) && !strings.Contains(text, "/")
}

func isPath(text string) bool {
	return strings.HasPrefix(text, "/") && !strings.ContainsAny(text, "?#;\"'` \t")
}

func areMethods(text string) bool {
	for _, method := range Methods(&configv1.Document_Route{Methods: text}) {
		known := false
		for _, candidate := range knownMethods {
			known = known || candidate == method
		}
		if !known {
			return false
		}
	}
	return true
}
