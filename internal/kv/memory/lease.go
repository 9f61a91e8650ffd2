package memory

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

type lease struct {
	ttl     time.Duration
	renewed time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

// GrantLease implements kv.Store. A lease lapses by time even during an outage.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if ttl <= 0 {
		return 0, errors.Errorf("lease: time to live %v is not positive", ttl)
	}
	return call(ctx, s, callWrite, func() (int64, error) {
		s.lastLease++
		id := s.lastLease
		s.leases[id] = &lease{
			ttl:     ttl,
			renewed: time.Now(),
			timer:   time.AfterFunc(ttl, func() { s.lapse(id) }),
			keys:    make(map[string]struct{}),
		}
		return id, nil
	})
}

// RenewLease implements kv.Store.
func (s *Store) RenewLease(ctx context.Context, id int64) error {
	_, err := s.Renew(ctx, id)
	return err
}

// Renew extends a lease as RenewLease does and returns its time to live.
func (s *Store) Renew(ctx context.Context, id int64) (time.Duration, error) {
	return call(ctx, s, callRenew, func() (time.Duration, error) {
		if !s.leaseAliveLocked(id) {
			return 0, kv.ErrLeaseNotFound
		}
		l := s.leases[id]
		l.renewed = time.Now()
		l.timer.Reset(l.ttl)
		return l.ttl, nil
	})
}

// RevokeLease implements kv.Store. Errors: kv.ErrLeaseNotFound, kv.ErrUnavailable, kv.ErrOutcomeUnknown.
func (s *Store) RevokeLease(ctx context.Context, id int64) error {
	_, err := call(ctx, s, callWrite, func() (struct{}, error) {
		if !s.leaseAliveLocked(id) {
			return struct{}{}, kv.ErrLeaseNotFound
		}
		s.endLeaseLocked(id)
		return struct{}{}, nil
	})
	return err
}

// lapse ends a lease when its time is over. A renewal may have come between the timer and the lock.
func (s *Store) lapse(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseAliveLocked(id)
}

// leaseAliveLocked tells whether the lease exists, and ends it if its time is over.
func (s *Store) leaseAliveLocked(id int64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	if time.Since(l.renewed) >= l.ttl {
		s.endLeaseLocked(id)
		return false
	}
	return true
}

// endLeaseLocked deletes all keys of a lease in one revision.
func (s *Store) endLeaseLocked(id int64) {
	l := s.leases[id]
	l.timer.Stop()
	keys := slices.Sorted(maps.Keys(l.keys))
	if len(keys) > 0 {
		s.deleteLocked(keys...)
	}
	delete(s.leases, id)
}

// detachLocked takes a pair off its lease.
func (s *Store) detachLocked(pair kv.Pair) {
	if l, ok := s.leases[pair.LeaseID]; ok {
		delete(l.keys, pair.Key)
	}
}
