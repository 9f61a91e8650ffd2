package gateway

import (
	"sync"

	"github.com/fulmardoor/fulmardoor/internal/retry"
)

// Budgets has a retry budget for each service. Its methods may be called concurrently.
type Budgets struct {
	mu     sync.Mutex // guards the fields below
	limits retry.Limits
	share  float64
	byName map[string]*retry.Budget
}

// NewBudgets returns budgets with limits that hold over all processes together.
func NewBudgets(limits retry.Limits) *Budgets {
	return &Budgets{limits: limits, share: 1, byName: make(map[string]*retry.Budget)}
}

// SetProcesses sets the number of processes that share the part of the limits which does not depend on the load.
func (b *Budgets) SetProcesses(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = 1 / float64(max(1, count))
	b.applyLocked()
}

// SetLimits changes the limits that hold over all processes together.
func (b *Budgets) SetLimits(limits retry.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.applyLocked()
}

// ownLocked returns the part of the limits that is this process's.
func (b *Budgets) ownLocked() retry.Limits {
	limits := b.limits
	limits.Extra *= b.share
	return limits
}

func (b *Budgets) applyLocked() {
	own := b.ownLocked()
	for _, budget := range b.byName {
		budget.SetShares(own.Share, own.Extra)
	}
}

func (b *Budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byName[service]
	if !ok {
		budget = retry.NewLimitedBudget(b.ownLocked())
		b.byName[service] = budget
	}
	return budget
}
