package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/headers"
	"github.com/fulmardoor/fulmardoor/internal/retry"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	headerIdempotencyKey    = "Idempotency-Key"
	headerIdempotencyRepeat = "Idempotency-Repeat"

	// serviceRetryLimit is the age of a call of a service after which it is not retried any more.
	serviceRetryLimit = 2 * time.Second
	// maxServiceAttempts bounds the attempts of one call whatever the retry budget is.
	maxServiceAttempts = 5
	// maxHeldBytes is the part of an answer that is held back until the call has ended, so that a call which breaks in a
	// short answer still ends with a verdict. net/http buffers about as much before it sends anything.
	maxHeldBytes = 4 << 10
)

// serviceRequest is one call of a plain service.
type serviceRequest struct {
	*request
	route *configv1.Document_Route
	work  *wirev1.HTTPWork
	w     http.ResponseWriter
	// head and held are the part of the answer that the caller does not have yet.
	head *wirev1.HTTPHead
	held []byte
	// begun is set when bytes of the answer went to the caller.
	begun bool
}

// serveService handles requests of plain services.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	req := e.newRequest(w, r)
	defer req.close()
	if err := e.conf.Admit(); err != nil {
		e.writeRefusal(w, req.name, err)
		return
	}
	snapshot := e.conf.Current()
	route, ok := snapshot.Route(r.Method, r.URL.Path)
	if !ok {
		e.writeRefusal(w, req.name, verdict.Refuse(wirev1.Reason_REASON_NO_ROUTE, "no route for %s %s", r.Method, r.URL.Path))
		return
	}
	c, err := identify(snapshot, r, route.GetOpen())
	if err != nil {
		e.writeRefusal(w, req.name, err)
		return
	}
	body, err := e.readBody(w, r)
	if err != nil {
		e.writeRefusal(w, req.name, err)
		return
	}
	req.caller = c
	s := &serviceRequest{request: req, route: route, work: serviceWork(r, route, body), w: w}
	weight := e.weight(c.account)
	if err := e.admission.enter(req.ctx, c.account, weight, float64(route.GetCostTokens()), serviceRetryLimit); err != nil {
		s.fail(verdict.As(err))
		return
	}
	defer e.admission.leave()
	s.serve()
}

// serviceWork copies the request without the key and the headers of the caller's connection.
func serviceWork(r *http.Request, route *configv1.Document_Route, body []byte) *wirev1.HTTPWork {
	work := &wirev1.HTTPWork{
		Method: r.Method, Path: r.URL.RequestURI(), Body: body, Idempotent: route.GetIdempotent(),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Repeat:         r.Header.Get(headerIdempotencyRepeat) == "true",
		TimeoutMs:      uint32(route.GetTimeout().AsDuration().Milliseconds()),
	}
	headers.EachRequest(r.Header, func(name, value string) {
		work.Headers = append(work.Headers, &wirev1.Header{Name: name, Value: value})
	})
	return work
}

func (s *serviceRequest) serve() {
	s.e.budget.Request()
	for attempts := 1; ; attempts++ {
		err := s.attempt()
		if err == nil {
			s.settled()
			return
		}
		if s.ctx.Err() != nil {
			err = s.endCause(err)
		}
		refusal := verdict.As(err)
		// A call that was lost with its sidecar has the same reason but may have run.
		if noUpstream(refusal) && !s.begun && s.worthWaiting() && wait.For(s.ctx, replanPause) {
			s.noteWaiting(refusal)
			attempts--
			continue // nothing was sent
		}
		again := s.ctx.Err() == nil && retryable(refusal) && !noUpstream(refusal) && attempts < maxServiceAttempts &&
			retry.Decide(refusal.Verdict, s.route.GetIdempotent(), s.begun, false) == retry.Retry
		if again && s.awaitBudget(s.worthWaiting) {
			s.e.metrics.Retried("service", refusal.Reason)
			s.e.events.Record("retry", s.name, "", events.Field("reason", verdict.ReasonName(refusal.Reason)), events.Field("detail", refusal.Detail))
			continue
		}
		s.fail(refusal)
		return
	}
}

// settled counts a whole answer.
func (s *serviceRequest) settled() {
	s.e.metrics.Served("service", s.route.GetPool())
	s.noteEnd(s.route.GetCostTokens(), nil)
}

// usedTokens returns what a call that failed with a verdict used up: a call that ran did its work although its answer is lost.
func (s *serviceRequest) usedTokens(v verdict.Verdict) uint64 {
	if v == verdict.NotRun {
		return 0
	}
	return s.route.GetCostTokens()
}

