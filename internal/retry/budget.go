package retry

import (
	"sync"
	"time"
)

const (
	// BudgetShare is the share of the requests of the window that may be retries.
	BudgetShare = 0.1
	// BudgetPerSecond is the number of retries a second that are permitted at any load, so that a process with little
	// traffic can retry too.
	BudgetPerSecond = 3
	// budgetWindow is the number of seconds over which requests and retries are counted.
	budgetWindow = 10
)

// Budget limits the retries of one process, so that retries never amplify an overload. Its methods may be called
// concurrently.
type Budget struct {
	mu       sync.Mutex
	start    time.Time
	second   int64
	requests [budgetWindow]int
	retries  [budgetWindow]int
}

// NewBudget returns a budget with an empty window.
func NewBudget() *Budget {
	return &Budget{start: time.Now()}
}

// Request counts a request of a caller.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.second%budgetWindow]++
}

// Allow reports whether a retry is within the budget, and counts it if so.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	requests, retries := 0, 0
	for i := range budgetWindow {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	limit := BudgetShare*float64(requests) + BudgetPerSecond*budgetWindow
	if float64(retries+1) > limit {
		return false
	}
	b.retries[b.second%budgetWindow]++
	return true
}

// advance clears the counts of seconds that left the window.
func (b *Budget) advance() {
	now := int64(time.Since(b.start) / time.Second)
	for steps := 0; b.second < now && steps < budgetWindow; steps++ {
		b.second++
		b.requests[b.second%budgetWindow] = 0
		b.retries[b.second%budgetWindow] = 0
	}
	if b.second < now {
		// The whole window is clear; only the slot of the present second must match.
		b.second = now
	}
}
