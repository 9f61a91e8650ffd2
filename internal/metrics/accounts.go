package metrics

import (
	"sync"
	"time"
)

const (
	accountSlots    = 6
	accountSlotTime = 10 * time.Second
	// AccountWindow is the time over which accounts are compared.
	AccountWindow = accountSlots * accountSlotTime
)

// Accounts compares what the client accounts asked for in the last minute with what they got. It keeps the accounts of
// that time only.
type Accounts struct {
	begin time.Time

	mu    sync.Mutex // guards the fields below
	slots [accountSlots]accountSlot
}

// accountSlot holds the sums of one part of the window.
type accountSlot struct {
	number int64
	sums   map[string]*accountSums
}

// accountSums are tokens.
type accountSums struct {
	asked, granted float64
	ended, served  float64
}

// AccountShare is the share of one account; Account is empty and Ratio 1 if no account asked for anything.
type AccountShare struct {
	Account string
	Ratio   float64
}

// NewAccounts returns an empty window.
func NewAccounts() *Accounts { return &Accounts{begin: time.Now()} }

// Asked counts the tokens of a request's first charge and whether they were granted.
func (a *Accounts) Asked(account string, tokens uint64, granted bool) {
	a.add(account, func(s *accountSums) {
		s.asked += float64(tokens)
		if granted {
			s.granted += float64(tokens)
		}
	})
}

// Ended counts the tokens of a request within rate that ended, and whether it got its whole answer.
func (a *Accounts) Ended(account string, tokens uint64, served bool) {
	a.add(account, func(s *accountSums) {
		s.ended += float64(tokens)
		if served {
			s.served += float64(tokens)
		}
	})
}

func (a *Accounts) now() int64 { return int64(time.Since(a.begin) / accountSlotTime) }

func (a *Accounts) add(account string, change func(*accountSums)) {
	if account == "" {
		return // open routes have no account
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	number := a.now()
	slot := &a.slots[number%accountSlots]
	if slot.number != number || slot.sums == nil {
		*slot = accountSlot{number: number, sums: make(map[string]*accountSums)}
	}
	sums := slot.sums[account]
	if sums == nil {
		sums = &accountSums{}
		slot.sums[account] = sums
	}
	change(sums)
}

// LeastGranted returns the account with the least share of granted to asked tokens. An account over its rate has a share
// below 1 although it is treated as agreed.
func (a *Accounts) LeastGranted() AccountShare {
	return a.least(func(s accountSums) (part, whole float64) { return s.granted, s.asked })
}

// LeastServed returns the account with the least share of tokens of whole answers to all tokens within rate.
func (a *Accounts) LeastServed() AccountShare {
	return a.least(func(s accountSums) (part, whole float64) { return s.served, s.ended })
}

func (a *Accounts) least(share func(accountSums) (part, whole float64)) AccountShare {
	least := AccountShare{Ratio: 1}
	for account, sums := range a.totals() {
		part, whole := share(sums)
		if whole > 0 && part/whole < least.Ratio {
			least = AccountShare{Account: account, Ratio: part / whole}
		}
	}
	return least
}

func (a *Accounts) totals() map[string]accountSums {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	totals := make(map[string]accountSums)
	for _, slot := range a.slots {
		if slot.sums == nil || now-slot.number >= accountSlots {
			continue
		}
		for account, s := range slot.sums {
			t := totals[account]
			t.asked += s.asked
			t.granted += s.granted
			t.ended += s.ended
			t.served += s.served
			totals[account] = t
		}
	}
	return totals
}
