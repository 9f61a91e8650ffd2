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
	schemaPackage = "fulmardoor.config.v1."

	maxDrainTime    = 24 * time.Hour
	maxPlaces       = 1 << 16
	maxBlockTokens  = 1 << 20
	maxBodyBytes    = 1 << 30
	maxRunning      = 1 << 20
	maxShards       = 1 << 16
	sha256HexDigits = 64
	operatorFields  = 3

	// maxConnections and maxHeadMemory are above the descriptors and the memory of any host; the start checks the values against the host.
	maxConnections = 1 << 20
	maxHeadMemory  = 1 << 40
	maxHeadBytes   = 1 << 20
	maxHeadLines   = 1 << 18
	maxClientPause = time.Hour
)

// processRules holds the rules for the settings of all programs. The defaults are documented in the schema's comments.
var processRules = Rules{
	schemaPackage + "ProcessSettings.name":        Name().AsRequired(),
	schemaPackage + "ProcessSettings.host":        Name().AsRequired(),
	schemaPackage + "ProcessSettings.data_centre": Name().AsRequired(),
	schemaPackage + "ProcessSettings.region":      Name().WithDefault("default"),
	schemaPackage + "ProcessSettings.log_level":   OneOf("debug", "info", "warn", "error").WithDefault("info"),

	schemaPackage + "PeerSettings.listen":               ListenAddress().AsRequired(),
	schemaPackage + "PeerSettings.heartbeat_interval":   DurationBetween(10*time.Millisecond, 10*time.Second).WithDefault("500ms"),
	schemaPackage + "PeerSettings.max_streams":          Between(0, maxConnections),
	schemaPackage + "PeerSettings.message_memory_bytes": Between(0, maxHeadMemory),

	schemaPackage + "PlatformSettings.store_url":     URL().AsRequired(),
	schemaPackage + "PlatformSettings.host_list_url": allowEmpty(URL()),
	schemaPackage + "PlatformSettings.call_timeout":  DurationBetween(10*time.Millisecond, time.Minute).WithDefault("1s"),

	schemaPackage + "ListenerLimits.max_connections":             Between(0, maxConnections),
	schemaPackage + "ListenerLimits.max_connections_per_address": Between(0, maxConnections),
	schemaPackage + "ListenerLimits.head_memory_bytes":           Between(0, maxHeadMemory),
	schemaPackage + "ListenerLimits.receive_memory_bytes":        Between(0, maxHeadMemory),
	schemaPackage + "ListenerLimits.max_requests":                Between(0, maxConnections),
	schemaPackage + "ListenerLimits.max_head_bytes":              Between(0, maxHeadBytes),
	schemaPackage + "ListenerLimits.max_head_lines":              Between(0, maxHeadLines),
	schemaPackage + "ListenerLimits.head_timeout":                DurationBetween(0, maxClientPause),
	schemaPackage + "ListenerLimits.body_timeout":                DurationBetween(0, maxClientPause),
	schemaPackage + "ListenerLimits.write_timeout":               DurationBetween(0, maxClientPause),

	schemaPackage + "CallerSettings.listen":            ListenAddress().AsRequired(),
	schemaPackage + "CallerSettings.max_body_bytes":    Between(1, maxBodyBytes).WithDefault("8388608"),
	schemaPackage + "CallerSettings.body_memory_bytes": Between(0, maxHeadMemory),
	schemaPackage + "CallerSettings.upstream_subset":   Between(1, maxRunning).WithDefault("32"),
	schemaPackage + "CallerSettings.max_running":       Between(1, maxRunning).WithDefault("4096"),
	schemaPackage + "CallerSettings.drain_delay":       DurationBetween(0, maxDrainTime).WithDefault("3s"),
	schemaPackage + "CallerSettings.drain_limit":       DurationBetween(0, maxDrainTime).WithDefault("10m"),
	schemaPackage + "CallerSettings.entries": allowEmpty(Rule{Check: listOf(isAddress),
		Allowed: "comma-separated IP addresses with ports"}),

	schemaPackage + "LedgerSettings.shards": Between(1, maxShards).WithDefault("16"),

	schemaPackage + "AdminSettings.listen": ListenAddress().AsRequired(),
	schemaPackage + "AdminSettings.operators": allowEmpty(Rule{Check: listOf(isOperator), Secret: true,
		Allowed: "comma-separated name:sha256-of-token:team; team * for all"}),

	schemaPackage + "UpstreamSettings.name":          Name().AsRequired(),
	schemaPackage + "UpstreamSettings.url":           URL().AsRequired(),
	schemaPackage + "UpstreamSettings.pool":          Name().AsRequired(),
	schemaPackage + "UpstreamSettings.role":          OneOf("prefill", "decode", "service").AsRequired(),
	schemaPackage + "UpstreamSettings.places":        Between(1, maxPlaces).WithDefault("20"),
	schemaPackage + "UpstreamSettings.eviction":      DurationBetween(time.Millisecond, time.Hour).WithDefault("800ms"),
	schemaPackage + "UpstreamSettings.block_tokens":  Between(1, maxBlockTokens).WithDefault("2048"),
	schemaPackage + "UpstreamSettings.resume_window": DurationBetween(0, time.Minute).WithDefault("3s"),
	schemaPackage + "UpstreamSettings.drain_limit":   DurationBetween(0, maxDrainTime).WithDefault("10m"),
}

