package call

import (
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// Retention is how long a finished call is kept. A call starts after its nonce was issued, so an unknown call whose
	// nonce is younger than Retention has not started; otherwise it would still be kept. A call with an older nonce
	// cannot start any more, because the nonce is older than transport.FenceWindow.
	Retention = 60 * time.Second
	// barRetention is how long a barred call is kept: until every nonce with which it could start has expired.
	barRetention = transport.FenceWindow + time.Second
	// DefaultResumeWindow is how long a call goes on without an attached stream.
	DefaultResumeWindow = 3 * time.Second

	sweepInterval = time.Second
)

// idempotencyKey is the idempotency key of a request, which is unique only within its account.
type idempotencyKey struct {
	account string
	key     string
}

// Registry holds the running, recently finished and barred calls of one sidecar.
type Registry struct {
	issuer       *transport.NonceIssuer
	resumeWindow time.Duration
	keptMemory   *membudget.Budget

	mu               sync.Mutex // guards the fields below
	calls            map[ID]*Call
	barred           map[ID]time.Time
	byIdempotencyKey map[idempotencyKey]*Call
	lastSweep        time.Time
}

// NewRegistry returns an empty registry. If resumeWindow is 0, DefaultResumeWindow is used.
func NewRegistry(issuer *transport.NonceIssuer, resumeWindow time.Duration) *Registry {
	if resumeWindow == 0 {
		resumeWindow = DefaultResumeWindow
	}
	return &Registry{
		issuer: issuer, resumeWindow: resumeWindow, keptMemory: membudget.New(keptMemoryBytes), lastSweep: time.Now(),
		calls: make(map[ID]*Call), barred: make(map[ID]time.Time), byIdempotencyKey: make(map[idempotencyKey]*Call),
	}
}

// Start registers a call, which the sidecar runs next. If started is false, c is an earlier call with the same
// idempotency key, whose answer is to be delivered again. The error is a *verdict.Refusal with verdict NotRun.
func (r *Registry) Start(req *wirev1.ExecuteRequest) (c *Call, started bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	id := FromWire(req.GetCall())
	if !r.issuer.Fresh(req.GetNonce()) {
		return nil, false, verdict.Refuse(wirev1.Reason_REASON_STALE_NONCE, "the nonce of the request is stale")
	}
	if _, ok := r.barred[id]; ok {
		return nil, false, verdict.Refuse(wirev1.Reason_REASON_BARRED, "the call was barred before it started")
	}
	if _, ok := r.calls[id]; ok {
		return nil, false, verdict.Refuse(wirev1.Reason_REASON_BARRED, "the call was started before")
	}
	key := idempotencyKey{account: req.GetAccount(), key: req.GetWork().GetHttp().GetIdempotencyKey()}
	if earlier, ok := r.byIdempotencyKey[key]; ok && key.key != "" {
		return earlier, false, nil
	}
	var keptMemory *membudget.Budget
	if key.key != "" {
		keptMemory = r.keptMemory
	}
	c = newCall(id, req.GetAccount(), r.resumeWindowFor(req.GetWork()), keptMemory)
	r.calls[id] = c
	if key.key != "" {
		r.byIdempotencyKey[key] = c
	}
	return c, true, nil
}

// resumeWindowFor returns how long work goes on without an attached stream. A non-idempotent call goes on to its end,
// because cancelling it would leave open whether it ran.
func (r *Registry) resumeWindowFor(work *wirev1.Work) time.Duration {
	if http := work.GetHttp(); http != nil && !http.GetIdempotent() {
		return 0
	}
	return r.resumeWindow
}

// HasIdempotencyKey reports whether a call with the account's idempotency key is registered.
func (r *Registry) HasIdempotencyKey(account, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	_, ok := r.byIdempotencyKey[idempotencyKey{account: account, key: key}]
	return ok
}

// ForgetIdempotencyKey removes the idempotency key of a call that did not run, so that the caller can retry with the
// same key.
func (r *Registry) ForgetIdempotencyKey(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, other := range r.byIdempotencyKey {
		if other == c {
			delete(r.byIdempotencyKey, key)
		}
	}
}

// Get returns a call, or nil.
func (r *Registry) Get(id ID) *Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[id]
}

// Running returns the calls that have not finished.
func (r *Registry) Running() []*Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []*Call
	for _, c := range r.calls {
		if c.Outcome() == nil {
			running = append(running, c)
		}
	}
	return running
}

// Bar prevents a call that has not started from starting. It is used when the entry cancels the call while it waits for
// its place.
func (r *Registry) Bar(id ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	if _, ok := r.calls[id]; !ok {
		r.barred[id] = time.Now()
	}
}

// Undelivered returns the number of calls that are running or whose answer is not fully acknowledged, while a stream
// delivers it or may still attach within the resume window.
func (r *Registry) Undelivered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, c := range r.calls {
		if c.undelivered(r.resumeWindow) {
			count++
		}
	}
	return count
}

// Query returns the state of a call. With bar set in the request, it also prevents an unknown call from starting.
func (r *Registry) Query(req *wirev1.QueryRequest) *wirev1.QueryReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	id := FromWire(req.GetCall())
	reply := &wirev1.QueryReply{Nonce: r.issuer.Issue()}
	if c, ok := r.calls[id]; ok {
		reply.State, reply.Verdict = wirev1.CallState_CALL_STATE_RUNNING, wirev1.Verdict_VERDICT_MAY_HAVE_RUN
		if outcome := c.Outcome(); outcome != nil {
			reply.State, reply.Verdict = wirev1.CallState_CALL_STATE_FINISHED, outcome.GetVerdict()
		}
		return reply
	}
	age, issuedHere := r.issuer.Age(req.GetNonce())
	if !issuedHere || age > Retention {
		// The call may have run before the sidecar restarted, or so long ago that it is no longer kept. Its nonce has
		// expired, so it cannot start any more.
		reply.State, reply.Verdict = wirev1.CallState_CALL_STATE_UNKNOWN, wirev1.Verdict_VERDICT_MAY_HAVE_RUN
		return reply
	}
	if !req.GetBar() {
		reply.State, reply.Verdict = wirev1.CallState_CALL_STATE_UNKNOWN, wirev1.Verdict_VERDICT_MAY_HAVE_RUN
		return reply
	}
	r.barred[id] = time.Now()
	reply.State, reply.Verdict = wirev1.CallState_CALL_STATE_BARRED, wirev1.Verdict_VERDICT_NOT_RUN
	return reply
}

// sweep removes calls and bars whose retention has passed, at most once per sweepInterval. The caller holds mu.
func (r *Registry) sweep() {
	now := time.Now()
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for id, at := range r.barred {
		if now.Sub(at) > barRetention {
			delete(r.barred, id)
		}
	}
	for id, c := range r.calls {
		if c.expired(now) {
			delete(r.calls, id)
			c.Forget()
		}
	}
	for key, c := range r.byIdempotencyKey {
		if c.expired(now) {
			delete(r.byIdempotencyKey, key)
		}
	}
}

// undelivered reports whether the call counts in Registry.Undelivered. The answer of a finished call may be resumed within
// resumeWindow, also if the call itself had no limit without a stream.
func (c *Call) undelivered(resumeWindow time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcome == nil {
		return true
	}
	last := c.firstNumber + uint64(len(c.frames)) - 1
	mayResume := time.Since(c.finishedAt) < resumeWindow
	return c.ackedNumber < last && (c.attached || mayResume)
}

// expired reports whether the call finished more than Retention ago.
func (c *Call) expired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome != nil && now.Sub(c.finishedAt) > Retention
}
