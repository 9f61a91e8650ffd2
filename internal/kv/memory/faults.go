package memory

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// Faults are the faults and rate limits that a Store simulates. The zero value has none.
type Faults struct {
	// Down fails every call with kv.ErrUnavailable and ends all watches.
	Down bool
	// Delay is the duration of each call. A call takes effect after half of it, even if its context has ended by then.
	// Each update of a watch is delayed by it as well.
	Delay time.Duration
	// Jitter is the upper limit of a random time that is added to the Delay of each call.
	Jitter time.Duration
	// Hanging blocks each new call until its context ends, without any effect. Watches deliver nothing.
	Hanging bool
	// LoseAnswers is the number of writes that take effect but whose responses are lost.
	LoseAnswers int
	// LoseRate is the probability, from 0 to 1, with which the response to any other write is lost.
	LoseRate float64
	// LostWriteDelay delays the effect of a write whose response is lost: it is applied this long after the error was
	// returned. The caller gets kv.ErrOutcomeUnknown even if the write conflicts when it is applied.
	LostWriteDelay time.Duration
	// StaleLists makes List return stale data: the pairs and the revision that the store had when this fault was set.
	StaleLists bool
	// NoProgress disables the progress notifications of watches.
	NoProgress bool
	// WritesPerSecond and ReadsPerSecond limit the rate of calls, with a burst of one second of calls; 0 means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Calls counts the calls to a Store, including those that failed.
type Calls struct {
	// Reads are gets, lists and starts of watches.
	Reads uint64 `json:"reads"`
	// Writes are swaps, deletes and all lease calls.
	Writes uint64 `json:"writes"`
	// WatchSeconds is the sum of the full seconds that each watch has been open. Each second counts as one call.
	WatchSeconds uint64 `json:"watch_seconds"`
	// Refused is the number of Reads and Writes that failed at their start because of an outage or the rate limit. A call
	// that fails because of an outage that begins later is not included.
	Refused uint64 `json:"refused"`
}

// Total returns the number of calls that count towards the rate limits of the service.
func (c Calls) Total() uint64 {
	return c.Reads + c.Writes + c.WatchSeconds
}

// SetFaults replaces all faults.
func (s *Store) SetFaults(faults Faults) {
	s.ChangeFaults(func(f *Faults) { *f = faults })
}

// ChangeFaults modifies the current faults with change.
func (s *Store) ChangeFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	change(&faults)
	if faults.Down && !s.faults.Down {
		s.outages++
		s.notifyWatchesLocked()
	}
	if faults.StaleLists && !s.faults.StaleLists {
		s.staleList = listing{s.listLocked(""), s.revision}
	}
	s.faults = faults
	s.writeLimit = newLimiter(faults.WritesPerSecond)
	s.readLimit = newLimiter(faults.ReadsPerSecond)
}

// Faults returns the current faults. LoseAnswers is the number of responses that are still to be lost.
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

// Calls returns the numbers of calls since the store was created.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	calls.WatchSeconds = s.endedWatchSeconds
	for w := range s.watches {
		calls.WatchSeconds += w.elapsedSeconds()
	}
	return calls
}

type callKind int

const (
	callRead callKind = iota
	callWrite
	// callRenew counts as a write. As renewals are idempotent, a missing response is reported as kv.ErrUnavailable.
	// LoseAnswers and LoseRate do not apply to renewals.
	callRenew
)

// noResponseError returns the error for a call whose response does not arrive.
func (k callKind) noResponseError() error {
	if k == callWrite {
		return kv.ErrOutcomeUnknown
	}
	return kv.ErrUnavailable
}

// call simulates the faults for one call and runs effect with the store's lock held.
func call[T any](ctx context.Context, s *Store, kind callKind, effect func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	delay, outages, err := s.admit(kind)
	if err != nil {
		return zero, err
	}
	if delay == neverAnswered {
		<-ctx.Done()
		return zero, errors.Wrap(kind.noResponseError(), ctx.Err().Error())
	}
	if delay <= 0 {
		return apply(s, kind, effect)
	}
	return callWithDelay(ctx, s, kind, delay, outages, effect)
}

// callWithDelay runs effect after half of the delay and returns its result after the whole delay.
func callWithDelay[T any](
	ctx context.Context, s *Store, kind callKind, delay time.Duration, seenOutages uint64, effect func() (T, error),
) (T, error) {
	type callResult struct {
		value T
		err   error
	}
	var zero T
	results := make(chan callResult, 1)
	time.AfterFunc(delay/2, func() {
		value, err := apply(s, kind, effect)
		results <- callResult{value, err}
	})
	var result callResult
	select {
	case result = <-results:
	case <-ctx.Done():
		return zero, errors.Wrap(kind.noResponseError(), ctx.Err().Error())
	}
	if err := sleep(ctx, delay-delay/2); err != nil {
		return zero, errors.Wrap(kind.noResponseError(), err.Error())
	}
	if result.err == nil && s.outageSince(seenOutages) {
		return zero, kind.noResponseError()
	}
	return result.value, result.err
}

// neverAnswered is returned by admit as the delay of a call that blocks until its context ends.
const neverAnswered time.Duration = -1

// admit counts a call and fails during an outage or above the rate limit. It returns the delay of the call and the
// number of outages so far.
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
		return neverAnswered, s.outages, nil
	}
	delay = s.faults.Delay
	if s.faults.Jitter > 0 {
		delay += time.Duration(s.random.Int64N(int64(s.faults.Jitter)))
	}
	return delay, s.outages, nil
}

// apply runs effect with the lock held, unless the service is down. It simulates lost responses and late writes.
func apply[T any](s *Store, kind callKind, effect func() (T, error)) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var zero T
	if s.faults.Down {
		return zero, kv.ErrUnavailable
	}
	if effectDelay := s.faults.LostWriteDelay; effectDelay > 0 && kind == callWrite && s.loseAnswerLocked() {
		time.AfterFunc(effectDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = effect()
		})
		return zero, kv.ErrOutcomeUnknown
	}
	value, err := effect()
	if err == nil && kind == callWrite && s.faults.LostWriteDelay <= 0 && s.loseAnswerLocked() {
		return zero, kv.ErrOutcomeUnknown
	}
	return value, err
}

// loseAnswerLocked decides whether the response to a write is lost.
func (s *Store) loseAnswerLocked() bool {
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
