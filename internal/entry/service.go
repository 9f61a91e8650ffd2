package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/headers"
	"github.com/fulmardoor/fulmardoor/internal/retry"
	"github.com/fulmardoor/fulmardoor/internal/scheduler"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	headerIdempotencyKey    = "Idempotency-Key"
	headerIdempotencyRepeat = "Idempotency-Repeat"

	// serviceRetryLimit is the age after which a call of a service is not retried any more, and its longest wait for admission.
	serviceRetryLimit = 2 * time.Second
	// maxServiceAttempts bounds the attempts of one call in addition to the retry budget.
	maxServiceAttempts = 5
	// maxBufferedBytes is the size up to which a response is buffered until the call has ended, so that a call which fails
	// within a short response still gets a refusal with a verdict. net/http buffers about as much before it sends anything.
	maxBufferedBytes = 4 << 10
)

// serviceRequest is one call of a plain HTTP service.
type serviceRequest struct {
	*request
	route *configv1.Document_Route
	work  *wirev1.HTTPWork
	w     http.ResponseWriter
	// head and buffered are the part of the response that was not sent to the caller yet.
	head     *wirev1.HTTPHead
	buffered []byte
	// responseStarted is set when bytes of the response were sent to the caller.
	responseStarted bool
}

// serveService handles requests of plain services.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	req := e.newRequest(w, r)
	defer req.finishBody(w, r)
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
	body, err := req.readBody(w, r)
	if err != nil {
		e.writeRefusal(w, req.name, err)
		return
	}
	req.caller = c
	req.identity = requestIdentity{service: route.GetPool(), method: r.Method, target: r.URL.RequestURI(), body: body}
	s := &serviceRequest{request: req, route: route, work: serviceWork(r, route, body), w: w}
	weight := e.weight(c.account)
	if err := e.admission.acquire(req.ctx, c.account, weight, float64(route.GetCostTokens()), serviceRetryLimit); err != nil {
		s.fail(s.cancelCause(err))
		return
	}
	defer e.admission.release()
	s.serve()
}

// serviceWork copies the request without the key and without hop-by-hop headers.
func serviceWork(r *http.Request, route *configv1.Document_Route, body []byte) *wirev1.HTTPWork {
	work := &wirev1.HTTPWork{
		Method: r.Method, Path: r.URL.RequestURI(), Body: body, Idempotent: route.GetIdempotent(),
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Repeat:         r.Header.Get(headerIdempotencyRepeat) == "true",
		TimeoutMs:      uint32(route.GetTimeout().AsDuration().Milliseconds()),
	}
	headers.EachRequestHeader(r.Header, func(name, value string) {
		work.Headers = append(work.Headers, &wirev1.Header{Name: name, Value: value})
	})
	return work
}

func (s *serviceRequest) serve() {
	s.entry.budget.Request()
	for attempts := 1; ; attempts++ {
		err := s.attempt()
		if err == nil {
			s.recordSuccess()
			return
		}
		if s.ctx.Err() != nil {
			err = s.cancelCause(err)
		}
		refusal := verdict.As(err)
		// A call whose connection to the sidecar was lost has the same reason, but it may have run; isNoUpstream excludes it.
		if isNoUpstream(refusal) && !s.responseStarted && s.worthWaiting() && wait.For(s.ctx, replanInterval) {
			s.recordWaiting(refusal)
			attempts--
			continue // nothing was sent, so this does not count as an attempt
		}
		shouldRetry := s.ctx.Err() == nil && isRetryable(refusal) && !isNoUpstream(refusal) && attempts < maxServiceAttempts &&
			retry.Decide(refusal.Verdict, s.route.GetIdempotent(), s.responseStarted, false) == retry.Retry
		if shouldRetry && s.waitForRetryBudget(s.worthWaiting) {
			s.recordRetry("service", refusal)
			continue
		}
		s.fail(refusal)
		return
	}
}

// recordSuccess counts a complete response.
func (s *serviceRequest) recordSuccess() {
	s.entry.metrics.Served("service", s.route.GetPool())
	s.recordAccountUsage(s.route.GetCostTokens(), nil)
}

// usedTokens returns the tokens that a failed call used. A call that ran used its full cost, although its response is lost.
func (s *serviceRequest) usedTokens(v verdict.Verdict) uint64 {
	if v == verdict.NotRun {
		return 0
	}
	return s.route.GetCostTokens()
}

// worthWaiting reports whether the request may still be retried; callers of services expect a quick response.
func (s *serviceRequest) worthWaiting() bool {
	return time.Since(s.request.startTime) < serviceRetryLimit
}

