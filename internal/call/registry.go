package call

import (
	"sync"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

const (
	// Retention is the time for which a finished call is remembered. A call cannot start with a nonce older than
	// transport.FenceWindow, so an unknown call whose nonce is younger than Retention never started.
	Retention = 60 * time.Second
	// barRetention outlives every nonce that a barred call can carry.
	barRetention = transport.FenceWindow + time.Second
	// DefaultResumeWindow is the time for which an unattached call goes on.
	DefaultResumeWindow = 3 * time.Second

	sweepInterval = time.Second
)

// repeatKey identifies requests that a caller marks as the same.
type repeatKey struct {
	account string
	key     string
}

// Registry keeps the calls of one sidecar.
type Registry struct {
	issuer       *transport.NonceIssuer
	resumeWindow time.Duration

	mu        sync.Mutex // guards the fields below
	calls     map[ID]*Call
	barred    map[ID]time.Time
	repeats   map[repeatKey]*Call
	lastSweep time.Time
}

// NewRegistry returns an empty registry. A resumeWindow of 0 means DefaultResumeWindow.
func NewRegistry(issuer *transport.NonceIssuer, resumeWindow time.Duration) *Registry {
	if resumeWindow == 0 {
		resumeWindow = DefaultResumeWindow
	}
	return &Registry{
		issuer: issuer, resumeWindow: resumeWindow, lastSweep: time.Now(),
		calls: make(map[ID]*Call), barred: make(map[ID]time.Time), repeats: make(map[repeatKey]*Call),
	}
}

// Start registers a call that begins to run now. If started is false, the call is an earlier one with the same
// idempotency key, whose answer is to be delivered again. The error is a *verdict.Refusal with NotRun.
func (r *Registry) Start(req *wirev1.ExecuteRequest) (c *Call, started bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	id := FromWire(req.GetCall())
	if !r.issuer.Fresh(req.GetNonce()) {
		return nil, false, verdict.Refuse(wirev1.Reason_REASON_STALE_NONCE, "the request was prepared too long ago")
	}
	if _, ok := r.barred[id]; ok {
		return nil, false, verdict.Refuse(wirev1.Reason_REASON_BARRED, "the call was declared not run")
	}
	if _, ok := r.calls[id]; ok {
		return nil, false, verdict.Refuse(wirev1.Reason_REASON_BARRED, "the call was started before")
	}
	key := repeatKey{account: req.GetAccount(), key: req.GetWork().GetHttp().GetIdempotencyKey()}
	if earlier, ok := r.repeats[key]; ok && key.key != "" {
		return earlier, false, nil
	}
	c = newCall(id, req.GetAccount(), r.windowFor(req.GetWork()), key.key != "")
	r.calls[id] = c
	if key.key != "" {
		r.repeats[key] = c
	}
	return c, true, nil
}

// windowFor returns the time that work goes on without an entry. Cutting a call that may not be repeated would leave
// open whether it ran, so it goes on to its end.
func (r *Registry) windowFor(work *wirev1.Work) time.Duration {
	if http := work.GetHttp(); http != nil && !http.GetIdempotent() {
		return 0
	}
	return r.resumeWindow
}

// Repeated reports whether a request with the account's idempotency key is remembered.
func (r *Registry) Repeated(account, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	_, ok := r.repeats[repeatKey{account: account, key: key}]
	return ok
}

// Forget drops the idempotency key of a call that turned out not to have run, so that the caller may try again.
func (r *Registry) Forget(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, other := range r.repeats {
		if other == c {
			delete(r.repeats, key)
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

// Bar keeps a call that has not started from starting: its entry cancelled it while it waited for its place.
func (r *Registry) Bar(id ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	if _, ok := r.calls[id]; !ok {
		r.barred[id] = time.Now()
	}
}

// Undelivered counts the calls that run or whose answer a stream is still delivering.
func (r *Registry) Undelivered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, c := range r.calls {
		if c.undelivered() {
			count++
		}
	}
	return count
}

// Query answers what became of a call and, with bar set, keeps an unknown call from starting.
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
	age, own := r.issuer.Age(req.GetNonce())
	if !own || age > Retention {
		// The call may have run in an earlier incarnation, or so long ago that it is forgotten. Its nonce is stale by now.
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

// sweep drops what is past its retention. The caller holds mu.
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
		}
	}
	for key, c := range r.repeats {
		if c.expired(now) {
			delete(r.repeats, key)
		}
	}
}

func (c *Call) undelivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcome == nil {
		return true
	}
	last := c.first + uint64(len(c.frames)) - 1
	waiting := time.Since(c.finishedAt) < c.resumeWindow
	return c.acked < last && (c.attached || waiting)
}

func (c *Call) expired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome != nil && now.Sub(c.finishedAt) > Retention
}
