// Package quota limits the rate of each client account over all entry processes together, without a remote call per request.
//
// It is built for an account that sends several times its rate through all entry hosts, and for accounts whose clients are
// spread unevenly over the hosts. Each process keeps a token bucket per account for the whole fleet. It deducts its own
// charges at once, and those of other processes when they are reported, about twice a second. Charges that exceeded the rate
// before they were known can make the level negative; later requests are refused until it has recovered. For each process
// whose charges are unknown, an equal share of the rate is left unused, so that the rate holds under network partitions.
package quota

import (
	"sync"
	"time"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// Tolerance says by how much an account may exceed its rate and burst in a window, over all processes together.
type Tolerance struct {
	Window time.Duration
	// Over is the permitted excess as a share of rate times window plus burst, Slack an excess that is permitted in addition.
	Over, Slack float64
}

// usableSlackShare is the part of the slack by which buckets are enlarged. The rest covers what several processes admit before
// they know of each other's charges: half a second of an account at seven times its rate.
const usableSlackShare = 0.4

const (
	// smallChargeReserve is the share of a bucket's capacity that large charges must leave. Without it, an account at its limit
	// has its small requests refused because of large ones, which cost 25 times as much.
	smallChargeReserve = 0.05
	// maxSmallCharge is the largest small charge, in charges of a plain request.
	maxSmallCharge = 4
)

// bucket is the token bucket of an account for the whole fleet, as far as this process knows.
type bucket struct {
	level     float64 // negative if more was charged than was available
	updatedAt time.Time
}

// Limiter admits requests by account. Its methods may be called concurrently.
type Limiter struct {
	began time.Time // from which new buckets are refilled

	mu        sync.Mutex // guards the fields below
	tolerance Tolerance
	processes int
	buckets   map[string]*bucket
	// spent holds the total charges of this process since its start, by account.
	spent map[string]float64
	// sources holds what each source reported last.
	sources map[string]source
}

// NewLimiter returns a limiter for a fleet of one process that started at began.
func NewLimiter(tolerance Tolerance, began time.Time) *Limiter {
	return &Limiter{tolerance: tolerance, began: began, processes: 1, buckets: make(map[string]*bucket), spent: make(map[string]float64),
		sources: make(map[string]source)}
}

// source is another process, or several, whose charges are reported as a sum.
type source struct {
	processes int
	totals    map[string]float64 // by account
}

// SetProcesses sets the number of entry processes, this one included.
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

// Spent returns the total charges of this process since its start, by account.
func (l *Limiter) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	spent := make(map[string]float64, len(l.spent))
	for account, amount := range l.spent {
		spent[account] = amount
	}
	return spent
}

// SetOthers sets the total charges of another process since its start, by account; nil means that they are unknown from now
// on. The first totals of a process are only the baseline for later ones, because until then an equal share of the rate was
// left unused for that process.
func (l *Limiter) SetOthers(process string, spent map[string]float64) {
	l.SetGroup(process, 1, spent)
}

// SetGroup sets the total charges of a group of processes, as SetOthers does for one. Zero processes means that another source reports
// their charges, so that the totals are only the baseline for later ones. It returns the charges since the last totals that were deducted.
func (l *Limiter) SetGroup(name string, processes int, spent map[string]float64) (deducted map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.sources[name]
	if spent == nil {
		delete(l.sources, name)
		return nil
	}
	l.sources[name] = source{processes, spent}
	if !known || processes == 0 {
		return nil
	}
	deducted = make(map[string]float64)
	for account, amount := range spent {
		if amount <= last.totals[account] {
			continue
		}
		deducted[account] = amount - last.totals[account]
		if b := l.buckets[account]; b != nil {
			b.level -= deducted[account]
		}
	}
	return deducted
}

// Prepare creates the buckets of accounts. The charges of other processes are deducted from existing buckets only: a process whose bucket is created with its
// first request of an account would begin with what the whole fleet may have, whatever the others have charged.
func (l *Limiter) Prepare(accounts []*fleet.Account, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, account := range accounts {
		if account.Rate > 0 {
			l.refill(account, now)
		}
	}
}

// Decision is the result of Admit and the values that led to it.
type Decision struct {
	OK bool
	// Wait is the time after which a refused charge would be admitted.
	Wait time.Duration
	// Needed is the level that the charge requires and Level the level of the bucket, in the unit that the account counts.
	Needed, Level float64
	// KnownProcesses is the number of processes whose charges are known, this one included; Processes is their total number.
	KnownProcesses, Processes int
}

// Admit charges cost to the account, or refuses it if the account is over its rate.
func (l *Limiter) Admit(account *fleet.Account, cost float64, now time.Time) Decision {
	if account.Rate <= 0 {
		return Decision{OK: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b, rate, capacity := l.refill(account, now)
	needed := cost
	if account.CountsTokens && cost > maxSmallCharge*float64(account.PlainTokens) {
		needed += smallChargeReserve * capacity
	}
	d := Decision{Needed: min(needed, capacity), Level: b.level, KnownProcesses: l.knownProcesses(), Processes: l.processes}
	if missing := d.Needed - d.Level; missing > 0 {
		d.Wait = time.Duration(missing / rate * float64(time.Second))
		return d
	}
	d.OK = true
	b.level -= cost
	l.spent[account.Name] += cost
	return d
}

// knownProcesses returns the number of processes whose charges are known, this one included.
func (l *Limiter) knownProcesses() int {
	known := 1
	for _, source := range l.sources {
		known += source.processes
	}
	return min(known, l.processes)
}

// Refund gives back the charge of a request that did not run. The refund is not reported to other processes, which therefore
// admit too little rather than too much.
func (l *Limiter) Refund(account *fleet.Account, cost float64) {
	if account.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account.Name]; b != nil {
		b.level += cost
	}
}

// refill brings the account's bucket up to date and returns it with its rate and capacity. Changed limits take effect at once:
// the level is cut to a lowered capacity.
func (l *Limiter) refill(account *fleet.Account, now time.Time) (b *bucket, rate, capacity float64) {
	knownShare := float64(l.knownProcesses()) / float64(l.processes)
	rate = account.Rate * knownShare
	tolerated := (account.Rate*l.tolerance.Window.Seconds()+account.Burst)*l.tolerance.Over + l.tolerance.Slack*usableSlackShare
	capacity = (account.Burst + tolerated) * knownShare
	b = l.buckets[account.Name]
	if b == nil {
		// Start with an equal share of the burst and without the tolerance: other processes, or this one before a restart, may
		// have spent the rest.
		b = &bucket{level: account.Burst / float64(l.processes), updatedAt: l.began}
		l.buckets[account.Name] = b
	}
	b.level = min(b.level+rate*max(0, now.Sub(b.updatedAt).Seconds()), capacity)
	b.updatedAt = now
	return b, rate, capacity
}
