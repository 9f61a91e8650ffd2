package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// QueryDeadline is the longest time that the fate of a call stays open after its connection was lost.
	QueryDeadline = 4 * time.Second
	// nonceReuse is the largest age of a nonce that is used without asking for a newer one.
	nonceReuse = transport.FenceWindow / 2
	// ackEvery is the number of frames that one acknowledgement covers.
	ackEvery = 8

	cancelTimeout = time.Second
	nonceTimeout  = time.Second
)

// freshNonce returns a nonce of the sidecar that is young enough to check rights and start work with it.
func freshNonce(ctx context.Context, session *transport.Session) (*wirev1.Nonce, error) {
	beat, at := session.Heartbeat()
	if beat.GetNonce() != nil && time.Since(at) < nonceReuse {
		return beat.GetNonce(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, nonceTimeout)
	defer cancel()
	reply := new(wirev1.NonceReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Nonce{Nonce: &wirev1.NonceRequest{}}}
	if err := session.Call(ctx, open, reply); err != nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "the process beside the upstream does not answer")
	}
	return reply.GetNonce(), nil
}

// exchange is one call at a sidecar: it delivers each frame of the answer once, over as many connections as it takes.
type exchange struct {
	peer    *transport.Peer
	request *wirev1.ExecuteRequest
	onFrame func(*wirev1.Frame) error
	logger  *zap.Logger
	clock   transport.Clock
	onEvent func(kind string)

	stream  *transport.Stream
	next    uint64 // number of the next frame
	unacked int
}

// run executes the call and returns its end. The error is a *verdict.Refusal, or an error of onFrame, after which the
// call has been cancelled.
func (x *exchange) run(ctx context.Context) (*wirev1.Outcome, error) {
	x.next = 1
	if err := x.start(ctx); err != nil {
		return nil, err
	}
	for {
		outcome, frameErr, err := x.receive(ctx)
		if outcome != nil {
			x.finish()
			x.clock.Observe(outcome.GetLamport())
			return outcome, nil
		}
		if frameErr != nil {
			x.abandon()
			return nil, frameErr
		}
		if ctx.Err() != nil {
			x.abandon()
			return nil, ctx.Err()
		}
		x.logger.Debug("answer interrupted", zap.Stringer("call", call.FromWire(x.request.GetCall())), zap.Error(err))
		x.onEvent("answer_interrupted")
		if err := x.recover(ctx); err != nil {
			return nil, err
		}
	}
}

func (x *exchange) start(ctx context.Context) error {
	session := x.peer.Session()
	if session == nil {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no connection to the process beside the upstream")
	}
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Execute{Execute: x.request}})
	if err != nil {
		// Part of the request may have been sent, so only the sidecar can tell.
		return x.recover(ctx)
	}
	x.stream = stream
	return nil
}

// receive reads frames until the end of the call or an error.
func (x *exchange) receive(ctx context.Context) (outcome *wirev1.Outcome, frameErr, err error) {
	stream := x.stream
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	for {
		frame := new(wirev1.Frame)
		if err := stream.Recv(frame); err != nil {
			return nil, nil, err
		}
		if frame.GetNumber() != x.next {
			continue // a frame that was delivered before
		}
		x.next++
		if frame.GetOutcome() != nil {
			return frame.GetOutcome(), nil, nil
		}
		if err := x.onFrame(frame); err != nil {
			return nil, err, nil
		}
		x.acknowledge(ackEvery)
	}
}

func (x *exchange) acknowledge(every int) {
	x.unacked++
	if x.unacked < every {
		return
	}
	x.unacked = 0
	// A lost acknowledgement shows at the next receive.
	_ = x.stream.Send(&wirev1.FrameAck{Number: x.next - 1})
}

func (x *exchange) finish() {
	x.acknowledge(0)
	_ = x.stream.Close()
}

// recover finds out over a new connection what became of the call, and continues its answer.
func (x *exchange) recover(ctx context.Context) error {
	if x.stream != nil {
		_ = x.stream.Close()
		x.stream = nil
	}
	ctx, cancel := context.WithTimeout(ctx, QueryDeadline)
	defer cancel()
	for {
		session, err := x.peer.Wait(ctx)
		if err != nil {
			return mayHaveRun(wirev1.Reason_REASON_NO_UPSTREAM, "the process beside the upstream was lost during the call")
		}
		done, err := x.ask(ctx, session)
		if done || err != nil {
			return err
		}
		if !wait.For(ctx, retryPause) {
			return mayHaveRun(wirev1.Reason_REASON_NO_UPSTREAM, "the process beside the upstream did not answer")
		}
	}
}

// ask queries the call and resumes its answer. done is false if the question got no answer.
func (x *exchange) ask(ctx context.Context, session *transport.Session) (done bool, err error) {
	query := &wirev1.QueryRequest{Call: x.request.GetCall(), Nonce: x.request.GetNonce(), Bar: true}
	reply := new(wirev1.QueryReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Query{Query: query}}
	callCtx, cancel := context.WithTimeout(ctx, nonceTimeout)
	defer cancel()
	if err := session.Call(callCtx, open, reply); err != nil {
		return false, nil
	}
	switch reply.GetState() {
	case wirev1.CallState_CALL_STATE_BARRED:
		return true, verdict.Refuse(wirev1.Reason_REASON_BARRED, "the call did not reach the upstream")
	case wirev1.CallState_CALL_STATE_RUNNING, wirev1.CallState_CALL_STATE_FINISHED:
		return x.resume(session)
	default:
		return true, mayHaveRun(wirev1.Reason_REASON_UPSTREAM_RESTARTED,
			"the process beside the upstream restarted during the call")
	}
}

func (x *exchange) resume(session *transport.Session) (done bool, err error) {
	request := &wirev1.ResumeRequest{Call: x.request.GetCall(), NextFrame: x.next}
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Resume{Resume: request}})
	if err != nil {
		return false, nil
	}
	x.stream = stream
	x.onEvent("answer_resumed")
	return true, nil
}

// abandon ends a call whose caller is gone.
func (x *exchange) abandon() {
	if x.stream != nil {
		_ = x.stream.Close()
	}
	go cancelCall(x.peer, x.request.GetCall())
}

// cancelCall makes the sidecar end a call and free what it left at the upstream. If the sidecar cannot be reached, its
// resume window ends the call.
func cancelCall(peer *transport.Peer, id *wirev1.CallID) {
	session := peer.Session()
	if session == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Cancel{Cancel: &wirev1.CancelRequest{Call: id}}}
	_ = session.Call(ctx, open, new(wirev1.CancelReply))
}

func mayHaveRun(reason wirev1.Reason, detail string) *verdict.Refusal {
	return &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: reason, Detail: detail}
}

// outcomeError converts the end of a call that is not a whole answer; nil for a whole answer.
func outcomeError(outcome *wirev1.Outcome) error {
	if outcome.GetVerdict() == wirev1.Verdict_VERDICT_RAN && outcome.GetReason() == wirev1.Reason_REASON_UNSPECIFIED {
		return nil
	}
	return &verdict.Refusal{
		Verdict: verdict.FromWire(outcome.GetVerdict()), Reason: outcome.GetReason(), Detail: outcome.GetDetail(),
	}
}
