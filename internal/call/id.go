// Package call keeps the calls of one sidecar: each runs at most once, its answer survives a lost connection, and a query
// about a call that never started keeps it from ever starting.
package call

import (
	"fmt"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// ID identifies one call over the lifetime of all processes.
type ID struct {
	Incarnation uint64
	Sequence    uint64
}

// FromWire converts a wire ID.
func FromWire(id *wirev1.CallID) ID {
	return ID{Incarnation: id.GetIncarnation(), Sequence: id.GetSequence()}
}

// Wire converts the ID for another process.
func (id ID) Wire() *wirev1.CallID {
	return &wirev1.CallID{Incarnation: id.Incarnation, Sequence: id.Sequence}
}

// String returns the form used in logs, events and towards upstreams.
func (id ID) String() string {
	return fmt.Sprintf("%016x-%d", id.Incarnation, id.Sequence)
}
