// Package engine is a stand-in for a model engine. Core simulates the engine in time taken from package time and
// implements the Engine interface directly; Server offers it over HTTP in the style of vLLM.
package engine

import (
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// Config holds the settings of a Core. Zero values take the defaults of DefaultConfig, except where stated.
type Config struct {
	// Name is a prefix of export handles and should differ between engines.
	Name string
	// Address is named in exported handles; importing engines resolve it.
	Address string
	// Role is the kind of work accepted; unspecified accepts all.
	Role wirev1.EngineRole
	// Models that the engine serves; none means that every model is served.
	Models []string
	// Places is the number of requests that decode at the same time.
	Places int
	// PrefillSlots is the number of prompts processed at the same time.
	PrefillSlots int
	// QueueLimit is the number of prompts that may wait.
	QueueLimit int
	// BlockTokens is the size of a memory block.
	BlockTokens int
	// MemoryBlocks is the memory for running requests and exports.
	MemoryBlocks int
	// CacheBlocks is the memory of the prefix cache.
	CacheBlocks int
	// ExportLifetime is the time after which an export that nobody imports is evicted.
	ExportLifetime time.Duration
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int
	// LinkBytesPerSecond is the rate shared by all concurrent imports of the engine.
	LinkBytesPerSecond float64
	// PrefillTokensPerSecond is the speed of a slot, before SpeedFactor.
	PrefillTokensPerSecond float64
	// TokenGap is the time between output tokens, before SpeedFactor.
	TokenGap time.Duration
	// SpeedFactor multiplies both speeds.
	SpeedFactor float64
	// MeanOutputTokens is the mean length of an answer that max_tokens does not cut; zero means that no answer ends early.
	MeanOutputTokens int
	// LoadLag is the age of load reports; zero means none.
	LoadLag time.Duration
	// EventDelay is the time between a change of the prefix cache and its event; zero means none.
	EventDelay time.Duration
	// EventLoss is the share of events left out of each answer, 0 to 1.
	EventLoss float64
	// EventLog is the number of events kept for replay.
	EventLog int
	// IgnoreFencing makes the engine carry out orders with old fencing numbers.
	IgnoreFencing bool
	// OrderTime is the time an order takes; zero means none.
	OrderTime time.Duration
	// Seed of the random event loss.
	Seed uint64
	// Resolve returns the engine at an address, for imports. With nil, every import fails.
	Resolve func(address string) Remote
}

// DefaultConfig returns the default settings. A prompt of 4,000 tokens takes as long as 8 output tokens, one of 20,000
// as long as 40.
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

// Faults is the set of faults in force. The zero value is a sound engine.
type Faults struct {
	// Stall stops all progress; health, metrics and audit still answer.
	Stall bool `json:"stall"`
	// SlowTransfer divides the link rate if above 1.
	SlowTransfer float64 `json:"slow_transfer"`
	// StallTransfer stops all imports.
	StallTransfer bool `json:"stall_transfer"`
	// SlowCompute divides the prefill and decode speeds if above 1.
	SlowCompute float64 `json:"slow_compute"`
	// Refuse rejects all new requests.
	Refuse bool `json:"refuse"`
	// Drop ends all connections and requests once; it does not stay in force.
	Drop bool `json:"drop"`
}
