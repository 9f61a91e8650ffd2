package processtest

import (
	"fmt"
	"strings"
	"time"
)

// listenerLimitFlags makes the tests pass the limits to fulmardoor-router. Earlier versions do not have the flags and would not start with them.
// The keys of the INI settings of entry and sidecar are known already, so they are always written.
const listenerLimitFlags = true

// listenerLimits are the limits of one listener in a test.
type listenerLimits struct {
	connections, connectionsPerAddress     int
	headMemoryBytes                        int64
	headBytes, headLines                   int
	headTimeout, bodyTimeout, writeTimeout time.Duration
}

var (
	// callerLimits and otherLimits are far below the crowds of the tests. A further address can always connect beside one that has
	// all connections that one address may have. With 64 MB of memory, headMemoryBytes is the default.
	callerLimits = listenerLimits{
		connections: 200, connectionsPerAddress: 150, headMemoryBytes: 6_400_000, headBytes: 64 << 10, headLines: 16384,
		headTimeout: time.Second, bodyTimeout: time.Second, writeTimeout: time.Second,
	}
	otherLimits = listenerLimits{
		connections: 64, connectionsPerAddress: 48, headMemoryBytes: 3_200_000, headBytes: 64 << 10, headLines: 16384,
		headTimeout: time.Second, bodyTimeout: time.Second, writeTimeout: time.Second,
	}
)

// settings returns the names of the settings and their values.
func (l listenerLimits) settings() [][2]string {
	return [][2]string{
		{"max_connections", fmt.Sprint(l.connections)}, {"max_connections_per_address", fmt.Sprint(l.connectionsPerAddress)},
		{"head_memory_bytes", fmt.Sprint(l.headMemoryBytes)}, {"max_head_bytes", fmt.Sprint(l.headBytes)}, {"max_head_lines", fmt.Sprint(l.headLines)},
		{"head_timeout", l.headTimeout.String()}, {"body_timeout", l.bodyTimeout.String()}, {"write_timeout", l.writeTimeout.String()},
	}
}

// routerLimitFlags returns the flags of a router whose listeners have the limits of these tests.
func routerLimitFlags() []string {
	var flags []string
	if !listenerLimitFlags {
		return flags
	}
	for prefix, limits := range map[string]listenerLimits{"": callerLimits, "admin-": otherLimits, "peer-": otherLimits} {
		for _, setting := range limits.settings() {
			flags = append(flags, "--"+prefix+strings.ReplaceAll(setting[0], "_", "-"), setting[1])
		}
	}
	return flags
}

// limitSections returns the sections with the limits of these tests for the listeners of an entry or a sidecar.
func limitSections(listeners ...string) string {
	var text ini
	for _, listener := range listeners {
		limits := otherLimits
		if listener == "caller" {
			limits = callerLimits
		}
		var pairs []string
		for _, setting := range limits.settings() {
			pairs = append(pairs, setting[0], setting[1])
		}
		text.section(listener+"_limits", pairs...)
	}
	return text.String()
}
