package entry

import (
	"context"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fairqueue"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// maxWaitingPerAccount is the number of requests of one account that may wait; it bounds the memory that they use.
const maxWaitingPerAccount = 1024

// admission limits the number of requests that run in this process at the same time. Above the limit, requests wait in a
// queue that is fair among accounts, so that an account which sends too many delays only its own requests.
type admission struct {
	mu      sync.Mutex // guards the fields below
	limit   int
	running int
	queue   *fairqueue.Queue[chan struct{}]
	// observeWait is called with the waiting time of each request that was not admitted at once.
	observeWait func(time.Duration)
}

func newAdmission(limit int) *admission {
	return &admission{limit: limit, observeWait: func(time.Duration) {}, queue: fairqueue.New[chan struct{}](maxWaitingPerAccount)}
}

// acquire admits a request, or queues it until it is admitted, ctx ends or maxWait has passed. The queue serves the accounts
// in proportion to their weights; cost is the size of the request in tokens. If acquire returns nil, the caller must call
// release when the request has ended; otherwise the error is a *verdict.Refusal.
func (a *admission) acquire(ctx context.Context, account string, weight, cost float64, maxWait time.Duration) error {
	a.mu.Lock()
	if a.running < a.limit {
		a.running++
		a.mu.Unlock()
		return nil
	}
	begin := time.Now()
	defer func() { a.observeWait(time.Since(begin)) }()
	admitted := make(chan struct{})
	item, err := a.queue.Push(account, weight, cost, admitted)
	a.mu.Unlock()
	if err != nil {
		return a.refuse("too many requests of this account are queued in this process")
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	removed := a.queue.Remove(item)
	a.mu.Unlock()
	if !removed {
		a.release() // the request was admitted just before its wait ended
	}
	if ctx.Err() != nil {
		return verdict.Refuse(wirev1.Reason_REASON_CANCELLED, "the request was cancelled while it was queued")
	}
	return a.refuse("this process has reached its limit of running requests")
}

func (a *admission) refuse(detail string) *verdict.Refusal {
	refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "%s", detail)
	refusal.RetryAfter = time.Second
	return refusal
}

// load returns the numbers of running and of waiting requests.
func (a *admission) load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.queue.Len()
}

// release ends a request and admits the next waiting one.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if item, ok := a.queue.Pop(); ok {
		close(item.Value)
		return
	}
	a.running--
}
