package settings

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
)

const (
	pkg = "fulmardoor.config.v1."

	maxDrain      = 24 * time.Hour
	maxPlaces     = 1 << 16
	maxBlock      = 1 << 20
	maxBodyBytes  = 1 << 30
	maxRunning    = 1 << 20
	maxShards     = 1 << 16
	sha256Hex     = 64
	operatorParts = 3
)

// processRules are the rules of the settings of the programs; the defaults are those of the schema's comments.
var processRules = Rules{
	pkg + "ProcessSettings.name":        Name().Need(),
	pkg + "ProcessSettings.host":        Name().Need(),
	pkg + "ProcessSettings.data_centre": Name().Need(),
	pkg + "ProcessSettings.region":      Name().Or("default"),
	pkg + "ProcessSettings.log_level":   OneOf("debug", "info", "warn", "error").Or("info"),

	pkg + "PeerSettings.listen":             ListenAddress().Need(),
	pkg + "PeerSettings.heartbeat_interval": DurationBetween(10*time.Millisecond, 10*time.Second).Or("500ms"),

	pkg + "PlatformSettings.store_url":     URL().Need(),
	pkg + "PlatformSettings.host_list_url": optional(URL()),
	pkg + "PlatformSettings.call_timeout":  DurationBetween(10*time.Millisecond, time.Minute).Or("1s"),

	pkg + "CallerSettings.listen":          ListenAddress().Need(),
	pkg + "CallerSettings.max_body_bytes":  Between(1, maxBodyBytes).Or("8388608"),
	pkg + "CallerSettings.upstream_subset": Between(1, maxRunning).Or("32"),
	pkg + "CallerSettings.max_running":     Between(1, maxRunning).Or("4096"),
	pkg + "CallerSettings.drain_delay":     DurationBetween(0, maxDrain).Or("3s"),
	pkg + "CallerSettings.drain_limit":     DurationBetween(0, maxDrain).Or("10m"),
	pkg + "CallerSettings.entries": optional(Rule{Check: everyPart(isAddress),
		Allowed: "comma separated IP addresses with ports"}),

	pkg + "LedgerSettings.shards": Between(1, maxShards).Or("16"),

	pkg + "AdminSettings.listen": ListenAddress().Need(),
	pkg + "AdminSettings.operators": optional(Rule{Check: everyPart(isOperator), Secret: true,
		Allowed: "comma separated name:sha256-of-token:team; team * for all"}),

	pkg + "UpstreamSettings.name":          Name().Need(),
	pkg + "UpstreamSettings.url":           URL().Need(),
	pkg + "UpstreamSettings.pool":          Name().Need(),
	pkg + "UpstreamSettings.role":          OneOf("prefill", "decode", "service").Need(),
	pkg + "UpstreamSettings.places":        Between(1, maxPlaces).Or("20"),
	pkg + "UpstreamSettings.eviction":      DurationBetween(time.Millisecond, time.Hour).Or("800ms"),
	pkg + "UpstreamSettings.block_tokens":  Between(1, maxBlock).Or("2048"),
	pkg + "UpstreamSettings.resume_window": DurationBetween(0, time.Minute).Or("3s"),
	pkg + "UpstreamSettings.drain_limit":   DurationBetween(0, maxDrain).Or("10m"),
}

// DefaultEntry fills in the defaults of absent values.
func DefaultEntry(s *configv1.EntrySettings) { Check(s, processRules, nil, &Faults{}) }

// DefaultSidecar fills in the defaults of absent values.
func DefaultSidecar(s *configv1.SidecarSettings) { Check(s, processRules, nil, &Faults{}) }

// ValidateEntry returns a *Faults with every fault of the settings, or nil. Absent values count with their defaults; s
// is not changed.
func ValidateEntry(s *configv1.EntrySettings) error { return validate(s) }

// ValidateSidecar is ValidateEntry for the settings of a sidecar.
func ValidateSidecar(s *configv1.SidecarSettings) error { return validate(s) }

func validate(message proto.Message) error {
	faults := &Faults{}
	Check(proto.Clone(message), processRules, nil, faults)
	checkTLS(message, nil, faults)
	return faults.Err()
}

// checkTLS adds a fault when only some of the PEM files that go together are given.
func checkTLS(message proto.Message, positions *Positions, faults *Faults) {
	var peers *configv1.PeerSettings
	var callers *configv1.CallerSettings
	switch s := message.(type) {
	case *configv1.EntrySettings:
		peers, callers = s.GetPeers(), s.GetCallers()
	case *configv1.SidecarSettings:
		peers = s.GetPeers()
	}
	files := map[string]string{
		"certificate_file": peers.GetCertificateFile(),
		"key_file":         peers.GetKeyFile(),
		"authority_file":   peers.GetAuthorityFile(),
	}
	allOrNone("peers", files, positions, faults)
	files = map[string]string{"certificate_file": callers.GetCertificateFile(), "key_file": callers.GetKeyFile()}
	allOrNone("callers", files, positions, faults)
}

func allOrNone(section string, files map[string]string, positions *Positions, faults *Faults) {
	given := 0
	for _, path := range files {
		if path != "" {
			given++
		}
	}
	if given == 0 || given == len(files) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(files)) {
		if files[key] != "" {
			continue
		}
		fault := Fault{Line: positions.Line(section, key), Section: section, Key: key,
			Problem: "missing; the PEM files of a section go together"}
		if positions != nil {
			fault.File = positions.File
		}
		faults.Add(fault)
	}
}

// optional accepts the empty text as well.
func optional(rule Rule) Rule {
	check := rule.Check
	rule.Check = func(text string) bool { return text == "" || check(text) }
	return rule
}

// everyPart accepts comma separated parts that check accepts.
func everyPart(check func(string) bool) func(string) bool {
	return func(text string) bool {
		for part := range strings.SplitSeq(text, ",") {
			if !check(strings.TrimSpace(part)) {
				return false
			}
		}
		return true
	}
}

func isOperator(text string) bool {
	parts := strings.Split(text, ":")
	if len(parts) != operatorParts {
		return false
	}
	return IsName(parts[0]) && IsSHA256(parts[1]) && (parts[2] == "*" || IsName(parts[2]))
}

// IsSHA256 reports whether text is a hexadecimal SHA-256.
func IsSHA256(text string) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == sha256Hex
}

// MaxTokens is the largest rate and burst; the sum of many charges stays exact in a float64.
const MaxTokens = 1e12
