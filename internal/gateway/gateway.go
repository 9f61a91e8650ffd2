package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/waitqueue"
)

const (
	// defaultPatience limits a request whose caller and route name no limit.
	defaultPatience = 30 * time.Second
	// defaultBodyLimit applies while the configuration names none.
	defaultBodyLimit = 4 << 20
	// stopStream and stopTargets are the time that a stream needs, and a plain request in latency targets, to end before a
	// stopping process does. Nine of ten streams take less.
	stopStream  = 4 * time.Second
	stopTargets = 3
	// stopPause is the pause for a caller that a stopping process refuses; another process serves it at once.
	stopPause = 200 * time.Millisecond
	// defaultPause is asked for where no better time is known; a process without a configuration has one within it once the
	// store answers.
	defaultPause = time.Second
	// idleAfter is the time without a request after which a stopping process has no callers any more.
	idleAfter = 300 * time.Millisecond
	// answerMargin is kept of the route's timeout, so that the final answer reaches the caller within it.
	answerMargin = 60 * time.Millisecond
)

// Options configures a Gateway.
type Options struct {
	Protocol Protocol
	Board    *placement.Board
	Limiter  *quota.Limiter
	Budgets  *Budgets
	Pool     *upstreamconn.Pool
	Metrics  *Metrics
	Logger   *zap.Logger
}

// Gateway serves callers. Create it with New.
type Gateway struct {
	Options
	config  atomic.Pointer[fleet.Config]
	running atomic.Int64
	// stopAt is when the process ends, in Unix nanoseconds; 0 while it is not stopping.
	stopAt  atomic.Int64
	arrived atomic.Int64

	mu     sync.Mutex // guards queues
	queues map[string]*waitqueue.Queue
}

// New returns a gateway that refuses requests until it has a configuration.
func New(options Options) *Gateway {
	return &Gateway{Options: options, queues: make(map[string]*waitqueue.Queue)}
}

// queue returns the queue of a service.
func (g *Gateway) queue(service string) *waitqueue.Queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue, ok := g.queues[service]
	if !ok {
		queue = new(waitqueue.Queue)
		g.queues[service] = queue
	}
	return queue
}

// RoomChanged tells the waiting requests that there may be room.
func (g *Gateway) RoomChanged() {
	g.mu.Lock()
	queues := slices.Collect(maps.Values(g.queues))
	g.mu.Unlock()
	for _, queue := range queues {
		queue.Changed()
	}
}

// Apply takes a configuration into force, unless a newer one is. It reports whether it did.
func (g *Gateway) Apply(config *fleet.Config) bool {
	for {
		old := g.config.Load()
		if old != nil && old.Version >= config.Version {
			return false
		}
		if g.config.CompareAndSwap(old, config) {
			return true
		}
	}
}

// Config returns the configuration in force; nil before the first.
func (g *Gateway) Config() *fleet.Config { return g.config.Load() }

// Running returns the number of requests under way.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Stop makes every further answer close its connection, so that callers move to other processes, and refuses requests that
// would probably not end before the process does at the given time. Others are still served: in a rolling restart all
// processes may be stopping at once, and callers have nowhere else to go.
func (g *Gateway) Stop(at time.Time) { g.stopAt.Store(at.UnixNano()) }

// Idle reports whether nothing runs and nothing arrived lately.
func (g *Gateway) Idle() bool {
	return g.Running() == 0 && time.Since(time.Unix(0, g.arrived.Load())) > idleAfter
}

// checkStopping refuses a request that would not end before the process does.
func (r *request) checkStopping() error {
	at := r.g.stopAt.Load()
	if at == 0 {
		return nil
	}
	need := stopStream
	if r.route.Kind != fleet.Stream {
		need = stopTargets * r.route.LatencyTarget
	}
	if r.began.Add(need).Before(time.Unix(0, at)) {
		return nil
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_STOPPING, "this process is stopping")
	refusal.RetryAfter = stopPause
	return refusal
}

// Ready returns nil if callers should be sent here.
func (g *Gateway) Ready() error {
	if g.stopAt.Load() != 0 {
		return errors.New("stopping")
	}
	if g.config.Load() == nil {
		return errors.New("no configuration yet")
	}
	return nil
}

