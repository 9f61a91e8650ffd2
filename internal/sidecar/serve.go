package sidecar

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/orders"
	"github.com/fulmardoor/fulmardoor/internal/places"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// unreservedWaitMillis is the longest wait for a place of a call without a reservation.
const unreservedWaitMillis = 500

// crashSeparation is the time after which another broken call shows another crash of the upstream. A crash breaks all of its calls at
// once, and an upstream takes longer to start again.
const crashSeparation = 100 * time.Millisecond

// ServeStream implements transport.Handler.
func (s *Sidecar) ServeStream(
	ctx context.Context, session *transport.Session, open *wirev1.StreamOpen, stream *transport.Stream,
) {
	switch kind := open.GetKind().(type) {
	case *wirev1.StreamOpen_Reserve:
		s.serveReserve(ctx, kind.Reserve, stream)
	case *wirev1.StreamOpen_Execute:
		s.serveExecute(ctx, kind.Execute, stream)
	case *wirev1.StreamOpen_Resume:
		s.serveResume(ctx, kind.Resume, stream)
	case *wirev1.StreamOpen_Query:
		s.reply(stream, s.calls.Query(kind.Query))
	case *wirev1.StreamOpen_Cancel:
		s.reply(stream, s.cancelCall(kind.Cancel))
	case *wirev1.StreamOpen_Quote:
		s.reply(stream, s.quote(kind.Quote))
	case *wirev1.StreamOpen_Nonce:
		s.reply(stream, &wirev1.NonceReply{Nonce: s.issuer.Issue()})
	case *wirev1.StreamOpen_Order:
		s.reply(stream, s.handleOrder(ctx, kind.Order))
	case *wirev1.StreamOpen_ConfigPush:
		s.reply(stream, s.conf.HandlePush(session.Remote().GetProcess(), kind.ConfigPush))
	case *wirev1.StreamOpen_ConfigPull:
		s.reply(stream, s.conf.HandlePull(kind.ConfigPull))
	case *wirev1.StreamOpen_EventQuery:
		s.reply(stream, s.events.Query(kind.EventQuery))
	default:
		s.logger.Warn("stream of unknown kind refused")
	}
}

func (s *Sidecar) reply(stream *transport.Stream, message transport.Message) {
	if err := stream.Send(message); err != nil {
		s.logger.Debug("failed to send the reply", zap.Error(err))
	}
}

func (s *Sidecar) quote(req *wirev1.QuoteRequest) *wirev1.QuoteReply {
	load := s.load()
	// The load report contains the queueing time for a new account; that for this account may be longer or shorter.
	load.QueueMs = uint32(s.places.WaitEstimate(req.GetAccount()).Milliseconds())
	reply := s.upstream.Quote(req, load)
	reply.Accepting = load.GetAccepting()
	reply.Nonce = s.issuer.Issue()
	return reply
}

// serveReserve reserves a place and holds it until the stream closes, the reservation is revoked or the call begins.
func (s *Sidecar) serveReserve(ctx context.Context, req *wirev1.ReserveRequest, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The entry sends no further message; the end of the stream cancels the request or the reservation.
		_ = stream.Recv(new(wirev1.ReserveReply))
		cancel()
	}()
	id := call.FromWire(req.GetCall())
	begin := time.Now()
	reservation, err := s.places.Reserve(ctx, req)
	s.metrics.ObservePlaceWait(time.Since(begin), err == nil)
	if err != nil {
		refusal := verdict.As(err)
		s.events.Record("place_refused", id.String(), s.settings.GetUpstream().GetName(),
			events.Field("reason", verdict.ReasonName(refusal.Reason)), events.Field("detail", refusal.Detail))
		s.reply(stream, &wirev1.ReserveReply{
			Reason: refusal.Reason, Nonce: s.issuer.Issue(), RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
		})
		return
	}
	s.addReservation(id, reservation)
	s.events.Record("place_reserved", id.String(), s.settings.GetUpstream().GetName())
	s.reply(stream, &wirev1.ReserveReply{Granted: true, Nonce: s.issuer.Issue(), Lamport: s.events.Lamport()})
	select {
	case <-ctx.Done():
	case <-reservation.Revoked():
	}
	if unused := s.takeReservation(id); unused != nil {
		unused.Release()
	}
}

