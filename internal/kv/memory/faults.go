package memory

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// Faults of the service. The zero value is a healthy service without rate limits.
type Faults struct {
	// Down fails every call with kv.ErrUnavailable and ends all watches.
	Down bool
	// Delay is the time that each call takes. A call takes effect after half of it, even if its caller gave up before.
	// It also delays each update of a watch.
	Delay time.Duration
	// Jitter is the upper limit of a random time that is added to the Delay of each call.
	Jitter time.Duration
	// Hanging holds every call that starts until its context ends; the call has no effect. Watches deliver nothing.
	Hanging bool
	// LoseAnswers is the number of writes whose answers are lost after they took effect.
	LoseAnswers int
	// LoseRate is the part of the other writes, from 0 to 1, whose answers are lost.
	LoseRate float64
	// LateBy is the time after the loss of its answer at which a write takes effect. Such a write counts as lost even if
	// it then conflicts.
	LateBy time.Duration
	// OldLists makes List answer with the pairs and the revision that the store had when this fault began.
	OldLists bool
	// NoProgress turns off the progress notices of watches.
	NoProgress bool
	// WritesPerSecond and ReadsPerSecond limit the calls, with one second's worth as burst; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Calls counts the calls, with those that failed.
type Calls struct {
	// Reads are gets, lists and starts of watches.
	Reads uint64 `json:"reads"`
	// Writes are swaps, deletes and all calls for leases.
	Writes uint64 `json:"writes"`
	// WatchSeconds counts one call for each full second that a watch waits.
	WatchSeconds uint64 `json:"watch_seconds"`
	// Refused is the part of Reads and Writes that failed because of an outage or the rate limit.
	Refused uint64 `json:"refused"`
}

// Total is the number of calls that count against the service's rates.
func (c Calls) Total() uint64 {
	return c.Reads + c.Writes + c.WatchSeconds
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(faults Faults) {
	s.ChangeFaults(func(f *Faults) { *f = faults })
}

// ChangeFaults changes some faults and keeps the others.
func (s *Store) ChangeFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	change(&faults)
	if faults.Down && !s.faults.Down {
		s.outages++
		s.wakeLocked()
	}
	if faults.OldLists && !s.faults.OldLists {
		s.old = listing{s.listLocked(""), s.revision}
	}
	s.faults = faults
	s.writeLimit = newLimiter(faults.WritesPerSecond)
	s.readLimit = newLimiter(faults.ReadsPerSecond)
}

// Faults returns the faults in force. LoseAnswers is the number still to be lost.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Calls returns the number of calls since the start.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	calls.WatchSeconds = s.endedWatchS
	for w := range s.watches {
		calls.WatchSeconds += w.seconds()
	}
	return calls
}

type callKind int

const (
	callRead callKind = iota
	callWrite
	// callRenew counts as a write; since a renewal can be repeated, its lost answer is reported as unavailable.
	callRenew
)

// lost is the error of a call whose answer does not arrive.
func (k callKind) lost() error {
	if k == callWrite {
		return kv.ErrOutcomeUnknown
	}
	return kv.ErrUnavailable
}

// call passes a call through the faults and runs effect under the store's lock.
func call[T any](ctx context.Context, s *Store, kind callKind, effect func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	delay, outages, err := s.admit(kind)
	if err != nil {
		return zero, err
	}
	if delay == hangs {
		<-ctx.Done()
		return zero, errors.Wrap(kind.lost(), ctx.Err().Error())
	}
	if delay <= 0 {
		return apply(s, kind, effect)
	}
	return delayed(ctx, s, kind, delay, outages, effect)
}

// delayed runs effect after half of the delay and answers after all of it.
func delayed[T any](
	ctx context.Context, s *Store, kind callKind, delay time.Duration, outages uint64, effect func() (T, error),
) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var zero T
	answers := make(chan answer, 1)
	time.AfterFunc(delay/2, func() {
		value, err := apply(s, kind, effect)
		answers <- answer{value, err}
	})
	var a answer
	select {
	case a = <-answers:
	case <-ctx.Done():
		return zero, errors.Wrap(kind.lost(), ctx.Err().Error())
	}
	if err := sleep(ctx, delay-delay/2); err != nil {
		return zero, errors.Wrap(kind.lost(), err.Error())
	}
	if a.err == nil && s.outageSince(outages) {
		return zero, kind.lost()
	}
	return a.value, a.err
}

// hangs is the delay of a call that is never answered.
const hangs time.Duration = -1

// admit counts a call and refuses it during an outage or over the rate limit.
func (s *Store) admit(kind callKind) (delay time.Duration, outages uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.readLimit
	if kind == callRead {
		s.calls.Reads++
	} else {
		s.calls.Writes++
		limit = s.writeLimit
	}
	if s.faults.Down {
		s.calls.Refused++
		return 0, 0, kv.ErrUnavailable
	}
	if !limit.Allow() {
		s.calls.Refused++
		return 0, 0, ErrRateLimited
	}
	if s.faults.Hanging {
		return hangs, s.outages, nil
	}
	delay = s.faults.Delay
	if s.faults.Jitter > 0 {
		delay += time.Duration(s.random.Int64N(int64(s.faults.Jitter)))
	}
	return delay, s.outages, nil
}

// apply runs effect under the lock and loses its answer if that fault is on.
func apply[T any](s *Store, kind callKind, effect func() (T, error)) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zero T
	if s.faults.Down {
		return zero, kv.ErrUnavailable
	}
	if late := s.faults.LateBy; late > 0 && kind == callWrite && s.losesAnswerLocked() {
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = effect()
		})
		return zero, kv.ErrOutcomeUnknown
	}
	value, err := effect()
	if err == nil && kind == callWrite && s.faults.LateBy <= 0 && s.losesAnswerLocked() {
		return zero, kv.ErrOutcomeUnknown
	}
	return value, err
}

// losesAnswerLocked decides whether the answer to a write is lost.
func (s *Store) losesAnswerLocked() bool {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseRate > 0 && s.random.Float64() < s.faults.LoseRate
}

func (s *Store) outageSince(outages uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outages != outages
}

func sleep(ctx context.Context, d time.Duration) error {
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
