package follow

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/monotime"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// MemberOptions configures Members.
type MemberOptions struct {
	Store kv.Store
	// List reads the pairs of a prefix; the result may be some seconds old.
	List func(ctx context.Context, prefix string) ([]kv.Pair, int64, error)
	// Prefix is the key prefix of all members, and Name is the name of this member.
	Prefix, Name string
	// LeaderKey is the key held by the leader, the one process that may send orders. It is outside Prefix.
	LeaderKey string
	// Value is the value that this member publishes to the others.
	Value []byte
	// Check returns an error for the value of a key that is not one of a member; nil if each value is one.
	Check func(value []byte) error
	// TTL is the lease time of a member's key: how long a stopped member stays listed. The lease is renewed every TTL/3.
	TTL time.Duration
	// ShrinkDelay is the time for which a smaller number of members must last before it takes effect. Leases expire
	// during an outage of the service, and this must not enlarge the share of the fleet-wide limits that a running
	// process uses.
	ShrinkDelay time.Duration
	// HistoryChanged returns a channel that is closed when the store went back to a copy. It then lost the keys of this process.
	HistoryChanged func() <-chan struct{}
	Status
}

// Members registers this process as a member and tracks all members. Create it with NewMembers.
type Members struct {
	options     MemberOptions
	storeStatus *dependency
	onCount     func(count int)
	onList      func(values map[string]string)
	leaseID     int64
	count       int
	odd         int       // number of listed keys that are not of a member
	fewerSince  time.Time // start of the time in which fewer members than count are listed; zero if not

	leader Leadership
}

// NewMembers returns the membership of this process. onCount is called with the number of members when it changes, and
// onList with the value of each member after each read.
func NewMembers(options MemberOptions, onCount func(count int), onList func(values map[string]string)) *Members {
	return &Members{
		options: options, storeStatus: &dependency{Status: options.Status, name: "store: members"},
		onCount: onCount, onList: onList,
	}
}

// Leadership returns the leadership state of this process.
func (m *Members) Leadership() *Leadership { return &m.leader }

// Run keeps this process registered until ctx ends.
func (m *Members) Run(ctx context.Context) {
	for ctx.Err() == nil {
		historyChanged := m.options.HistoryChanged()
		if err := m.renew(ctx); err != nil {
			m.storeStatus.failed(ctx, err)
			continue
		}
		m.storeStatus.succeeded()
		wait.ForOr(ctx, m.options.TTL/3, historyChanged)
	}
	m.leader.release()
	if m.leaseID != 0 {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := m.options.Store.RevokeLease(revokeCtx, m.leaseID); err != nil {
			m.options.Logger.Info("membership lease was not revoked; it will expire", zap.String("error", err.Error()))
		}
	}
}

// renew renews the lease of this member's key and reads the keys of all members.
func (m *Members) renew(ctx context.Context) error {
	sentAt := monotime.Now()
	if m.leaseID != 0 {
		err := m.options.Store.RenewLease(ctx, m.leaseID)
		if errors.Is(err, kv.ErrLeaseNotFound) {
			m.leaseID = 0
			m.leader.release()
		} else if err != nil {
			return err
		}
	}
	if m.leaseID == 0 {
		if err := m.announce(ctx); err != nil {
			return err
		}
	}
	m.leader.renewed(sentAt, m.options.TTL)
	pairs, _, err := m.options.List(ctx, m.options.Prefix)
	if err != nil {
		return err
	}
	values := make(map[string]string, len(pairs))
	first := m.options.Name
	odd, problem := 0, error(nil)
	for _, pair := range pairs {
		name := strings.TrimPrefix(pair.Key, m.options.Prefix)
		if err := m.check(name, pair.Value); err != nil {
			odd, problem = odd+1, errors.Wrap(err, pair.Key)
			continue
		}
		values[name] = string(pair.Value)
		first = min(first, name)
	}
	if odd != m.odd {
		m.options.Logger.Warn("entries that name no process", zap.Int("before", m.odd), zap.Int("now", odd), zap.NamedError("last", problem))
		m.odd = odd
	}
	m.onList(values)
	m.updateCount(len(values), time.Now())
	if first == m.options.Name && !m.leader.held() {
		return m.campaign(ctx)
	}
	return nil
}

// check returns an error for a key that is not one of a member.
func (m *Members) check(name string, value []byte) error {
	switch {
	case name == m.options.Name || m.options.Check == nil:
		return nil
	case name == "":
		return errors.New("no name")
	}
	return m.options.Check(value)
}

// campaign takes the leader key if no process holds it. Only the member with the first name tries, to save calls.
func (m *Members) campaign(ctx context.Context) error {
	revision, err := m.options.Store.CompareAndSwap(ctx, m.options.LeaderKey, []byte(m.options.Name), 0, m.leaseID)
	if errors.Is(err, kv.ErrConflict) {
		revision, err = m.replaceUnleased(ctx)
	}
	switch {
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrNotFound):
		return nil // held by another process, or by this one before its restart; the key expires with its lease
	case err != nil:
		return err
	}
	m.options.Logger.Info("leadership taken", zap.Int64("fence", revision))
	m.leader.acquire(revision)
	return nil
}

// replaceUnleased takes the leader key if it has no lease: a process never writes it so, and it would not expire.
func (m *Members) replaceUnleased(ctx context.Context) (revision int64, err error) {
	pair, err := m.options.Store.Get(ctx, m.options.LeaderKey)
	if err != nil {
		return 0, err
	}
	if pair.LeaseID != 0 {
		return 0, kv.ErrConflict
	}
	m.options.Logger.Warn("leader key of another writer is replaced", zap.Int64("revision", pair.ModRevision))
	return m.options.Store.CompareAndSwap(ctx, m.options.LeaderKey, []byte(m.options.Name), pair.ModRevision, m.leaseID)
}

func (m *Members) announce(ctx context.Context) error {
	key := m.options.Prefix + m.options.Name
	lease, err := m.options.Store.GrantLease(ctx, m.options.TTL)
	if err != nil {
		return err
	}
	revision := int64(0)
	old, err := m.options.Store.Get(ctx, key)
	if err == nil {
		revision = old.ModRevision // the key was written by an earlier run of this process
	} else if !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	if _, err := m.options.Store.CompareAndSwap(ctx, key, m.options.Value, revision, lease); err != nil {
		return err
	}
	m.leaseID = lease
	return nil
}

// updateCount processes the number of listed members. A smaller number takes effect after it has lasted for ShrinkDelay.
func (m *Members) updateCount(count int, now time.Time) {
	if count >= m.count {
		m.fewerSince = time.Time{}
	} else if m.fewerSince.IsZero() {
		m.fewerSince = now
		return
	} else if now.Sub(m.fewerSince) < m.options.ShrinkDelay {
		return
	}
	if count != m.count {
		m.options.Logger.Info("processes counted", zap.Int("before", m.count), zap.Int("now", count))
		m.count, m.fewerSince = count, time.Time{}
		m.onCount(count)
	}
}