// request is one call under way.
type request struct {
	g        *Gateway
	call     *Call
	config   *fleet.Config
	route    *fleet.Route
	account  *fleet.Account // nil on an open route without a key
	service  *fleet.Service
	cost     float64
	began    time.Time
	deadline time.Time
	ctx      context.Context
	w        http.ResponseWriter
	excluded map[string]bool
	// sends counts the upstreams that were handed the request to run it, ran those that may have run it.
	sends, ran int
	steps      []string
	// handle is a prefilled KV cache that no decode engine has fetched yet, with its engine and when it was made.
	handle    *Handle
	handleAt  time.Time
	prefiller *fleet.Upstream
	// kept is a decode engine whose answer broke off, and which still has the prompt if it lives.
	kept   *fleet.Upstream
	status int
	// written is set once bytes of an answer went to the caller.
	written bool
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	began := time.Now()
	g.arrived.Store(began.UnixNano())
	if g.stopAt.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	req := &request{g: g, began: began, w: w, excluded: make(map[string]bool)}
	err := req.prepare(r)
	if err == nil {
		var cancel context.CancelFunc
		req.ctx, cancel = context.WithDeadline(r.Context(), req.deadline)
		defer cancel()
		err = req.serve()
	}
	req.finish(r, err)
}

// prepare checks everything that can be refused before any work.
func (r *request) prepare(in *http.Request) error {
	call, err := r.g.Protocol.ParseCall(in)
	r.call = call
	if r.config = r.g.config.Load(); r.config == nil {
		return verdict.Refuse(wirev1.Reason_REASON_NO_CONFIGURATION, "no configuration yet")
	}
	if err != nil {
		return verdict.Refuse(wirev1.Reason_REASON_MALFORMED, "%v", err)
	}
	route, ok := r.config.Match(call.Host, call.Path)
	if !ok {
		return verdict.Refuse(wirev1.Reason_REASON_NO_ROUTE, "no route for this host and path")
	}
	r.route = route
	if err := r.identify(); err != nil {
		return err
	}
	if err := r.checkStopping(); err != nil {
		return err
	}
	limit := r.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if call.Body, err = readBody(in, limit); err != nil {
		return err
	}
	r.deadline = r.began.Add(r.patience())
	return r.chooseService()
}

func (r *request) patience() time.Duration {
	limit := defaultPatience
	if r.call.Patience > 0 {
		limit = min(limit, r.call.Patience)
	}
	if r.route.Timeout > 0 {
		limit = min(limit, r.route.Timeout)
	}
	return limit - min(answerMargin, limit/10)
}

// identify finds the account of the call's key.
func (r *request) identify() error {
	if !r.config.NeedsKeys {
		return nil
	}
	account, ok := r.config.Account(r.call.Key)
	switch {
	case ok:
		r.account = account
	case r.route.Open:
	case r.call.Key == "":
		return verdict.Refuse(wirev1.Reason_REASON_KEY_MISSING, "this route needs a key")
	default:
		return verdict.Refuse(wirev1.Reason_REASON_KEY_UNKNOWN, "the key is not known")
	}
	return nil
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, verdict.Refuse(wirev1.Reason_REASON_BODY_TOO_LARGE, "the body is larger than %d bytes", limit)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_MALFORMED, "the body could not be read: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, verdict.Refuse(wirev1.Reason_REASON_BODY_TOO_LARGE, "the body is larger than %d bytes", limit)
	}
	return body, nil
}

// chooseService draws one of the route's targets by weight.
func (r *request) chooseService() error {
	total := 0.0
	for _, target := range r.route.Targets {
		total += target.Weight
	}
	draw := rand.Float64() * total
	for _, target := range r.route.Targets {
		if draw -= target.Weight; draw >= 0 {
			continue
		}
		if service, ok := r.config.Services[target.Service]; ok {
			r.service = service
			return nil
		}
	}
	return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "the route leads to no service")
}