// DefaultEntry sets the unset fields of s to their defaults.
func DefaultEntry(s *configv1.EntrySettings) { applyRules(s, processRules, nil, &Faults{}) }

// DefaultSidecar sets the unset fields of s to their defaults.
func DefaultSidecar(s *configv1.SidecarSettings) { applyRules(s, processRules, nil, &Faults{}) }

// ValidateEntry returns a *Faults with all faults of the settings, or nil. Unset fields are validated as if they had their
// defaults; s is not changed.
func ValidateEntry(s *configv1.EntrySettings) error { return validate(s) }

// ValidateSidecar validates the settings of a sidecar as ValidateEntry does.
func ValidateSidecar(s *configv1.SidecarSettings) error { return validate(s) }

func validate(message proto.Message) error {
	faults := &Faults{}
	applyRules(proto.Clone(message), processRules, nil, faults)
	checkTLS(message, nil, faults)
	return faults.Err()
}

// checkTLS adds a fault for each missing PEM file of a section in which others are set.
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
	checkAllOrNone("peers", files, positions, faults)
	files = map[string]string{"certificate_file": callers.GetCertificateFile(), "key_file": callers.GetKeyFile()}
	checkAllOrNone("callers", files, positions, faults)
}

// checkAllOrNone adds a fault for each empty path in files, unless all are empty.
func checkAllOrNone(section string, files map[string]string, positions *Positions, faults *Faults) {
	set := 0
	for _, path := range files {
		if path != "" {
			set++
		}
	}
	if set == 0 || set == len(files) {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(files)) {
		if files[key] != "" {
			continue
		}
		fault := Fault{Line: positions.Line(section, key), Section: section, Key: key,
			Problem: "missing; set all PEM files of this section or none"}
		if positions != nil {
			fault.File = positions.File
		}
		faults.Add(fault)
	}
}

// allowEmpty returns the rule with a check that also accepts the empty text.
func allowEmpty(rule Rule) Rule {
	check := rule.Check
	rule.Check = func(text string) bool { return text == "" || check(text) }
	return rule
}

// listOf returns a check for a comma-separated list whose elements pass check.
func listOf(check func(string) bool) func(string) bool {
	return func(text string) bool {
		for element := range strings.SplitSeq(text, ",") {
			if !check(strings.TrimSpace(element)) {
				return false
			}
		}
		return true
	}
}

func isOperator(text string) bool {
	fields := strings.Split(text, ":")
	if len(fields) != operatorFields {
		return false
	}
	return IsName(fields[0]) && IsSHA256(fields[1]) && (fields[2] == "*" || IsName(fields[2]))
}

// IsSHA256 reports whether text is a hexadecimal SHA-256.
func IsSHA256(text string) bool {
	_, err := hex.DecodeString(text)
	return err == nil && len(text) == sha256HexDigits
}

// MaxTokens is the largest rate and burst. Up to this size, sums of many charges are exact in a float64.
const MaxTokens = 1e12
