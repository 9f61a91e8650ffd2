package retry

import (
	"sync"
	"time"
)

const (
	// BudgetShare is the default number of permitted retries as a share of the requests in the window.
	BudgetShare = 0.1
	// BudgetPerSecond is the default number of retries per second that are permitted in addition, so that a process with
	// little traffic can also retry.
	BudgetPerSecond = 3
	// budgetWindow is the default length of the window in seconds.
	budgetWindow = 10
)

// Limits bound the retries in a sliding window to Share times the requests plus Extra.
type Limits struct {
	Share, Extra float64
	// Seconds is the length of the window.
	Seconds int
}

// Budget limits the retries of one process, so that retries never amplify an overload. Its methods may be called
// concurrently.
type Budget struct {
	mu     sync.Mutex // guards the fields below
	start  time.Time
	second int64 // of the latest counts, since start
	limits Limits
	// requests and retries hold the counts per second in ring buffers that span the window.
	requests, retries []int
}

// NewBudget returns a budget with an empty window and the default limits.
func NewBudget() *Budget {
	return NewLimitedBudget(Limits{Share: BudgetShare, Extra: BudgetPerSecond * budgetWindow, Seconds: budgetWindow})
}

// NewLimitedBudget returns a budget with an empty window and the given limits.
func NewLimitedBudget(limits Limits) *Budget {
	ring := max(1, limits.Seconds)
	return &Budget{start: time.Now(), limits: limits, requests: make([]int, ring), retries: make([]int, ring)}
}

// SetShares changes the limits without resetting the counts.
func (b *Budget) SetShares(share, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Share, b.limits.Extra = share, extra
}

// Request counts a caller's request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.slot()]++
}

// Allow reports whether a retry is within the budget, and counts it if so.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if !b.permitsLocked() {
		return false
	}
	b.retries[b.slot()]++
	return true
}

// Permits reports whether a retry is within the budget, without counting one.
func (b *Budget) Permits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	return b.permitsLocked()
}

// permitsLocked reports whether one more retry is within the budget. The caller holds mu.
func (b *Budget) permitsLocked() bool {
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return float64(retries+1) <= b.limits.Share*float64(requests)+b.limits.Extra
}

// slot returns the index of the current second in the ring buffers.
func (b *Budget) slot() int64 { return b.second % int64(len(b.requests)) }

// advance moves to the current second and clears the counts that left the window.
func (b *Budget) advance() {
	now := int64(time.Since(b.start) / time.Second)
	for steps := 0; b.second < now && steps < len(b.requests); steps++ {
		b.second++
		b.requests[b.slot()] = 0
		b.retries[b.slot()] = 0
	}
	if b.second < now {
		// More than a whole window has passed and all counts are cleared.
		b.second = now
	}
}
