package scheduler

import (
	"time"
)

const (
	// TargetMargin is subtracted from the first-token target when the wait for a place is limited, so that a request
	// still meets its target if the place or the transfer is somewhat late.
	TargetMargin = 200 * time.Millisecond
	// QuoteMaxAge is the wait for a decode place after which the prefill quote is outdated and a new one is needed,
	// because other prompts have been sent to the quoted engine in the meantime.
	QuoteMaxAge = 50 * time.Millisecond

	// The levels order requests of an account that have the same caller's priority; a higher level is served first.
	levelOverdue   = 0
	levelInTarget  = 1
	levelContinued = 2
	levels         = 3
)

// ReservationAttempt holds the parameters of one attempt to reserve a place.
type ReservationAttempt struct {
	// Wait is the longest wait for a grant.
	Wait time.Duration
	// Priority combines the caller's priority with a level.
	Priority int32
}

// DecodeAttempts returns the attempts to reserve a decode place, to be made one after the other until one is granted.
// While the request can still meet its first-token target, it is served before the requests of its account that cannot.
// After that it has their priority until its limit. Without this order, an overload makes every request of an account
// miss the target. A continued stream goes before both and may wait for its whole limit again, whatever elapsed is.
// elapsed is the time since the request arrived; estimate is the expected time from the grant to the first token.
func (r *Request) DecodeAttempts(elapsed, estimate time.Duration) []ReservationAttempt {
	limit := r.FirstTokenLimit()
	if limit == 0 {
		return []ReservationAttempt{{Wait: unlimitedWait, Priority: r.priorityAt(levelInTarget)}}
	}
	if r.Continued {
		return []ReservationAttempt{{Wait: limit, Priority: r.priorityAt(levelContinued)}}
	}
	attempts := make([]ReservationAttempt, 0, 2)
	inTarget := r.FirstTokenTarget - TargetMargin - estimate - elapsed
	if inTarget > 0 {
		attempts = append(attempts, ReservationAttempt{inTarget, r.priorityAt(levelInTarget)})
	}
	if remaining := limit - estimate - elapsed - max(0, inTarget); remaining > 0 {
		attempts = append(attempts, ReservationAttempt{remaining, r.priorityAt(levelOverdue)})
	}
	return attempts
}

// unlimitedWait is the wait of a request without a first-token target.
const unlimitedWait = time.Hour

// PrefillPriority returns the priority of the prefill reservation. The request already holds a decode place, which is
// wasted while it waits, so overdue requests are not put behind the others here. Only continued streams go first.
func (r *Request) PrefillPriority() int32 {
	if r.Continued {
		return r.priorityAt(levelContinued)
	}
	return r.priorityAt(levelInTarget)
}

// priorityAt combines the caller's priority with a level, which decides only between equal caller's priorities.
func (r *Request) priorityAt(level int32) int32 {
	return r.Priority*levels + level
}

// DecodeCost returns the cost of a decode reservation in the fair queue: tokens divided by the account's weight. With
// equal weights, only the account with the largest granted rate would be delayed in a shortage.
func (r *Request) DecodeCost() uint64 {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	return uint64(max(1, float64(r.PromptTokens+r.MaxTokens)/weight))
}
