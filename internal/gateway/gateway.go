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
	"github.com/fulmardoor/fulmardoor/internal/backlog"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/ingress"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
	"github.com/fulmardoor/fulmardoor/internal/quota"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/waitestimate"
	"github.com/fulmardoor/fulmardoor/internal/waitqueue"
)

const (
	// maxTimeout limits every request; callers and routes can only set a shorter time.
	maxTimeout = 30 * time.Second
	// defaultBodyLimit is the largest body in bytes if the configuration sets no limit.
	defaultBodyLimit = 4 << 20
	// defaultRetryAfter is used where no better delay is known. Once the store answers, a process without a configuration
	// gets one within this time.
	defaultRetryAfter = time.Second
	// deadlineMargin is subtracted from the timeout, so that the final answer still reaches the caller in time. A timeout of
	// less than ten times the margin is reduced by a tenth instead.
	deadlineMargin = 60 * time.Millisecond
)

// Options configures a Gateway.
type Options struct {
	Protocol Protocol
	Board    *placement.Board
	Limiter  *quota.Limiter
	Budgets  *Budgets
	Pool     *upstreamconn.Pool
	// Quarantine has the prompts that crash engines.
	Quarantine *quarantine.List
	// Limits has the rates to which upstreams limit their requests.
	Limits *upstreamrate.Limits
	// Backlog has the demand that waits here and at other processes; nil for a process that counts none.
	Backlog *backlog.Backlog
	// BodyMemory bounds the bodies of all requests in flight, and AnswerMemory what is kept of the bodies of all answers at a time; nil for no bound.
	BodyMemory, AnswerMemory *membudget.Budget
	// RefuseAtOnce makes the gateway refuse requests that are not expected to get an engine in time, instead of letting them wait.
	RefuseAtOnce bool
	Metrics      *Metrics
	Logger       *zap.Logger
}

// Gateway is the HTTP handler for callers. Create it with New.
type Gateway struct {
	Options
	config  atomic.Pointer[fleet.Config]
	running atomic.Int64
	// streams is the number of admitted requests in flight whose answers may be streams.
	streams atomic.Int64
	// shutdown is nil while the process is not stopping.
	shutdown atomic.Pointer[shutdown]
	// drained is set when a stopping process refuses all new requests.
	drained atomic.Bool
	// ended ends when the process cancels the requests that still run.
	ended context.Context
	end   context.CancelFunc

	reservations reservationLog
	plain        plainLimit

	mu         sync.Mutex                         // guards the fields below
	queues     map[string]*waitqueue.Queue        // by service
	estimators map[string]*waitestimate.Estimator // by service
}

// New returns a gateway that refuses requests until it has a configuration.
func New(options Options) *Gateway {
	g := &Gateway{Options: options, queues: make(map[string]*waitqueue.Queue), estimators: make(map[string]*waitestimate.Estimator)}
	g.ended, g.end = context.WithCancel(context.Background())
	return g
}

// queue returns the queue of a service, and creates it if needed.
func (g *Gateway) queue(service string) *waitqueue.Queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue, ok := g.queues[service]
	if !ok {
		queue = new(waitqueue.Queue)
		if g.Backlog != nil {
			queue.Changed = func(demand backlog.Levels) { g.Backlog.SetOwn(service, demand) }
		}
		g.queues[service] = queue
	}
	return queue
}

// CapacityChanged makes the waiting requests check again whether there is capacity for them. It is called after capacity may have
// become free, and after the demand of other processes has changed.
func (g *Gateway) CapacityChanged() {
	g.mu.Lock()
	queues := slices.Collect(maps.Values(g.queues))
	g.mu.Unlock()
	for _, queue := range queues {
		queue.CapacityChanged()
	}
}

// Apply puts a configuration in force if its version is newer than the current one's. It reports whether it did.
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

// Running returns the number of requests in flight.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Ready returns nil if callers may be routed to this process.
func (g *Gateway) Ready() error {
	if g.shutdown.Load() != nil {
		return errors.New("stopping")
	}
	if g.config.Load() == nil {
		return errors.New("no configuration yet")
	}
	return nil
}

