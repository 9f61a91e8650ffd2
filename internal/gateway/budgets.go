package gateway

import (
	"sync"

	"github.com/fulmardoor/fulmardoor/internal/retry"
)

// Budgets holds a retry budget for each service. Its methods may be called concurrently.
type Budgets struct {
	mu           sync.Mutex   // guards the fields below
	limits       retry.Limits // of all processes together
	processShare float64      // share of limits.Extra for this process
	byName       map[string]*retry.Budget
}

// NewBudgets returns budgets whose limits apply to all processes together.
func NewBudgets(limits retry.Limits) *Budgets {
	return &Budgets{limits: limits, processShare: 1, byName: make(map[string]*retry.Budget)}
}

// SetProcesses sets the number of processes among which limits.Extra is divided. limits.Share needs no division, as it is
// relative to each process's own requests.
func (b *Budgets) SetProcesses(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processShare = 1 / float64(max(1, count))
	b.applyLimitsLocked()
}

// SetLimits changes the limits that apply to all processes together.
func (b *Budgets) SetLimits(limits retry.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.applyLimitsLocked()
}

// processLimitsLocked returns the limits of this process alone.
func (b *Budgets) processLimitsLocked() retry.Limits {
	limits := b.limits
	limits.Extra *= b.processShare
	return limits
}

func (b *Budgets) applyLimitsLocked() {
	limits := b.processLimitsLocked()
	for _, budget := range b.byName {
		budget.SetShares(limits.Share, limits.Extra)
	}
}

// forService returns the budget of a service, and creates it if needed.
func (b *Budgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byName[service]
	if !ok {
		budget = retry.NewLimitedBudget(b.processLimitsLocked())
		b.byName[service] = budget
	}
	return budget
}