func (s *Sidecar) addReservation(id call.ID, reservation *places.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservations[id] = reservation
}

// takeReservation removes and returns the reservation of a call, so that only one goroutine begins or releases it.
func (s *Sidecar) takeReservation(id call.ID) *places.Reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation := s.reservations[id]
	delete(s.reservations, id)
	return reservation
}

// serveExecute runs a call and delivers its response, or refuses the call. A "not run" verdict guarantees that the call did
// not and will not run.
func (s *Sidecar) serveExecute(ctx context.Context, req *wirev1.ExecuteRequest, stream *transport.Stream) {
	s.executing.Add(1)
	defer s.executing.Add(-1)
	id := call.FromWire(req.GetCall())
	reservation, err := s.acquirePlace(ctx, req)
	if err != nil {
		s.refuse(id, err, stream)
		return
	}
	c, started, err := s.calls.Start(req)
	if err == nil && !started {
		reservation.Release()
		s.events.Record("answer_replayed", id.String(), s.settings.GetUpstream().GetName())
		s.replay(ctx, c, stream)
		return
	}
	if err != nil {
		reservation.Release()
		s.refuse(id, err, stream)
		return
	}
	go s.run(c, reservation, req)
	s.deliver(ctx, c, stream, 1)
}

// acquirePlace turns the reservation of a call into a place. A call without a reservation waits for one for at most
// unreservedWaitMillis.
func (s *Sidecar) acquirePlace(ctx context.Context, req *wirev1.ExecuteRequest) (*places.Reservation, error) {
	if err := s.checkRepeat(req); err != nil {
		return nil, err
	}
	id := call.FromWire(req.GetCall())
	reservation := s.takeReservation(id)
	if reservation == nil {
		var err error
		reservation, err = s.places.Reserve(ctx, &wirev1.ReserveRequest{
			Call: req.GetCall(), Account: req.GetAccount(), CostTokens: req.GetChargedTokens(), WaitMs: unreservedWaitMillis,
		})
		if err != nil {
			return nil, err
		}
	}
	// After this limit, the KV cache of the prefill could be evicted before it is imported. The timeout lets the entry use
	// another engine in time.
	ctx, cancel := context.WithTimeout(ctx, places.DefaultLateLimit)
	defer cancel()
	if err := reservation.Begin(ctx); err != nil {
		reservation.Release()
		return nil, err
	}
	return reservation, nil
}

// checkRepeat refuses a request that its caller marks as a repeat if the first attempt is not remembered.
func (s *Sidecar) checkRepeat(req *wirev1.ExecuteRequest) error {
	work := req.GetWork().GetHttp()
	if !work.GetRepeat() || s.calls.HasIdempotencyKey(req.GetAccount(), work.GetIdempotencyKey()) {
		return nil
	}
	return &verdict.Refusal{
		Verdict: verdict.MayHaveRun, Reason: wirev1.Reason_REASON_EARLIER_RUN_UNKNOWN,
		Detail: "no record of the first attempt with this idempotency key; it may have run",
	}
}

func (s *Sidecar) refuse(id call.ID, err error, stream *transport.Stream) {
	refusal := verdict.As(err)
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		refusal = verdict.Refuse(wirev1.Reason_REASON_CANCELLED, "the call was cancelled before it began")
	}
	s.events.Record("call_refused", id.String(), s.settings.GetUpstream().GetName(),
		events.Field("reason", verdict.ReasonName(refusal.Reason)))
	s.metrics.Ended(refusal.Verdict, refusal.Reason)
	outcome := &wirev1.Outcome{
		Verdict: refusal.Verdict.Wire(), Reason: refusal.Reason, Detail: refusal.Detail, Nonce: s.issuer.Issue(),
	}
	s.reply(stream, &wirev1.Frame{Number: 1, Body: &wirev1.Frame_Outcome{Outcome: outcome}})
}

