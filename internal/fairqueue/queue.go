// Package fairqueue orders waiting work by start-time fair queueing over client accounts: while several accounts wait,
// each receives service in proportion to its weight, whatever the number and size of its requests.
package fairqueue

import (
	"container/heap"
	"slices"

	"github.com/go-faster/errors"
)

// ErrFull means that the account has as many waiting items as the queue allows.
var ErrFull = errors.New("account has too many waiting items")

// Queue is a start-time fair queue. Items of one account leave in the order of their arrival. A Queue is not safe for
// concurrent use.
type Queue[T any] struct {
	maxPerAccount int
	// virtual is the virtual time: the largest start tag of the items popped so far.
	virtual        float64
	arrivals       uint64
	length         int
	accounts       map[string]*account[T]
	waiting        accountHeap[T]
	popsUntilSweep int // number of Pop calls until idle accounts are dropped
}

// Item is a waiting item.
type Item[T any] struct {
	Value   T
	Account string

	cost    float64 // already divided by the weight
	virtual float64 // virtual time of the arrival
	arrival uint64
	account *account[T] // nil when the item is no longer in the queue
}

type account[T any] struct {
	items []*Item[T]
	// finish is the finish tag of the last item of this account that was popped.
	finish float64
	index  int // position in the heap; -1 if the account has no waiting items
}

// start returns the start tag of the first waiting item.
func (a *account[T]) start() float64 {
	return max(a.items[0].virtual, a.finish)
}

// New returns a queue that holds at most maxPerAccount waiting items of one account; 0 means no bound.
func New[T any](maxPerAccount int) *Queue[T] {
	return &Queue[T]{maxPerAccount: maxPerAccount, accounts: make(map[string]*account[T])}
}

// Push adds an item. cost is in any unit that is the same for all items; an account with twice the weight receives twice
// the cost per time. A weight or cost that is not positive counts as 1. Errors: ErrFull.
func (q *Queue[T]) Push(name string, weight, cost float64, value T) (*Item[T], error) {
	a, ok := q.accounts[name]
	if ok && q.maxPerAccount > 0 && len(a.items) >= q.maxPerAccount {
		return nil, ErrFull
	}
	if !ok {
		a = &account[T]{index: -1}
		q.accounts[name] = a
	}
	q.arrivals++
	item := &Item[T]{
		Value: value, Account: name, account: a,
		cost: positive(cost) / positive(weight), virtual: q.virtual, arrival: q.arrivals,
	}
	a.items = append(a.items, item)
	q.length++
	if a.index < 0 {
		heap.Push(&q.waiting, a)
	}
	return item, nil
}

// positive returns x, or 1 if x is not positive.
func positive(x float64) float64 {
	if x > 0 {
		return x
	}
	return 1
}

// Peek returns the item that Pop would remove.
func (q *Queue[T]) Peek() (*Item[T], bool) {
	if len(q.waiting) == 0 {
		return nil, false
	}
	return q.waiting[0].items[0], true
}

// Pop removes the item with the least start tag.
func (q *Queue[T]) Pop() (*Item[T], bool) {
	item, ok := q.Peek()
	if !ok {
		return nil, false
	}
	a := item.account
	start := a.start()
	q.virtual = max(q.virtual, start)
	a.finish = start + item.cost
	q.removeAt(a, 0)
	q.sweep()
	return item, true
}

// Remove withdraws a waiting item without charging its account. It reports whether the item was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	a := item.account
	if a == nil {
		return false
	}
	q.removeAt(a, slices.Index(a.items, item))
	return true
}

// removeAt removes the waiting item at position i of an account.
func (q *Queue[T]) removeAt(a *account[T], i int) {
	a.items[i].account = nil
	a.items = slices.Delete(a.items, i, i+1)
	q.length--
	if len(a.items) == 0 {
		heap.Remove(&q.waiting, a.index)
		return
	}
	heap.Fix(&q.waiting, a.index)
}

// sweep deletes accounts that have no waiting items and whose finish tag is not ahead of the virtual time. To amortize
// the cost, it scans the accounts only once in as many calls as there are accounts.
func (q *Queue[T]) sweep() {
	q.popsUntilSweep--
	if q.popsUntilSweep > 0 {
		return
	}
	for name, a := range q.accounts {
		if a.index < 0 && a.finish <= q.virtual {
			delete(q.accounts, name)
		}
	}
	q.popsUntilSweep = len(q.accounts)
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.length }

// LenOf returns the number of waiting items of one account.
func (q *Queue[T]) LenOf(name string) int {
	if a, ok := q.accounts[name]; ok {
		return len(a.items)
	}
	return 0
}

// accountHeap orders accounts with waiting items by start tag, then by arrival.
type accountHeap[T any] []*account[T]

func (h accountHeap[T]) Len() int { return len(h) }

func (h accountHeap[T]) Less(i, j int) bool {
	si, sj := h[i].start(), h[j].start()
	if si != sj {
		return si < sj
	}
	return h[i].items[0].arrival < h[j].items[0].arrival
}

func (h accountHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *accountHeap[T]) Push(x any) {
	a := x.(*account[T])
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap[T]) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.index = -1
	return a
}
