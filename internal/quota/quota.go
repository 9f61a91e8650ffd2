// Package quota holds client accounts to their rate over all entry processes without a call for each request.
//
// It answers the load pattern of one account that sends several times its rate through all entry hosts, and of accounts
// whose clients are spread unequally over them. Each process keeps a bucket for the whole fleet, from which it takes its
// own charges at once and those of the others when they tell them, about twice a second. What is spent before that is known
// is a debt that later requests wait for. A process that tells nothing keeps an equal share in reserve, so that rates hold
// whoever is cut off.
package quota

import (
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Tolerance says by how much an account may exceed rate and burst over all processes in a window.
type Tolerance struct {
	Window time.Duration
	// Over is a share of the permitted use, Slack an amount.
	Over, Slack float64
}

// slackUse is the part of the tolerated amount that is handed out. The rest covers what several processes spend before they
// know of each other: half a second of an account at seven times its rate.
const slackUse = 0.4

const (
	// smallReserve is the part of the capacity that large charges leave. Without it an account at its limit has each small
	// request refused by the debt of a large one, which costs 25 times as much.
	smallReserve = 0.05
	// smallCharges is how many charges of a plain request a small charge is at most.
	smallCharges = 4
)

// bucket is what an account may still spend, by what this process knows.
type bucket struct {
	level float64
	at    time.Time
}

// Limiter admits requests by account. Its methods may be called concurrently.
type Limiter struct {
	began time.Time

	mu        sync.Mutex // guards the fields below
	tolerance Tolerance
	processes int
	buckets   map[string]*bucket
	// spent has all charges of this process since its start, by account.
	spent map[string]float64
	// others has the charges that each other process told last, by account.
	others map[string]map[string]float64
}

// NewLimiter returns a limiter for a fleet of one process that began at a time.
func NewLimiter(tolerance Tolerance, began time.Time) *Limiter {
	return &Limiter{tolerance: tolerance, began: began, processes: 1, buckets: make(map[string]*bucket), spent: make(map[string]float64),
		others: make(map[string]map[string]float64)}
}

// SetProcesses sets the number of processes that share each rate.
func (l *Limiter) SetProcesses(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = max(1, count)
}

// SetTolerance changes the tolerance.
func (l *Limiter) SetTolerance(tolerance Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = tolerance
}

// Spent returns all charges of this process since its start, by account.
func (l *Limiter) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	spent := make(map[string]float64, len(l.spent))
	for account, amount := range l.spent {
		spent[account] = amount
	}
	return spent
}

// SetOthers takes all charges of another process since its start; nil means that it does not tell them any more. The first
// ones only mark the point from which later ones count: before, an equal share was in reserve for that process.
func (l *Limiter) SetOthers(process string, spent map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if spent == nil {
		delete(l.others, process)
		return
	}
	last, known := l.others[process]
	l.others[process] = spent
	if !known {
		return
	}
	for account, amount := range spent {
		if b := l.buckets[account]; b != nil && amount > last[account] {
			b.level -= amount - last[account]
		}
	}
}

// Decision is the outcome of a charge with what decided it.
type Decision struct {
	OK bool
	// Wait is the time after which a refused charge would fit.
	Wait time.Duration
	// Needed and Level are what the charge needs and what was there, in the unit that the account counts.
	Needed, Level float64
	// Heard is the number of processes whose charges are known, the own included; Processes is how many there are.
	Heard, Processes int
}

// Admit charges cost to the account, unless it is over its rate.
func (l *Limiter) Admit(account *fleet.Account, cost float64, now time.Time) Decision {
	if account.Rate <= 0 {
		return Decision{OK: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, rate, capacity := l.fill(account, now)
	needed := cost
	if account.CountsTokens && cost > smallCharges*float64(account.PlainTokens) {
		needed += smallReserve * capacity
	}
	d := Decision{Needed: min(needed, capacity), Level: b.level, Heard: l.heard(), Processes: l.processes}
	if missing := d.Needed - d.Level; missing > 0 {
		d.Wait = time.Duration(missing / rate * float64(time.Second))
		return d
	}
	d.OK = true
	b.level -= cost
	l.spent[account.Name] += cost
	return d
}

// heard is the number of processes whose charges are known, the own included.
func (l *Limiter) heard() int { return min(len(l.others)+1, l.processes) }

// Return gives back the charge of a request that did not run. Other processes are not told: their view errs on the side of
// the limit.
func (l *Limiter) Return(account *fleet.Account, cost float64) {
	if account.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account.Name]; b != nil {
		b.level += cost
	}
}

// fill adds what has flowed into the account's bucket. Changed limits take effect at once: a level above a lower capacity is
// cut.
func (l *Limiter) fill(account *fleet.Account, now time.Time) (b *bucket, rate, capacity float64) {
	known := float64(l.heard()) / float64(l.processes)
	rate = account.Rate * known
	tolerated := (account.Rate*l.tolerance.Window.Seconds()+account.Burst)*l.tolerance.Over + l.tolerance.Slack*slackUse
	capacity = (account.Burst + tolerated) * known
	b = l.buckets[account.Name]
	if b == nil {
		// The other processes hold the rest of the burst, and what is tolerated beyond it may be spent already: this process
		// may have started again a moment ago.
		b = &bucket{level: account.Burst / float64(l.processes), at: l.began}
		l.buckets[account.Name] = b
	}
	b.level = min(b.level+rate*max(0, now.Sub(b.at).Seconds()), capacity)
	b.at = now
	return b, rate, capacity
}