// request is the state of one call while it is being served.
type request struct {
	g        *Gateway
	call     *Call
	config   *fleet.Config
	route    *fleet.Route
	account  *fleet.Account // nil for a request without a key on a route that requires none
	service  *fleet.Service
	cost     float64
	began    time.Time
	deadline time.Time
	ctx      context.Context
	w        http.ResponseWriter
	excluded map[string]bool // upstreams that are not tried again
	// sends is the number of attempts to send the request to an upstream that is to run it, and prefills that of calls that reached
	// a prefill engine. possibleRuns is the number of failed attempts after which it may have run.
	sends, prefills, possibleRuns int
	steps                         []string
	// handle is a prefilled KV cache that no decode engine has fetched yet, handleAt the time when it was created and
	// prefillEngine the engine that holds it.
	handle        *Handle
	handleAt      time.Time
	prefillEngine *fleet.Upstream
	// promptParts are Call.SharedParts with the name of the service.
	promptParts []string
	// cachedIdentity is the result of identity; empty before its first call.
	cachedIdentity string
	// probe is set while the request finds out whether its prompt, after a quarantine, still crashes engines.
	probe bool
	// cachedAt is a decode engine whose answer was cut off; if it is still running, it has the prompt's KV cache.
	cachedAt *fleet.Upstream
	// replacement is the allocation to which the request moves from a silent engine; nil for none. retryCharged is set while a charge
	// to the retry budget for the next attempt has not been used.
	replacement  *allocation
	retryCharged bool
	// leftSilent is the id of a silent upstream that the request has left for a replacement; empty for none.
	leftSilent string
	// wasHeldBack is set once the request left capacity to more urgent ones that waited at other processes.
	wasHeldBack bool
	// sending is set once a part of the request may have been sent in the current attempt.
	sending atomic.Bool
	// noTimeLeft is set when a stopping process would have ended before the stream at an engine that had capacity.
	noTimeLeft bool
	// waited is set once it was decided that the request waits for capacity.
	waited bool
	status int
	// body has the memory of Call.Body. discardBody is set if the rest of the body must be read after the request was refused, because a
	// caller may read the refusal only then.
	body        *membudget.Buffer
	discardBody bool
	// written is set once the status or body of an answer was sent to the caller.
	written bool
	// events is the number of events sent to the caller, and lastEventAt the time of the last one.
	events      atomic.Int64
	lastEventAt time.Time
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	began := time.Now()
	req := &request{g: g, began: began, w: w, excluded: make(map[string]bool), body: g.BodyMemory.NewBuffer()}
	defer req.body.Release()
	err := req.prepare(r)
	if err == nil {
		var cancel context.CancelFunc
		req.ctx, cancel = context.WithDeadline(r.Context(), req.deadline)
		defer cancel()
		defer context.AfterFunc(g.ended, cancel)()
		if req.mayStream() {
			g.streams.Add(1)
			defer g.streams.Add(-1)
		}
		err = req.serve()
	}
	req.finish(r, err)
	if req.discardBody {
		ingress.DiscardBody(w, r)
	}
}

// prepare parses the request and makes all checks that come before its admission.
func (r *request) prepare(httpRequest *http.Request) error {
	call, err := r.g.Protocol.ParseCall(httpRequest)
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
	if err := r.authenticate(); err != nil {
		return err
	}
	if err := r.chooseService(); err != nil {
		return err
	}
	if err := r.checkStopping(); err != nil {
		return err
	}
	limit := r.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	r.deadline = r.began.Add(r.timeout())
	ingress.SetDeadline(httpRequest.Context(), r.deadline)
	if err := r.readBody(httpRequest, limit); err != nil {
		return err
	}
	// The caller may have taken long to send the body.
	if err := r.checkStopping(); err != nil {
		return err
	}
	r.recordAcceptedStopping()
	return nil
}

// timeout returns the time within which the request must be answered, counted from its arrival.
func (r *request) timeout() time.Duration {
	limit := maxTimeout
	if r.call.Timeout > 0 {
		limit = min(limit, r.call.Timeout)
	}
	if r.route.Timeout > 0 {
		limit = min(limit, r.route.Timeout)
	}
	return limit - min(deadlineMargin, limit/10)
}

// authenticate looks up the account of the call's key.
func (r *request) authenticate() error {
	if !r.config.NeedsKeys {
		return nil
	}
	account, ok := r.config.Account(r.call.Key)
	switch {
	case ok:
		r.account = account
	case r.route.NoKeyRequired:
	case r.call.Key == "":
		return verdict.Refuse(wirev1.Reason_REASON_KEY_MISSING, "this route needs a key")
	default:
		return verdict.Refuse(wirev1.Reason_REASON_KEY_UNKNOWN, "the key is not known")
	}
	return nil
}

// chooseService selects one of the route's targets at random, by weight.
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
			r.service, r.promptParts = service, qualifyParts(service.Name, r.call.SharedParts)
			return nil
		}
	}
	return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "the route has no service")
}

// serve admits the request and runs it. The charge is refunded if the request did not run.
func (r *request) serve() error {
	if err := r.checkQuarantine(); err != nil {
		return err
	}
	if err := r.admit(); err != nil {
		return err
	}
	r.g.Budgets.forService(r.service.Name).Request()
	var err error
	if r.runsModel() {
		err = r.serveModel()
	} else {
		err = r.servePlain()
	}
	if err != nil && verdict.As(err).Verdict == verdict.NotRun && r.account != nil {
		r.g.Limiter.Refund(r.account, r.cost)
	}
	return err
}

