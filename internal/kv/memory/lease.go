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
	ttl       time.Duration
	renewedAt time.Time
	timer     *time.Timer
	keys      map[string]struct{}
}

// GrantLease implements kv.Store. Leases also expire during an outage.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if ttl <= 0 {
		return 0, errors.Errorf("lease: time to live %v is not positive", ttl)
	}
	return call(ctx, s, callWrite, func() (int64, error) {
		s.lastLeaseID++
		s.addLeaseLocked(s.lastLeaseID, ttl)
		return s.lastLeaseID, nil
	})
}

func (s *Store) addLeaseLocked(id int64, ttl time.Duration) {
	s.leases[id] = &lease{
		ttl:       ttl,
		renewedAt: time.Now(),
		timer:     time.AfterFunc(ttl, func() { s.expireLease(id) }),
		keys:      make(map[string]struct{}),
	}
}

// RenewLease implements kv.Store.
func (s *Store) RenewLease(ctx context.Context, id int64) error {
	_, err := s.Renew(ctx, id)
	return err
}

// Renew extends a lease as RenewLease does and returns its time to live.
func (s *Store) Renew(ctx context.Context, id int64) (time.Duration, error) {
	return call(ctx, s, callRenew, func() (time.Duration, error) {
		if !s.leaseValidLocked(id) {
			return 0, kv.ErrLeaseNotFound
		}
		l := s.leases[id]
		l.renewedAt = time.Now()
		l.timer.Reset(l.ttl)
		return l.ttl, nil
	})
}

// RevokeLease implements kv.Store. Errors: kv.ErrLeaseNotFound, kv.ErrUnavailable, kv.ErrOutcomeUnknown.
func (s *Store) RevokeLease(ctx context.Context, id int64) error {
	_, err := call(ctx, s, callWrite, func() (struct{}, error) {
		if !s.leaseValidLocked(id) {
			return struct{}{}, kv.ErrLeaseNotFound
		}
		s.deleteLeaseLocked(id)
		return struct{}{}, nil
	})
	return err
}

// expireLease is called by the timer of a lease. It deletes the lease unless it was renewed after the timer had fired.
func (s *Store) expireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseValidLocked(id)
}

// leaseValidLocked reports whether the lease exists and has not expired. It deletes an expired lease.
func (s *Store) leaseValidLocked(id int64) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	if time.Since(l.renewedAt) >= l.ttl {
		s.deleteLeaseLocked(id)
		return false
	}
	return true
}

// deleteLeaseLocked deletes a lease and, in one revision, all its keys.
func (s *Store) deleteLeaseLocked(id int64) {
	l := s.leases[id]
	l.timer.Stop()
	keys := slices.Sorted(maps.Keys(l.keys))
	if len(keys) > 0 {
		s.deleteLocked(keys...)
	}
	delete(s.leases, id)
}

// detachLeaseLocked detaches a pair from its lease.
func (s *Store) detachLeaseLocked(pair kv.Pair) {
	if l, ok := s.leases[pair.LeaseID]; ok {
		delete(l.keys, pair.Key)
	}
}
