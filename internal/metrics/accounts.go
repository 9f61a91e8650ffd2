package metrics

import (
	"sync"
	"time"
)

const (
	accountSlots        = 6
	accountSlotDuration = 10 * time.Second
	// AccountWindow is the length of the sliding window over which accounts are compared.
	AccountWindow = accountSlots * accountSlotDuration
)

// Accounts compares the tokens that client accounts requested with those that they were granted and served, over a sliding
// window of AccountWindow. Accounts without requests in that time are dropped.
type Accounts struct {
	start time.Time

	mu    sync.Mutex // guards the fields below
	slots [accountSlots]accountSlot
}

// accountSlot holds the sums of one time slot of the window.
type accountSlot struct {
	// number counts the slots since start.
	number int64
	sums   map[string]*accountSums
}

// accountSums holds numbers of tokens, see CountRequested and Ended.
type accountSums struct {
	requested, granted float64
	ended, served      float64
}

// AccountShare is an account and its ratio, see LeastGranted and LeastServed. Account is empty and Ratio is 1 if no account
// has a ratio below 1.
type AccountShare struct {
	Account string
	Ratio   float64
}

// NewAccounts returns an empty window.
func NewAccounts() *Accounts { return &Accounts{start: time.Now()} }

// CountRequested counts the tokens of a request's first charge as requested and, if granted is set, also as granted.
func (a *Accounts) CountRequested(account string, tokens uint64, granted bool) {
	a.add(account, func(s *accountSums) {
		s.requested += float64(tokens)
		if granted {
			s.granted += float64(tokens)
		}
	})
}

// Ended counts the tokens of a request within rate that ended and, if served is set, counts them as served: the caller got
// the complete response.
func (a *Accounts) Ended(account string, tokens uint64, served bool) {
	a.add(account, func(s *accountSums) {
		s.ended += float64(tokens)
		if served {
			s.served += float64(tokens)
		}
	})
}

// currentSlot returns the number of the current time slot.
func (a *Accounts) currentSlot() int64 { return int64(time.Since(a.start) / accountSlotDuration) }

func (a *Accounts) add(account string, update func(*accountSums)) {
	if account == "" {
		return // requests to open routes have no account
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	number := a.currentSlot()
	slot := &a.slots[number%accountSlots]
	if slot.number != number || slot.sums == nil {
		*slot = accountSlot{number: number, sums: make(map[string]*accountSums)}
	}
	sums := slot.sums[account]
	if sums == nil {
		sums = &accountSums{}
		slot.sums[account] = sums
	}
	update(sums)
}

// LeastGranted returns the account with the lowest ratio of granted to requested tokens. An account that exceeds its rate
// has a ratio below 1, although its requests are refused as agreed.
func (a *Accounts) LeastGranted() AccountShare {
	return a.lowest(func(s accountSums) (part, whole float64) { return s.granted, s.requested })
}

// LeastServed returns the account with the lowest ratio of served tokens to the tokens of all ended requests within rate.
func (a *Accounts) LeastServed() AccountShare {
	return a.lowest(func(s accountSums) (part, whole float64) { return s.served, s.ended })
}

// lowest returns the account with the lowest ratio of part to whole.
func (a *Accounts) lowest(share func(accountSums) (part, whole float64)) AccountShare {
	lowest := AccountShare{Ratio: 1}
	for account, sums := range a.totals() {
		part, whole := share(sums)
		if whole > 0 && part/whole < lowest.Ratio {
			lowest = AccountShare{Account: account, Ratio: part / whole}
		}
	}
	return lowest
}

// totals returns the sums of each account over the window.
func (a *Accounts) totals() map[string]accountSums {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.currentSlot()
	totals := make(map[string]accountSums)
	for _, slot := range a.slots {
		if slot.sums == nil || current-slot.number >= accountSlots {
			continue
		}
		for account, s := range slot.sums {
			t := totals[account]
			t.requested += s.requested
			t.granted += s.granted
			t.ended += s.ended
			t.served += s.served
			totals[account] = t
		}
	}
	return totals
}