// serve admits the request and runs it.
func (r *request) serve() error {
	if err := r.admit(); err != nil {
		return err
	}
	r.g.Budgets.of(r.service.Name).Request()
	var err error
	if r.service.Engine != nil && r.call.HasTokens {
		err = r.serveModel()
	} else {
		err = r.servePlain()
	}
	if err != nil && verdict.As(err).Verdict == verdict.NotRun && r.account != nil {
		r.g.Limiter.Return(r.account, r.cost)
	}
	return err
}

// admit charges the account.
func (r *request) admit() error {
	if r.account == nil {
		return nil
	}
	r.cost = r.account.Cost(r.call.PromptTokens+r.call.OutputTokens, r.call.HasTokens)
	decision := r.g.Limiter.Admit(r.account, r.cost, r.began)
	if decision.OK {
		return nil
	}
	refusal := verdict.Refuse(wirev1.Reason_REASON_RATE_EXCEEDED, "the account is over its rate")
	refusal.RetryAfter = decision.Wait
	r.step(fmt.Sprintf("rate_exceeded needs %.0f has %.0f heard %d/%d", decision.Needed, decision.Level, decision.Heard, decision.Processes),
		r.account.Name)
	return refusal
}

func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

func (r *request) priority() int {
	if r.account != nil && r.account.HasPriority {
		return r.account.Priority
	}
	return r.route.Priority
}

func (r *request) timeLeft() time.Duration { return time.Until(r.deadline) }

// step adds one decision to the log line of the request.
func (r *request) step(what, upstream string) {
	r.steps = append(r.steps, what+" "+upstream+" +"+strconv.FormatInt(time.Since(r.began).Milliseconds(), 10))
}

// finish answers a request that failed, and writes its log line.
func (r *request) finish(in *http.Request, err error) {
	name := "served"
	if err != nil {
		refusal := *verdict.As(err)
		name = verdict.ReasonName(refusal.Reason)
		switch {
		case in.Context().Err() != nil && errors.Is(in.Context().Err(), context.Canceled):
			name = "caller_gone"
		case r.written:
			name += "_midway"
		case r.ctx != nil && r.ctx.Err() != nil && refusal.Verdict != verdict.NotRun:
			refusal.Reason = wirev1.Reason_REASON_DEADLINE
			name = verdict.ReasonName(refusal.Reason)
		}
		defer r.log(name, &refusal)
		r.g.Metrics.Ended(r, name)
		if r.written || name == "caller_gone" {
			// The answer is cut, and must not look complete: the server closes the connection without the final chunk.
			panic(http.ErrAbortHandler)
		}
		r.refuse(&refusal)
		return
	}
	r.g.Metrics.Ended(r, name)
	r.log(name, nil)
}

func (r *request) refuse(refusal *verdict.Refusal) {
	header := r.w.Header()
	r.g.Protocol.RefusalHeader(r.call, header)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	r.status = refusal.HTTPStatus()
	if refusal.RetryAfter == 0 && refusal.Verdict == verdict.NotRun && r.status >= http.StatusTooManyRequests {
		refusal.RetryAfter = defaultPause
	}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body := verdict.ReasonName(refusal.Reason) + " (" + refusal.Verdict.String() + "): " + refusal.Detail + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(r.status)
	_, _ = io.WriteString(r.w, body) // the caller may be gone
}

// log writes the one line of the request.
func (r *request) log(outcome string, refusal *verdict.Refusal) {
	fields := []zap.Field{
		zap.String("outcome", outcome), zap.Int("status", r.status), zap.Duration("elapsed", time.Since(r.began)),
	}
	if r.call != nil {
		fields = append(fields, zap.String("request", r.call.ID))
	}
	if r.config != nil {
		fields = append(fields, zap.Int64("config", r.config.Version))
	}
	if r.route != nil {
		fields = append(fields, zap.String("route", r.route.Name), zap.String("account", r.accountName()))
	}
	if len(r.steps) > 0 {
		fields = append(fields, zap.Strings("steps", r.steps))
	}
	if refusal != nil {
		fields = append(fields, zap.Stringer("verdict", refusal.Verdict), zap.String("detail", refusal.Detail))
	}
	r.g.Logger.Info("request", fields...)
}
