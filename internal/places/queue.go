package places

import (
	"math"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// waiter is a queued request.
type waiter struct {
	account string
	cost    float64
	// units is the expected amount of work: output tokens if tokenBased is set, cost tokens otherwise.
	units      float64
	tokenBased bool
	// readyIn is the time from the grant until the request needs its place, which is the rest of its prefill.
	readyIn  time.Duration
	priority int32
	// arrival is the sequence number of the request in its list.
	arrival uint64

	// done is set when the request has been granted, refused or withdrawn.
	done        bool
	reservation *Reservation
	refusal     *verdict.Refusal
	answered    chan struct{}
}

func newWaiter(request *wirev1.ReserveRequest) *waiter {
	w := &waiter{
		account:  request.GetAccount(),
		cost:     max(1, float64(request.GetCostTokens())),
		units:    float64(request.GetExpectedOutputTokens()),
		readyIn:  time.Duration(request.GetReadyInMs()) * time.Millisecond,
		priority: request.GetPriority(),
		answered: make(chan struct{}),
	}
	w.tokenBased = w.units > 0
	if !w.tokenBased {
		w.units = w.cost
	}
	return w
}

func (w *waiter) grant(r *Reservation) {
	w.done = true
	w.reservation = r
	close(w.answered)
}

func (w *waiter) refuse(refusal *verdict.Refusal) {
	w.done = true
	w.refusal = refusal
	close(w.answered)
}

// result returns the reservation or the refusal. It may be called only after answered is closed.
func (w *waiter) result() (*Reservation, error) {
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.reservation, nil
}

// ready reports whether the request needs its place at once, which means that any prefill is done.
func (w *waiter) ready() bool {
	return w.readyIn <= 0
}

// before reports whether w is served before o, a request of the same account.
func (w *waiter) before(o *waiter) bool {
	if w.ready() != o.ready() {
		return w.ready()
	}
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	return w.arrival < o.arrival
}

// accountQueue holds the queued requests of one account.
type accountQueue struct {
	name string
	// tag is the virtual start time of the account's next request, in cost tokens.
	tag     float64
	waiters []*waiter
}

// fairList queues requests with start-time fair queueing over accounts. Requests that are ready go first. Within an
// account the order is then priority, then arrival.
type fairList struct {
	accounts map[string]*accountQueue
	// lastVirtualTime is the virtual time at the last grant.
	lastVirtualTime float64
	// credit is the cost by which an account that used less than its share may get ahead of the others. Without it, an
	// account within its share would wait behind a large one whenever its requests come in a burst.
	credit float64
	// meanCost is the moving average of the cost of a granted request.
	meanCost float64
	// creditInRequests is the credit as a number of requests of mean cost.
	creditInRequests int
	arrivals         uint64
	size             int
}

// costWeight is the weight of a new request in meanCost.
const costWeight = 0.05

func newFairList(creditRequests int) fairList {
	return fairList{accounts: make(map[string]*accountQueue), creditInRequests: creditRequests}
}

func (l *fairList) len() int {
	return l.size
}

func (l *fairList) push(w *waiter) {
	l.arrivals++
	w.arrival = l.arrivals
	q := l.accounts[w.account]
	if q == nil {
		q = &accountQueue{name: w.account}
		l.accounts[w.account] = q
	}
	if len(q.waiters) == 0 {
		q.tag = max(q.tag, l.virtualTime()-l.credit)
	}
	i := len(q.waiters)
	for i > 0 && w.before(q.waiters[i-1]) {
		i--
	}
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = w
	l.size++
}

// virtualTime returns the least tag of the accounts with queued requests. The tag of the last grant would not do:
// refunds of unused cost lower tags, so an account that starts to wait could be placed behind one that was served more.
func (l *fairList) virtualTime() float64 {
	least := math.Inf(1)
	for _, q := range l.accounts {
		if len(q.waiters) > 0 {
			least = min(least, q.tag)
		}
	}
	if math.IsInf(least, 1) {
		return l.lastVirtualTime
	}
	return least
}

// head returns the next request, or nil. A request that is ready goes before those that are not, because its finished
// prefill would be evicted, while the others lose only time. Its account is charged as for any other request.
func (l *fairList) head() *waiter {
	var best *waiter
	var bestTag float64
	for _, q := range l.accounts {
		if len(q.waiters) == 0 {
			continue
		}
		w := q.waiters[0]
		if best == nil || w.precedes(q.tag, best, bestTag) {
			best, bestTag = w, q.tag
		}
	}
	return best
}

// precedes reports whether w is served before o. Both are the first requests of their accounts, which have the tags tag
// and otherTag.
func (w *waiter) precedes(tag float64, o *waiter, otherTag float64) bool {
	if w.ready() != o.ready() {
		return w.ready()
	}
	if tag != otherTag {
		return tag < otherTag
	}
	return w.arrival < o.arrival
}

// pop removes a granted request and charges its account.
func (l *fairList) pop(w *waiter) {
	q := l.accounts[w.account]
	l.lastVirtualTime = l.virtualTime()
	q.tag += w.cost
	l.meanCost += (w.cost - l.meanCost) * costWeight
	l.credit = l.meanCost * float64(l.creditInRequests)
	l.remove(w)
}

// remove removes a request without charging its account.
func (l *fairList) remove(w *waiter) {
	q := l.accounts[w.account]
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			l.size--
			break
		}
	}
	l.evictIdleAccounts()
}

// settle refunds the part of the charged cost of an ended reservation that was not served.
func (l *fairList) settle(account string, charged, served float64) {
	if q := l.accounts[account]; q != nil {
		q.tag += served - charged
	}
}

// evictIdleAccounts drops accounts without queued requests whose tags no longer affect the order, so that memory is
// bounded by the number of accounts in use.
func (l *fairList) evictIdleAccounts() {
	if len(l.accounts) <= 2*l.size+maxIdleAccounts {
		return
	}
	for name, q := range l.accounts {
		if len(q.waiters) == 0 && q.tag <= l.lastVirtualTime-l.credit {
			delete(l.accounts, name)
		}
	}
}

// maxIdleAccounts is the number of accounts beyond twice the queue length above which idle accounts are evicted.
const maxIdleAccounts = 64

// visitAhead calls visit for each queued request that would be served before a new request of the account and priority.
// ready says whether the new request is ready. If account is empty, the order between accounts is ignored, so that all
// queued requests are visited if ready is false, and all ready ones if it is true.
func (l *fairList) visitAhead(account string, priority int32, ready bool, visit func(*waiter)) {
	// newTag is the tag that the new request would have.
	newTag := math.Inf(1)
	// Requests that are ready are served before all others.
	notBehindByReadiness := func(w *waiter) bool {
		return w.ready() || !ready
	}
	aheadInAccount := func(w *waiter) bool {
		return notBehindByReadiness(w) && (w.ready() != ready || w.priority >= priority)
	}
	if account != "" {
		newTag = l.virtualTime() - l.credit
		if q := l.accounts[account]; q != nil {
			newTag = max(newTag, q.tag)
			for _, w := range q.waiters {
				if aheadInAccount(w) {
					newTag += w.cost
				}
			}
		}
	}
	for name, q := range l.accounts {
		tag := q.tag
		for _, w := range q.waiters {
			behindNew := name == account && !aheadInAccount(w)
			if !notBehindByReadiness(w) || behindNew || (tag > newTag && w.ready() == ready) {
				break
			}
			visit(w)
			tag += w.cost
		}
	}
}
