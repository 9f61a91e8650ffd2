package entry

import (
	"context"
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fairqueue"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// maxWaitingPerAccount bounds what one account can make a process keep in memory.
const maxWaitingPerAccount = 1024

// admission limits the requests that run in this process at the same time. When the limit is reached, requests wait in a
// fair order of accounts, so that one account's excess delays its own requests only.
type admission struct {
	mu      sync.Mutex // guards the fields below
	limit   int
	running int
	waiting *fairqueue.Queue[chan struct{}]
	// waited is called with the time that a request waited.
	waited func(time.Duration)
}

func newAdmission(limit int) *admission {
	return &admission{limit: limit, waited: func(time.Duration) {}, waiting: fairqueue.New[chan struct{}](maxWaitingPerAccount)}
}

// enter waits for room until ctx ends or for at most a limit. The caller calls leave after a nil error, which otherwise is a
// *verdict.Refusal.
func (a *admission) enter(ctx context.Context, account string, weight, cost float64, limit time.Duration) error {
	a.mu.Lock()
	if a.running < a.limit {
		a.running++
		a.mu.Unlock()
		return nil
	}
	begin := time.Now()
	defer func() { a.waited(time.Since(begin)) }()
	turn := make(chan struct{})
	item, err := a.waiting.Push(account, weight, cost, turn)
	a.mu.Unlock()
	if err != nil {
		return a.refuse("too many requests of the account wait in this process")
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	withdrawn := a.waiting.Remove(item)
	a.mu.Unlock()
	if !withdrawn {
		a.leave() // the turn came at the same moment
	}
	if ctx.Err() != nil {
		return verdict.Refuse(wirev1.Reason_REASON_CANCELLED, "the request ended while it waited")
	}
	return a.refuse("this process runs as many requests as it may")
}

func (a *admission) refuse(detail string) *verdict.Refusal {
	refusal := verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "%s", detail)
	refusal.RetryAfter = time.Second
	return refusal
}

// load returns how many requests run and wait.
func (a *admission) load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.waiting.Len()
}

// leave passes the room on to the next waiting request.
func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if item, ok := a.waiting.Pop(); ok {
		close(item.Value)
		return
	}
	a.running--
}
