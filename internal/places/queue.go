package places

import (
	"math"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// waiter is a request in the waiting list.
type waiter struct {
	account  string
	cost     float64
	units    float64
	tokens   bool
	readyIn  time.Duration
	priority int32
	arrival  uint64

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
	w.tokens = w.units > 0
	if !w.tokens {
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

// answer may be called once answered is closed.
func (w *waiter) answer() (*Reservation, error) {
	if w.refusal != nil {
		return nil, w.refusal
	}
	return w.reservation, nil
}

// ready reports whether the request needs its place at once.
func (w *waiter) ready() bool {
	return w.readyIn <= 0
}

// before reports whether w is served before o within an account.
func (w *waiter) before(o *waiter) bool {
	if w.ready() != o.ready() {
		return w.ready()
	}
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	return w.arrival < o.arrival
}

// accountQueue holds the waiting requests of one account.
type accountQueue struct {
	name string
	// tag is the virtual start time of the account's next request.
	tag     float64
	waiters []*waiter
}

// fairList is a waiting list with start-time fair queueing over accounts. Within an account the order is priority, then
// arrival.
type fairList struct {
	accounts map[string]*accountQueue
	// virtual is the least tag of a waiting account at the last grant.
	virtual float64
	// credit is the cost by which an account that used less than its share may run ahead of the others. Without it, an
	// account within its share waits behind a large one whenever its requests come in a cluster.
	credit   float64
	meanCost float64
	// creditRequests is the credit in mean requests.
	creditRequests int
	arrivals       uint64
	size           int
}

// costWeight is the weight of the last request in the mean cost.
const costWeight = 0.05

func newFairList(creditRequests int) fairList {
	return fairList{accounts: make(map[string]*accountQueue), creditRequests: creditRequests}
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
		q.tag = max(q.tag, l.now()-l.credit)
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

// now returns the virtual time: the least tag of the accounts that wait. Tags also fall, when a request used less than it
// was charged, so the tag of the last grant would put an account that starts to wait behind one that has had more.
func (l *fairList) now() float64 {
	least := math.Inf(1)
	for _, q := range l.accounts {
		if len(q.waiters) > 0 {
			least = min(least, q.tag)
		}
	}
	if math.IsInf(least, 1) {
		return l.virtual
	}
	return least
}

// head returns the next request, or nil. A request that is ready now goes before those that are not: its prefill is done
// and will be evicted, while the others lose only time. Its account pays for it like for any other.
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

// precedes reports whether w goes before o, the first of another account.
func (w *waiter) precedes(tag float64, o *waiter, other float64) bool {
	if w.ready() != o.ready() {
		return w.ready()
	}
	if tag != other {
		return tag < other
	}
	return w.arrival < o.arrival
}

// pop removes a granted request and charges its account.
func (l *fairList) pop(w *waiter) {
	q := l.accounts[w.account]
	l.virtual = l.now()
	q.tag += w.cost
	l.meanCost += (w.cost - l.meanCost) * costWeight
	l.credit = l.meanCost * float64(l.creditRequests)
	l.remove(w)
}

// remove takes a request off the list without a charge.
func (l *fairList) remove(w *waiter) {
	q := l.accounts[w.account]
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			l.size--
			break
		}
	}
	l.forgetIdle()
}

// settle replaces the charged cost of an ended reservation by the cost that was served.
func (l *fairList) settle(account string, charged, served float64) {
	if q := l.accounts[account]; q != nil {
		q.tag += served - charged
	}
}

// forgetIdle drops accounts without waiting requests whose tag has no effect any more, so that the list stays bounded by
// the accounts in use.
func (l *fairList) forgetIdle() {
	if len(l.accounts) <= 2*l.size+maxIdleAccounts {
		return
	}
	for name, q := range l.accounts {
		if len(q.waiters) == 0 && q.tag <= l.virtual-l.credit {
			delete(l.accounts, name)
		}
	}
}

// maxIdleAccounts is the number of idle accounts that are kept without a look at their tags.
const maxIdleAccounts = 64

// ahead calls visit for the requests that are served before a new request of an account and priority that is ready now or
// later; for all if account is empty.
func (l *fairList) ahead(account string, priority int32, ready bool, visit func(*waiter)) {
	limit := math.Inf(1)
	first := func(w *waiter) bool {
		return w.ready() || !ready
	}
	mine := func(w *waiter) bool {
		return first(w) && (w.ready() != ready || w.priority >= priority)
	}
	if account != "" {
		limit = l.now() - l.credit
		if q := l.accounts[account]; q != nil {
			limit = max(limit, q.tag)
			for _, w := range q.waiters {
				if mine(w) {
					limit += w.cost
				}
			}
		}
	}
	for name, q := range l.accounts {
		tag := q.tag
		for _, w := range q.waiters {
			overtaken := name == account && !mine(w)
			if !first(w) || overtaken || (tag > limit && w.ready() == ready) {
				break
			}
			visit(w)
			tag += w.cost
		}
	}
}
