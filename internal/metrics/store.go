package metrics

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// store counts the calls to the key-value service.
type store struct {
	next  kv.Store
	calls *prometheus.CounterVec
	times *prometheus.HistogramVec
}

// Store returns a store that counts the calls to next by kind and result.
func Store(registry *prometheus.Registry, next kv.Store) kv.Store {
	s := &store{
		next:  next,
		calls: counterVec("store_calls_total", "Calls to the key-value service, by kind and result.", "call", "result"),
		times: histogramVec("store_call_seconds", "Time of calls to the key-value service.", storeBuckets, "call"),
	}
	registry.MustRegister(s.calls, s.times)
	return s
}

// storeResult returns the label of an error.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, kv.ErrNotFound):
		return "not_found"
	case errors.Is(err, kv.ErrConflict):
		return "conflict"
	case errors.Is(err, kv.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, kv.ErrOutcomeUnknown):
		return "outcome_unknown"
	case errors.Is(err, kv.ErrCompacted):
		return "compacted"
	case errors.Is(err, kv.ErrLeaseNotFound):
		return "lease_not_found"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "cancelled"
	default:
		return "error"
	}
}

func (s *store) note(call string, begin time.Time, err error) {
	s.calls.WithLabelValues(call, storeResult(err)).Inc()
	s.times.WithLabelValues(call).Observe(time.Since(begin).Seconds())
}

// Get implements kv.Store.
func (s *store) Get(ctx context.Context, key string) (kv.Pair, error) {
	begin := time.Now()
	pair, err := s.next.Get(ctx, key)
	s.note("get", begin, err)
	return pair, err
}

// List implements kv.Store.
func (s *store) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	begin := time.Now()
	pairs, revision, err := s.next.List(ctx, prefix)
	s.note("list", begin, err)
	return pairs, revision, err
}

// CompareAndSwap implements kv.Store.
func (s *store) CompareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (int64, error) {
	begin := time.Now()
	written, err := s.next.CompareAndSwap(ctx, key, value, revision, lease)
	s.note("compare_and_swap", begin, err)
	return written, err
}

// Delete implements kv.Store.
func (s *store) Delete(ctx context.Context, key string, revision int64) (int64, error) {
	begin := time.Now()
	written, err := s.next.Delete(ctx, key, revision)
	s.note("delete", begin, err)
	return written, err
}

// Watch implements kv.Store. The time is that until the watch is set up.
func (s *store) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.WatchUpdate, error) {
	begin := time.Now()
	updates, err := s.next.Watch(ctx, prefix, revision)
	s.note("watch", begin, err)
	return updates, err
}

// GrantLease implements kv.Store.
func (s *store) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	begin := time.Now()
	lease, err := s.next.GrantLease(ctx, ttl)
	s.note("grant_lease", begin, err)
	return lease, err
}

// RenewLease implements kv.Store.
func (s *store) RenewLease(ctx context.Context, lease int64) error {
	begin := time.Now()
	err := s.next.RenewLease(ctx, lease)
	s.note("renew_lease", begin, err)
	return err
}

// RevokeLease implements kv.Store.
func (s *store) RevokeLease(ctx context.Context, lease int64) error {
	begin := time.Now()
	err := s.next.RevokeLease(ctx, lease)
	s.note("revoke_lease", begin, err)
	return err
}
