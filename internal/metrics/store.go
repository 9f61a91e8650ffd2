package metrics

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// instrumentedStore counts and times the calls to the key-value service.
type instrumentedStore struct {
	next      kv.Store
	calls     *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

var _ kv.HistoryReader = (*instrumentedStore)(nil)

// InstrumentStore returns a store that counts and times the calls to next by kind and result.
func InstrumentStore(registry *prometheus.Registry, next kv.Store) kv.Store {
	s := &instrumentedStore{
		next:      next,
		calls:     counterVec("store_calls_total", "Calls to the key-value service, by kind and result.", "call", "result"),
		durations: histogramVec("store_call_seconds", "Time of calls to the key-value service.", storeBuckets, "call"),
	}
	registry.MustRegister(s.calls, s.durations)
	return s
}

// storeResult returns the value of the label result for an error.
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
	case errors.Is(err, kv.ErrFutureRevision):
		return "future_revision"
	case errors.Is(err, kv.ErrLeaseNotFound):
		return "lease_not_found"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "cancelled"
	default:
		return "error"
	}
}

func (s *instrumentedStore) observe(call string, start time.Time, err error) {
	s.calls.WithLabelValues(call, storeResult(err)).Inc()
	s.durations.WithLabelValues(call).Observe(time.Since(start).Seconds())
}

// Get implements kv.Store.
func (s *instrumentedStore) Get(ctx context.Context, key string) (kv.Pair, error) {
	start := time.Now()
	pair, err := s.next.Get(ctx, key)
	s.observe("get", start, err)
	return pair, err
}

// GetAt implements kv.HistoryReader. A store without earlier values has dropped them.
func (s *instrumentedStore) GetAt(ctx context.Context, key string, revision int64) (kv.Pair, error) {
	reader, ok := s.next.(kv.HistoryReader)
	if !ok {
		return kv.Pair{}, kv.ErrCompacted
	}
	start := time.Now()
	pair, err := reader.GetAt(ctx, key, revision)
	s.observe("get_at", start, err)
	return pair, err
}

// List implements kv.Store.
func (s *instrumentedStore) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	start := time.Now()
	pairs, revision, err := s.next.List(ctx, prefix)
	s.observe("list", start, err)
	return pairs, revision, err
}

// CompareAndSwap implements kv.Store.
func (s *instrumentedStore) CompareAndSwap(ctx context.Context, key string, value []byte, revision, lease int64) (int64, error) {
	start := time.Now()
	written, err := s.next.CompareAndSwap(ctx, key, value, revision, lease)
	s.observe("compare_and_swap", start, err)
	return written, err
}

// Delete implements kv.Store.
func (s *instrumentedStore) Delete(ctx context.Context, key string, revision int64) (int64, error) {
	start := time.Now()
	written, err := s.next.Delete(ctx, key, revision)
	s.observe("delete", start, err)
	return written, err
}

// Watch implements kv.Store. The measured time ends when the watch is set up.
func (s *instrumentedStore) Watch(ctx context.Context, prefix string, revision int64) (<-chan kv.WatchUpdate, error) {
	start := time.Now()
	updates, err := s.next.Watch(ctx, prefix, revision)
	s.observe("watch", start, err)
	return updates, err
}

// GrantLease implements kv.Store.
func (s *instrumentedStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	start := time.Now()
	lease, err := s.next.GrantLease(ctx, ttl)
	s.observe("grant_lease", start, err)
	return lease, err
}

// RenewLease implements kv.Store.
func (s *instrumentedStore) RenewLease(ctx context.Context, lease int64) error {
	start := time.Now()
	err := s.next.RenewLease(ctx, lease)
	s.observe("renew_lease", start, err)
	return err
}

// RevokeLease implements kv.Store.
func (s *instrumentedStore) RevokeLease(ctx context.Context, lease int64) error {
	start := time.Now()
	err := s.next.RevokeLease(ctx, lease)
	s.observe("revoke_lease", start, err)
	return err
}