// worthWaiting reports whether the caller of a service, who expects a prompt answer, should still wait for a retry.
func (s *serviceRequest) worthWaiting() bool { return time.Since(s.request.begin) < serviceRetryLimit }

// fail ends the request. After the first byte only a broken connection tells the caller that the answer is not whole.
func (s *serviceRequest) fail(refusal *verdict.Refusal) {
	s.settle(s.usedTokens(refusal.Verdict), refusal.Verdict)
	s.noteFailed(s.route.GetCostTokens(), refusal)
	if !s.begun {
		s.e.sendRefusal(s.w, s.name, refusal)
		return
	}
	panic(http.ErrAbortHandler)
}

func (s *serviceRequest) attempt() error {
	u, err := s.choose()
	if err != nil {
		return err
	}
	l := u.link.Load()
	if l == nil {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no connection to the upstream")
	}
	defer l.begin()()
	session := l.peer.Session()
	if session == nil {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no connection to the upstream")
	}
	nonce, err := freshNonce(s.ctx, session)
	if err != nil {
		return err
	}
	if err := s.authorize(s.route.GetCostTokens()); err != nil {
		return err
	}
	x := &exchange{
		peer: l.peer, logger: s.e.logger, clock: s.e.events, onFrame: s.onFrame, onEvent: s.event(u.name),
		request: &wirev1.ExecuteRequest{
			Call: s.e.nextCallID(), Nonce: nonce, Account: s.caller.account, ChargedTokens: s.route.GetCostTokens(),
			Work: &wirev1.Work{Kind: &wirev1.Work_Http{Http: s.work}},
		},
	}
	s.e.events.Record("dispatched", s.name, u.name, events.Field("call", call.FromWire(x.request.GetCall())))
	s.head, s.held = nil, nil
	outcome, err := x.run(s.ctx)
	if err == nil {
		err = outcomeError(outcome)
	}
	s.noteFailure(u.name, err)
	if err != nil {
		return err
	}
	if err := s.sendHeld(); err != nil {
		s.e.logger.Debug("answer not written", zap.String("request", s.name), zap.Error(err))
	}
	return nil
}

// choose picks an upstream. Calls with an idempotency key go to the same upstream from every entry host, and wait for it if it
// cannot be reached: another upstream would not know an earlier attempt.
func (s *serviceRequest) choose() (*upstream, error) {
	pool := s.route.GetPool()
	want := &scheduler.Request{Account: s.caller.account, Model: pool}
	if key := s.work.GetIdempotencyKey(); key != "" {
		return s.chooseByKey(want, xxhash.Sum64String(s.caller.account+"\x00"+key))
	}
	list := s.e.upstreams.find(pool, wirev1.EngineRole_ENGINE_ROLE_SERVICE)
	chosen := s.e.scheduler.Service(want, candidates(list))
	if len(chosen) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream of %s accepts work now", pool)
	}
	s.e.scheduler.ObserveChoice(chosen[0].Upstream)
	return byName(list, chosen[:1])[0], nil
}

func (s *serviceRequest) chooseByKey(want *scheduler.Request, key uint64) (*upstream, error) {
	rows := s.e.upstreams.declared(want.Model, wirev1.EngineRole_ENGINE_ROLE_SERVICE)
	chosen, ok := s.e.scheduler.ServiceByKey(key, want, candidates(rows))
	if !ok {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream of %s is declared", want.Model)
	}
	u := byName(rows, []scheduler.Candidate{chosen})[0]
	s.e.upstreams.demand(s.ctx, u)
	return u, nil
}

// onFrame holds the beginning of the answer back and passes on what follows.
func (s *serviceRequest) onFrame(frame *wirev1.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wirev1.Frame_HttpHead:
		s.head = body.HttpHead
	case *wirev1.Frame_HttpBody:
		s.held = append(s.held, body.HttpBody...)
		if s.begun || len(s.held) > maxHeldBytes {
			return s.sendHeld()
		}
	}
	return nil
}

// sendHeld writes what is held back to the caller.
func (s *serviceRequest) sendHeld() error {
	if !s.begun && s.head != nil {
		s.begun = true
		for _, h := range s.head.GetHeaders() {
			s.w.Header().Add(h.GetName(), h.GetValue())
		}
		s.w.Header().Set(headerRequestID, s.name)
		s.w.WriteHeader(int(s.head.GetStatus()))
	}
	held := s.held
	s.held = s.held[:0]
	if _, err := s.w.Write(held); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return nil
}

// endCause explains why the request's context ended.
func (s *serviceRequest) endCause(err error) error {
	if cause := context.Cause(s.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}