// fail ends the request with a refusal. If bytes of the response were already sent, it aborts the connection, which is the
// only way to tell the caller that the response is incomplete.
func (s *serviceRequest) fail(err error) {
	refusal := s.finalRefusal(err)
	s.settle(s.usedTokens(refusal.Verdict), refusal.Verdict)
	s.recordFailure(s.route.GetCostTokens(), refusal)
	if !s.responseStarted {
		s.entry.sendRefusal(s.w, s.name, refusal)
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
	endCall, err := l.beginCall()
	if err != nil {
		return err
	}
	defer endCall()
	session := l.peer.Session()
	if session == nil {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no connection to the upstream")
	}
	nonce, err := freshNonce(s.ctx, session)
	if err != nil {
		return err
	}
	if err := s.authorize(s.ctx, s.route.GetCostTokens()); err != nil {
		return err
	}
	x := &exchange{
		peer: l.peer, logger: s.entry.logger, clock: s.entry.events, onFrame: s.onFrame, onEvent: s.eventRecorder(u.name),
		request: &wirev1.ExecuteRequest{
			Call: s.entry.nextCallID(), Nonce: nonce, Account: s.caller.account, ChargedTokens: s.route.GetCostTokens(),
			Work: &wirev1.Work{Kind: &wirev1.Work_Http{Http: s.work}},
		},
	}
	if err := s.enterQuarantine(); err != nil {
		return err
	}
	s.recordDispatch(u.name, x.request.GetCall())
	s.head, s.buffered = nil, nil
	outcome, err := x.run(s.ctx)
	if err == nil {
		err = outcomeError(outcome)
	}
	s.reportUpstreamFailure(u.name, err)
	s.recordCrash(u.name, outcome)
	if err != nil {
		return err
	}
	s.recordSurvival(int(s.head.GetStatus()))
	if err := s.flushBuffered(); err != nil {
		s.entry.logger.Debug("failed to write the response", zap.String("request", s.name), zap.Error(err))
	}
	return nil
}

// choose picks an upstream. Calls with an idempotency key go to the same upstream from every entry host, and wait for it if
// it cannot be reached, because only the sidecar of that upstream remembers an earlier attempt.
func (s *serviceRequest) choose() (*upstream, error) {
	pool := s.route.GetPool()
	schedRequest := &scheduler.Request{Account: s.caller.account, Model: pool}
	if key := s.work.GetIdempotencyKey(); key != "" {
		return s.chooseByKey(schedRequest, xxhash.Sum64String(s.caller.account+"\x00"+key))
	}
	list := s.entry.upstreams.linkedUpstreams(pool, wirev1.EngineRole_ENGINE_ROLE_SERVICE)
	chosen := s.entry.scheduler.Service(schedRequest, candidates(list))
	if len(chosen) == 0 {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no upstream of %s accepts work now", pool)
	}
	s.entry.scheduler.ObserveChoice(chosen[0].Upstream)
	return upstreamsOf(list, chosen[:1])[0], nil
}

func (s *serviceRequest) chooseByKey(schedRequest *scheduler.Request, key uint64) (*upstream, error) {
	list := s.entry.upstreams.availableUpstreams(schedRequest.Model, wirev1.EngineRole_ENGINE_ROLE_SERVICE)
	chosen, ok := s.entry.scheduler.ServiceByKey(key, schedRequest, candidates(list))
	if !ok {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "every declared upstream of %s is leaving, or none is declared", schedRequest.Model)
	}
	u := upstreamsOf(list, []scheduler.Candidate{chosen})[0]
	s.entry.upstreams.ensureLink(s.ctx, u)
	return u, nil
}

// onFrame buffers the beginning of the response and sends what follows.
func (s *serviceRequest) onFrame(frame *wirev1.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wirev1.Frame_HttpHead:
		s.head = body.HttpHead
	case *wirev1.Frame_HttpBody:
		s.buffered = append(s.buffered, body.HttpBody...)
		if s.responseStarted || len(s.buffered) > maxBufferedBytes {
			return s.flushBuffered()
		}
	}
	return nil
}

// flushBuffered sends the buffered part of the response to the caller.
func (s *serviceRequest) flushBuffered() error {
	if !s.responseStarted && s.head != nil {
		s.responseStarted = true
		for _, h := range s.head.GetHeaders() {
			s.w.Header().Add(h.GetName(), h.GetValue())
		}
		s.w.Header().Set(headerRequestID, s.name)
		s.w.WriteHeader(int(s.head.GetStatus()))
	}
	buffered := s.buffered
	s.buffered = s.buffered[:0]
	if _, err := s.w.Write(buffered); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return nil
}
