package follow

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
)

// QuarantineOptions configures a Quarantine.
type QuarantineOptions struct {
	Store kv.Store
	List  *quarantine.List
	// Key is the key of the quarantined prompt parts. TTL is how long it lasts after it was written.
	Key string
	TTL time.Duration
	// HistoryChanged returns a channel that is closed when the store went back to a copy; nil if it cannot.
	HistoryChanged func() <-chan struct{}
	Status
}

// Quarantine keeps the quarantined prompt parts in the store, for processes that start while no other process knows them. The
// process that begins or lifts a quarantine writes all that it knows. Create it with NewQuarantine.
type Quarantine struct {
	options QuarantineOptions
	changes chan struct{}
}

// NewQuarantine returns a Quarantine that has not read the store yet.
func NewQuarantine(options QuarantineOptions) *Quarantine {
	return &Quarantine{options: options, changes: make(chan struct{}, 1)}
}

// NotifyChanged schedules a write. It does not block.
func (q *Quarantine) NotifyChanged() {
	select {
	case q.changes <- struct{}{}:
	default:
	}
}

// Run restores the list from the store, and then writes the list after each change until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	const name = "store: quarantine"
	dep := &dependency{Status: q.options.Status, name: name}
	for ctx.Err() == nil {
		err := q.restore(ctx)
		if err == nil {
			dep.succeeded()
			break
		}
		dep.failed(ctx, err)
	}
	if q.options.HistoryChanged != nil {
		go q.saveAfterReturns(ctx)
	}
	Refresh(ctx, q.changes, name, q.options.Status, func(ctx context.Context) error {
		err := q.save(ctx)
		if err != nil {
			q.NotifyChanged()
		}
		return err
	})
}

// saveAfterReturns schedules a write each time that the store went back to a copy. A process that knows no quarantined parts writes nothing: it may have
// started a moment ago, and another one may have written its own.
func (q *Quarantine) saveAfterReturns(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.options.HistoryChanged():
		}
		if len(q.options.List.Quarantined().Crashes) > 0 {
			q.NotifyChanged()
		}
	}
}

// restore reads the quarantined parts.
func (q *Quarantine) restore(ctx context.Context) error {
	pair, err := q.options.Store.Get(ctx, q.options.Key)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	message := new(wirev1.PromptReport)
	if err := proto.Unmarshal(pair.Value, message); err != nil {
		q.options.Logger.Error("cannot read the quarantined prompt parts", zap.String("error", err.Error()))
		return nil
	}
	now := time.Now()
	parts := q.options.List.Apply(quarantine.ReportFromMessage(message, now), now)
	q.options.Logger.Info("quarantined prompt parts restored", zap.Strings("parts", parts))
	return nil
}

// save writes the quarantined parts, or deletes the key if there are none.
func (q *Quarantine) save(ctx context.Context) error {
	store := q.options.Store
	pair, err := store.Get(ctx, q.options.Key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	report := q.options.List.Quarantined()
	if len(report.Crashes) == 0 {
		if pair.ModRevision == 0 {
			return nil
		}
		_, err := store.Delete(ctx, q.options.Key, pair.ModRevision)
		return err
	}
	value, err := proto.Marshal(report.Message(time.Now()))
	if err != nil {
		return errors.Wrap(err, "encode the quarantined prompt parts")
	}
	lease, err := store.GrantLease(ctx, q.options.TTL)
	if err != nil {
		return err
	}
	_, err = store.CompareAndSwap(ctx, q.options.Key, value, pair.ModRevision, lease)
	return err
}
