// Package engine is a stand-in for a model engine. Core implements the Engine interface and simulates processing times
// with package time, so that tests can run it in the virtual time of testing/synctest. Server exposes a Core over HTTP
// with an API in the style of vLLM.
package engine

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Config holds the settings of a Core. A zero value selects the default of DefaultConfig, except where stated
// otherwise.
type Config struct {
	// Name is the prefix of export handles. It should be unique among the engines.
	Name string
	// Address is the address of this engine in the handles of its exports. Importing engines pass it to Resolve.
	Address string
	// Role is the kind of work that the engine accepts. An unspecified role accepts prefills and decodes.
	Role wirev1.EngineRole
	// Models lists the models that the engine serves. If it is empty, the engine serves every model.
	Models []string
	// Places is the maximum number of concurrent decode requests.
	Places int
	// PrefillSlots is the maximum number of concurrent prefills.
	PrefillSlots int
	// QueueLimit is the maximum number of prompts that wait for a prefill slot.
	QueueLimit int
	// BlockTokens is the size of a memory block in tokens.
	BlockTokens int
	// MemoryBlocks is the memory for running requests and exports, in blocks.
	MemoryBlocks int
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	// ExportLifetime is the time after which an export that has not been imported is evicted.
	ExportLifetime time.Duration
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int
	// LinkBytesPerSecond is the bandwidth shared by all concurrent imports of the engine.
	LinkBytesPerSecond float64
	// PrefillTokensPerSecond is the speed of one prefill slot, before SpeedFactor is applied.
	PrefillTokensPerSecond float64
	// TokenGap is the time between output tokens, before SpeedFactor is applied.
	TokenGap time.Duration
	// SpeedFactor multiplies the prefill and the decode speed.
	SpeedFactor float64
	// MeanOutputTokens is the mean length of an answer without a limit by max_tokens. Zero means that every answer has
	// max_tokens tokens.
	MeanOutputTokens int
	// LoadLag is the age of the reported load. Zero is not replaced by a default: reports are up to date.
	LoadLag time.Duration
	// EventDelay is the time between a change of the prefix cache and its event. Zero is not replaced by a default:
	// events are sent at once.
	EventDelay time.Duration
	// EventLoss is the share of cache events dropped from each response, 0 to 1.
	EventLoss float64
	// EventLog is the number of cache events kept for replay.
	EventLog int
	// IgnoreFencing makes the engine execute orders with stale fencing numbers.
	IgnoreFencing bool
	// OrderTime is the time that the execution of an order takes. Zero means no time.
	OrderTime time.Duration
	// Seed is the seed of the random event loss.
	Seed uint64
	// Resolve returns the engine at an address, to import KV cache from it. If Resolve is nil, every import fails.
	Resolve func(address string) Remote
}

// DefaultConfig returns the default settings. With them, the prefill of 4,000 prompt tokens takes as long as 8 output
// tokens, and that of 20,000 prompt tokens as long as 40 output tokens.
func DefaultConfig() Config {
	return Config{
		Name:                   "engine",
		Places:                 20,
		PrefillSlots:           1,
		QueueLimit:             256,
		BlockTokens:            2048,
		MemoryBlocks:           512,
		CacheBlocks:            1024,
		ExportLifetime:         800 * time.Millisecond,
		KVBytesPerToken:        128 << 10,
		LinkBytesPerSecond:     12.5e9,
		PrefillTokensPerSecond: 20_000,
		TokenGap:               25 * time.Millisecond,
		SpeedFactor:            1,
		LoadLag:                500 * time.Millisecond,
		EventDelay:             200 * time.Millisecond,
		EventLog:               4096,
	}
}

func (c Config) withDefaults() Config {
	defaults := DefaultConfig()
	setDefault(&c.Name, defaults.Name)
	setDefault(&c.Places, defaults.Places)
	setDefault(&c.PrefillSlots, defaults.PrefillSlots)
	setDefault(&c.QueueLimit, defaults.QueueLimit)
	setDefault(&c.BlockTokens, defaults.BlockTokens)
	setDefault(&c.MemoryBlocks, defaults.MemoryBlocks)
	setDefault(&c.CacheBlocks, defaults.CacheBlocks)
	setDefault(&c.ExportLifetime, defaults.ExportLifetime)
	setDefault(&c.KVBytesPerToken, defaults.KVBytesPerToken)
	setDefault(&c.LinkBytesPerSecond, defaults.LinkBytesPerSecond)
	setDefault(&c.PrefillTokensPerSecond, defaults.PrefillTokensPerSecond)
	setDefault(&c.TokenGap, defaults.TokenGap)
	setDefault(&c.SpeedFactor, defaults.SpeedFactor)
	setDefault(&c.EventLog, defaults.EventLog)
	return c
}

func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// Faults is the set of injected faults. The zero value injects none.
type Faults struct {
	// Stall stops the progress of all requests; the health, metrics and audit calls still respond.
	Stall bool `json:"stall"`
	// SlowTransfer divides the bandwidth of the import link if it is above 1.
	SlowTransfer float64 `json:"slow_transfer"`
	// StallTransfer stops the progress of all imports.
	StallTransfer bool `json:"stall_transfer"`
	// SlowCompute divides the prefill and decode speeds if it is above 1.
	SlowCompute float64 `json:"slow_compute"`
	// Refuse rejects all new requests.
	Refuse bool `json:"refuse"`
	// Drop ends all current requests and closes their connections. It is a single action and does not stay active.
	Drop bool `json:"drop"`
}