func (s *Sidecar) run(c *call.Call, reservation *places.Reservation, req *wirev1.ExecuteRequest) {
	defer reservation.Release()
	name := s.settings.GetUpstream().GetName()
	s.events.Record("call_started", c.ID.String(), name)
	outcome := s.upstream.Run(c, req.GetWork(), reservation.Progress)
	outcome.Nonce = s.outcomeNonce(outcome.GetReason())
	outcome.Lamport = s.events.Lamport()
	if outcome.GetVerdict() == wirev1.Verdict_VERDICT_NOT_RUN {
		s.calls.ForgetIdempotencyKey(c)
	}
	s.recordOutcome(c, outcome)
	s.metrics.Ended(verdict.FromWire(outcome.GetVerdict()), outcome.GetReason())
	c.Finish(outcome)
}

// outcomeNonce returns the nonce of an outcome. The calls that a crash of the upstream ends together get the same one, by which entries
// count the crash once.
func (s *Sidecar) outcomeNonce(reason wirev1.Reason) *wirev1.Nonce {
	if reason != wirev1.Reason_REASON_UPSTREAM_BROKE {
		return s.issuer.Issue()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashNonce == nil || time.Since(s.crashedAt) > crashSeparation {
		s.crashNonce, s.crashedAt = s.issuer.Issue(), time.Now()
	}
	return s.crashNonce
}

func (s *Sidecar) recordOutcome(c *call.Call, outcome *wirev1.Outcome) {
	fields := []*wirev1.Header{events.Field("verdict", verdict.FromWire(outcome.GetVerdict()))}
	if outcome.GetReason() != wirev1.Reason_REASON_UNSPECIFIED {
		fields = append(fields, events.Field("reason", verdict.ReasonName(outcome.GetReason())), events.Field("detail", outcome.GetDetail()))
	}
	if outcome.GetOutputTokens() > 0 {
		fields = append(fields, events.Field("output_tokens", outcome.GetOutputTokens()))
	}
	s.events.Record("call_ended", c.ID.String(), s.settings.GetUpstream().GetName(), fields...)
}

func (s *Sidecar) serveResume(ctx context.Context, req *wirev1.ResumeRequest, stream *transport.Stream) {
	c := s.calls.Get(call.FromWire(req.GetCall()))
	if c == nil {
		outcome := &wirev1.Outcome{
			Verdict: wirev1.Verdict_VERDICT_MAY_HAVE_RUN, Reason: wirev1.Reason_REASON_UNKNOWN_CALL, Nonce: s.issuer.Issue(),
		}
		s.reply(stream, &wirev1.Frame{Number: req.GetNextFrame(), Body: &wirev1.Frame_Outcome{Outcome: outcome}})
		return
	}
	s.events.Record("answer_resumed", c.ID.String(), s.settings.GetUpstream().GetName(),
		events.Field("next_frame", req.GetNextFrame()))
	s.deliver(ctx, c, stream, req.GetNextFrame())
}

// deliver sends the frames of a call, starting at number next, and receives acknowledgements. It stops sending if a newer
// stream attaches to the call.
func (s *Sidecar) deliver(ctx context.Context, c *call.Call, stream *transport.Stream, next uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	generation := c.Attach()
	defer c.Detach(generation)
	go func() {
		defer cancel()
		receiveAcks(c, stream)
	}()
	_, _ = s.sendFrames(ctx, c, stream, generation, next)
	if c.Outcome() != nil {
		<-ctx.Done() // the last acknowledgement or the end of the stream
	}
}

func receiveAcks(c *call.Call, stream *transport.Stream) {
	for {
		ack := new(wirev1.FrameAck)
		if err := stream.Recv(ack); err != nil {
			return
		}
		c.Ack(ack.GetNumber())
	}
}

// sendFrames sends the frames of a call, starting at number next, up to its outcome. On an error it returns the number of the first frame that
// was not sent.
func (s *Sidecar) sendFrames(
	ctx context.Context, c *call.Call, stream *transport.Stream, generation int, next uint64,
) (unsent uint64, err error) {
	for {
		frame, err := c.Next(ctx, generation, next)
		if err != nil {
			return next, err
		}
		if err := stream.Send(frame); err != nil {
			return next, err
		}
		if frame.GetOutcome() != nil {
			return 0, nil
		}
		next++
	}
}

// replay sends the response of an earlier call to a caller that repeated the request. It ignores acknowledgements: those
// of the earlier call's own stream say which frames its entry has received.
func (s *Sidecar) replay(ctx context.Context, c *call.Call, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for stream.Recv(new(wirev1.FrameAck)) == nil {
			continue
		}
	}()
	if unsent, err := s.sendFrames(ctx, c, stream, call.Observer, 1); errors.Is(err, call.ErrFramesDropped) {
		outcome := &wirev1.Outcome{
			Verdict: wirev1.Verdict_VERDICT_MAY_HAVE_RUN, Reason: wirev1.Reason_REASON_EARLIER_RUN_UNKNOWN, Nonce: s.issuer.Issue(),
			Detail: "the response of the first attempt with this idempotency key is too large to be sent again",
		}
		if first := c.Outcome(); first != nil {
			outcome.Verdict = first.GetVerdict()
		}
		s.reply(stream, &wirev1.Frame{Number: unsent, Body: &wirev1.Frame_Outcome{Outcome: outcome}})
	}
	<-ctx.Done()
}

