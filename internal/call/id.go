// Package call manages the calls of one sidecar. Each call runs at most once, its answer is buffered so that delivery
// can resume after a lost connection, and a query about a call that has not started can bar it from ever starting.
package call

import (
	"fmt"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
)

// ID identifies one call. It is unique across processes and their restarts.
type ID struct {
	// Incarnation identifies one run of the process that created the ID.
	Incarnation uint64
	// Sequence numbers the calls of the incarnation.
	Sequence uint64
}

// FromWire converts the wire form to an ID.
func FromWire(id *wirev1.CallID) ID {
	return ID{Incarnation: id.GetIncarnation(), Sequence: id.GetSequence()}
}

// Wire converts the ID to its wire form.
func (id ID) Wire() *wirev1.CallID {
	return &wirev1.CallID{Incarnation: id.Incarnation, Sequence: id.Sequence}
}

// String returns the form that is used in logs, events and requests to upstreams.
func (id ID) String() string {
	return fmt.Sprintf("%016x-%d", id.Incarnation, id.Sequence)
}
