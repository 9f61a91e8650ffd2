package scheduler

import (
	"time"
)

const (
	// TargetMargin keeps the wait for a place short enough that a late place or transfer does not miss the target.
	TargetMargin = 200 * time.Millisecond
	// RequoteWait is the wait for a decode place after which the prefill quote is too old to use: other prompts have gone
	// to the quoted engine since.
	RequoteWait = 50 * time.Millisecond

	// The levels order the requests of an account that have the same priority of the caller.
	levelOverdue   = 0
	levelInTarget  = 1
	levelContinued = 2
	levels         = 3
)

// Ask is one reservation request for a decode place.
type Ask struct {
	// Wait is the longest wait for a grant.
	Wait     time.Duration
	Priority int32
}

// DecodeAsks returns the reservation requests to make one after the other until a place is granted. While the request can
// meet its first-token target it goes before those of its account that cannot any more; after that it goes behind them
// until its limit. Without this order an overload makes every request of an account miss the target. elapsed is the time
// since the request arrived, estimate the expected time from the grant to the first token.
func (r *Request) DecodeAsks(elapsed, estimate time.Duration) []Ask {
	limit := r.FirstTokenLimit()
	if limit == 0 {
		return []Ask{{Wait: unlimitedWait, Priority: r.level(levelInTarget)}}
	}
	if r.Continued {
		return []Ask{{Wait: limit, Priority: r.level(levelContinued)}}
	}
	asks := make([]Ask, 0, 2)
	inTarget := r.FirstTokenTarget - TargetMargin - estimate - elapsed
	if inTarget > 0 {
		asks = append(asks, Ask{inTarget, r.level(levelInTarget)})
	}
	if rest := limit - estimate - elapsed - max(0, inTarget); rest > 0 {
		asks = append(asks, Ask{rest, r.level(levelOverdue)})
	}
	return asks
}

// unlimitedWait stands for a request without a first-token target.
const unlimitedWait = time.Hour

// PrefillPriority returns the priority of the prefill reservation. Requests that get here hold a decode place, so only
// continued streams go first: a request that is made to wait there wastes its place.
func (r *Request) PrefillPriority() int32 {
	if r.Continued {
		return r.level(levelContinued)
	}
	return r.level(levelInTarget)
}

// level combines the caller's priority with a level.
func (r *Request) level(level int32) int32 {
	return r.Priority*levels + level
}

// DecodeCost returns the cost of a decode reservation for the fair order of accounts: tokens divided by the account's
// weight. With equal weights the account with the largest granted rate alone would bear every shortage.
func (r *Request) DecodeCost() uint64 {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	return uint64(max(1, float64(r.PromptTokens+r.MaxTokens)/weight))
}