func (s *Sidecar) cancelCall(req *wirev1.CancelRequest) *wirev1.CancelReply {
	id := call.FromWire(req.GetCall())
	if reservation := s.takeReservation(id); reservation != nil {
		reservation.Release()
	}
	c := s.calls.Get(id)
	if c == nil {
		// The execute request may arrive later and must then be refused.
		s.calls.Bar(id)
		return &wirev1.CancelReply{State: wirev1.CallState_CALL_STATE_UNKNOWN}
	}
	// Entries also cancel a finished prefill once its KV cache was imported, so that the engine can free the export.
	s.upstream.Release(id)
	if c.Outcome() != nil {
		return &wirev1.CancelReply{State: wirev1.CallState_CALL_STATE_FINISHED}
	}
	s.events.Record("call_cancelled", id.String(), s.settings.GetUpstream().GetName())
	c.Cancel(call.ErrCancelled)
	return &wirev1.CancelReply{State: wirev1.CallState_CALL_STATE_RUNNING}
}

// handleOrder executes an operator's order if its fencing number is higher than all seen before. Only drain and
// return-to-service orders may have no number, which happens if the entry could not get one.
func (s *Sidecar) handleOrder(ctx context.Context, req *wirev1.OrderRequest) *wirev1.OrderReply {
	s.mu.Lock()
	highest := s.highestFencingNumber
	stale := req.GetFencingNumber() <= highest && (req.GetFencingNumber() != 0 || req.GetEngine() != nil)
	if req.GetFencingNumber() > highest {
		s.highestFencingNumber = req.GetFencingNumber()
		highest = s.highestFencingNumber
	}
	s.mu.Unlock()
	reply := &wirev1.OrderReply{HighestFencingNumber: highest}
	if stale {
		reply.Reason = wirev1.Reason_REASON_STALE_ORDER
		reply.Detail = "the fencing number is missing or not higher than that of an earlier order"
		return reply
	}
	if err := s.applyOrder(ctx, req); err != nil {
		reply.Detail = err.Error()
		return reply
	}
	s.events.Record("order_accepted", "", s.settings.GetUpstream().GetName(),
		events.Field("fencing_number", req.GetFencingNumber()))
	reply.Accepted = true
	return reply
}

func (s *Sidecar) applyOrder(ctx context.Context, req *wirev1.OrderRequest) error {
	switch kind := req.GetKind().(type) {
	case *wirev1.OrderRequest_Drain:
		s.updateLeaveReasons(func(l *leaveReasons) { l.operator = true })
		return nil
	case *wirev1.OrderRequest_ReturnToService:
		s.updateLeaveReasons(func(l *leaveReasons) { l.operator = false })
		return nil
	case *wirev1.OrderRequest_Engine:
		// Not every engine checks the fencing number, so it is confirmed with the store. The numbers of drain and return orders
		// are not: these orders must work while the store is down, and the document of the upstream declares its state as well.
		if err := orders.Check(ctx, s.store, s.settings.GetUpstream().GetName(), req.GetFencingNumber()); err != nil {
			return err
		}
		return s.upstream.Order(ctx, req.GetFencingNumber(), kind.Engine)
	default:
		return errors.New("unknown kind of order")
	}
}