// runsModel reports whether engines run the request.
func (r *request) runsModel() bool { return r.service.Engine != nil && r.call.HasTokens }

// admit charges the account, or refuses the request if the account is over its rate.
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
	r.recordStep(fmt.Sprintf("rate_exceeded needs %.0f has %.0f heard %d/%d",
		decision.Needed, decision.Level, decision.KnownProcesses, decision.Processes), r.account.Name)
	return refusal
}

func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// routePriorities is the number of priorities of routes that are told apart within one priority of accounts.
const routePriorities = 10

// maxPriority bounds the priorities of routes and accounts, so that their combination fits into the 32 bits that heartbeats have for it.
const maxPriority = 1 << 20

// priority returns the rank of the request: by the priority of its account and, within that, by the priority of its route. The account's decides first,
// but where all accounts have the same one, as in most configurations with accounts, it must not make urgent routes wait behind others.
func (r *request) priority() int {
	ofRoute := min(max(r.route.Priority, 0), routePriorities-1)
	first := r.route.Priority
	if r.account != nil && r.account.HasPriority {
		first = r.account.Priority
	}
	return min(max(first, 0), maxPriority)*routePriorities + ofRoute
}

// timeLeft returns the time for which an upstream may work on the request: until its deadline, or until shortly after the end of
// a stopping process if that is sooner.
func (r *request) timeLeft() time.Duration {
	left := time.Until(r.deadline)
	if s := r.g.shutdown.Load(); s != nil {
		left = min(left, time.Until(s.end)+upstreamEndMargin)
	}
	return left
}

// recordStep adds a step, with the milliseconds since the request's arrival, to the log line of the request. detail is the
// upstream, account or event concerned.
func (r *request) recordStep(name, detail string) {
	r.steps = append(r.steps, name+" "+detail+" +"+strconv.FormatInt(time.Since(r.began).Milliseconds(), 10))
}

// finish answers a failed request, and counts and logs every request.
func (r *request) finish(httpRequest *http.Request, err error) {
	name := "served"
	if err != nil {
		refusal := *verdict.As(err)
		name = verdict.ReasonName(refusal.Reason)
		switch {
		case refusal.Reason == wirev1.Reason_REASON_REQUEST_TIMEOUT: // the server has cancelled the context, as after each failed read
		case httpRequest.Context().Err() != nil && errors.Is(httpRequest.Context().Err(), context.Canceled):
			name = "caller_gone"
		case r.g.ended.Err() != nil:
			refusal, name = r.endedRefusal(refusal)
		case r.written:
			name += "_midway"
		case r.ctx != nil && r.ctx.Err() != nil && refusal.Verdict != verdict.NotRun:
			refusal.Reason = wirev1.Reason_REASON_DEADLINE
			name = verdict.ReasonName(refusal.Reason)
		}
		defer r.log(name, &refusal)
		r.g.Metrics.CountRequest(r, name)
		if r.written || name == "caller_gone" {
			// The answer is incomplete and must not look complete: the panic makes the server close the connection without
			// the final chunk.
			panic(http.ErrAbortHandler)
		}
		r.refuse(&refusal)
		return
	}
	r.g.Metrics.CountRequest(r, name)
	r.log(name, nil)
}

// refuse answers with a refusal.
func (r *request) refuse(refusal *verdict.Refusal) {
	header := r.w.Header()
	r.g.Protocol.RefusalHeader(r.call, header)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	r.status = refusal.HTTPStatus()
	if refusal.RetryAfter == 0 && refusal.Verdict == verdict.NotRun && r.status >= http.StatusTooManyRequests {
		refusal.RetryAfter = defaultRetryAfter
	}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body := verdict.ReasonName(refusal.Reason) + " (" + refusal.Verdict.String() + "): " + refusal.Detail + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	r.writeHeader(r.status)
	_, _ = io.WriteString(r.w, body) // the caller may have disconnected
}

// log writes the log line of the request.
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
	if events := r.events.Load(); events > 0 {
		fields = append(fields, zap.Int64("events", events), zap.Duration("last_event_age", time.Since(r.lastEventAt)), zap.Int("output_tokens", r.call.OutputTokens))
	}
	if r.possibleRuns > 0 {
		fields = append(fields, zap.String("identity", r.identity()))
	}
	if refusal != nil && refusal.Reason == wirev1.Reason_REASON_PROMPT_QUARANTINED {
		fields = append(fields, zap.Strings("parts", r.promptParts))
	}
	if refusal != nil {
		fields = append(fields, zap.Stringer("verdict", refusal.Verdict), zap.String("detail", refusal.Detail))
	}
	r.g.Logger.Info("request", fields...)
}
