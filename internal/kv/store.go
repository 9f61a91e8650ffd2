// Package kv defines the interface to the platform's key-value service.
package kv

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the ModRevision of the key was not the expected one; nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means that the service did not execute the call, or that no usable response to a read, a watch or
	// a lease renewal arrived. No key was written.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown means that no usable response to a write arrived; the write may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of write unknown")
	// ErrCompacted means that a watch or a read of an earlier value needs a revision that the service has compacted.
	ErrCompacted = errors.New("revision compacted")
	// ErrFutureRevision means that a read of an earlier value needs a revision that the service has not reached.
	ErrFutureRevision = errors.New("revision not reached")
	// ErrLeaseNotFound means that the lease does not exist: it expired, was revoked or was never granted.
	ErrLeaseNotFound = errors.New("lease not found")
)

// Pair is a key with its value.
type Pair struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision at which the pair was last written.
	ModRevision int64
	// LeaseID is the lease that the key is attached to; 0 for none.
	LeaseID int64
}

// Event is a change of one key.
type Event struct {
	Pair    Pair
	Deleted bool
}

// WatchUpdate delivers changes up to Revision. Without events it is a progress notification, which confirms that the
// watch has delivered all changes up to Revision.
type WatchUpdate struct {
	Revision int64
	Events   []Event
	// Err, if not nil, is the reason why the watch ended. This update is the last one.
	Err error
}

// HistoryReader is implemented by a Store that keeps earlier values for some time.
type HistoryReader interface {
	// GetAt returns the pair that key had at a revision of the store. It is never answered from outdated data.
	// Errors: ErrNotFound, ErrUnavailable, ErrCompacted, ErrFutureRevision.
	GetAt(ctx context.Context, key string, revision int64) (Pair, error)
}

// Store is the platform's key-value service. All methods are safe for concurrent use.
type Store interface {
	// Get returns the pair of key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs whose key has prefix, ordered by key, and the store's revision. Errors: ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// CompareAndSwap writes value if the key's ModRevision equals revision; revision 0 means that the key must not exist.
	// lease 0 attaches no lease. It returns the new revision of the store.
	// Errors: ErrConflict, ErrUnavailable, ErrOutcomeUnknown, ErrLeaseNotFound.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (int64, error)
	// Delete removes the key if its ModRevision equals revision. Errors: as for CompareAndSwap.
	Delete(ctx context.Context, key string, revision int64) (int64, error)
	// Watch delivers the changes of keys with prefix, starting at revision (inclusive). The channel is closed after an
	// update with Err or when ctx ends.
	Watch(ctx context.Context, prefix string, revision int64) (<-chan WatchUpdate, error)
	// GrantLease creates a lease with a time to live. Errors: ErrUnavailable, ErrOutcomeUnknown.
	GrantLease(ctx context.Context, ttl time.Duration) (int64, error)
	// RenewLease resets the remaining time of a lease to its time to live. Errors: ErrLeaseNotFound, ErrUnavailable.
	RenewLease(ctx context.Context, lease int64) error
	// RevokeLease deletes a lease and its keys. Errors: ErrLeaseNotFound, ErrUnavailable, ErrOutcomeUnknown.
	RevokeLease(ctx context.Context, lease int64) error
}
