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
	// QueryDeadline is the longest time that the state of a call is queried after its connection was lost.
	QueryDeadline = 4 * time.Second
	// maxNonceAge is the age up to which the nonce of the last heartbeat is used without requesting a new one.
	maxNonceAge = transport.FenceWindow / 2
	// ackEvery is the number of frames per acknowledgement.
	ackEvery = 8

	cancelTimeout = time.Second
	nonceTimeout  = time.Second
)

// freshNonce returns a nonce of the sidecar that is new enough for the checks before the work and for its start.
func freshNonce(ctx context.Context, session *transport.Session) (*wirev1.Nonce, error) {
	beat, at := session.Heartbeat()
	if beat.GetNonce() != nil && time.Since(at) < maxNonceAge {
		return beat.GetNonce(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, nonceTimeout)
	defer cancel()
	reply := new(wirev1.NonceReply)
	open := &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Nonce{Nonce: &wirev1.NonceRequest{}}}
	if err := session.Call(ctx, open, reply); err != nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "the sidecar of the upstream does not respond")
	}
	return reply.GetNonce(), nil
}

// exchange is one call at a sidecar. It delivers each frame of the response exactly once, and resumes the response on a new
// connection if one is lost.
type exchange struct {
	peer    *transport.Peer
	request *wirev1.ExecuteRequest
	onFrame func(*wirev1.Frame) error
	logger  *zap.Logger
	clock   transport.Clock
	onEvent func(kind string)

	stream    *transport.Stream
	nextFrame uint64 // number of the next frame
	unacked   int
}

// run executes the call and returns its outcome. The error is a *verdict.Refusal, or the error of onFrame or ctx, after which
// the call is cancelled at the sidecar.
func (x *exchange) run(ctx context.Context) (*wirev1.Outcome, error) {
	x.nextFrame = 1
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
			x.cancel()
			return nil, frameErr
		}
		if ctx.Err() != nil {
			x.cancel()
			return nil, ctx.Err()
		}
		x.logger.Debug("response interrupted", zap.Stringer("call", call.FromWire(x.request.GetCall())), zap.Error(err))
		x.onEvent("answer_interrupted")
		if err := x.recover(ctx); err != nil {
			return nil, err
		}
	}
}

func (x *exchange) start(ctx context.Context) error {
	session := x.peer.Session()
	if session == nil {
		return verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "no connection to the sidecar of the upstream")
	}
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Execute{Execute: x.request}})
	if err != nil {
		// Part of the request may have been sent, so only the sidecar knows whether the call runs.
		return x.recover(ctx)
	}
	x.stream = stream
	return nil
}

// receive reads frames until the outcome of the call, an error of onFrame, or a lost connection (err).
func (x *exchange) receive(ctx context.Context) (outcome *wirev1.Outcome, frameErr, err error) {
	stream := x.stream
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	for {
		frame := new(wirev1.Frame)
		if err := stream.Recv(frame); err != nil {
			return nil, nil, err
		}
		if frame.GetNumber() != x.nextFrame {
			continue // this frame was already delivered
		}
		x.nextFrame++
		if frame.GetOutcome() != nil {
			return frame.GetOutcome(), nil, nil
		}
		if err := x.onFrame(frame); err != nil {
			return nil, err, nil
		}
		x.acknowledge(ackEvery)
	}
}

// acknowledge counts a received frame. Once at least threshold frames are unacknowledged, it acknowledges all of them.
func (x *exchange) acknowledge(threshold int) {
	x.unacked++
	if x.unacked < threshold {
		return
	}
	x.unacked = 0
	// The next receive reports a broken connection.
	_ = x.stream.Send(&wirev1.FrameAck{Number: x.nextFrame - 1})
}

func (x *exchange) finish() {
	x.acknowledge(0)
	_ = x.stream.Close()
}

// recover queries the state of the call over a new connection and resumes its response.
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
			return mayHaveRun(wirev1.Reason_REASON_NO_UPSTREAM, "the connection to the sidecar of the upstream was lost during the call")
		}
		done, err := x.queryAndResume(ctx, session)
		if done || err != nil {
			return err
		}
		if !wait.For(ctx, queryRetryInterval) {
			return mayHaveRun(wirev1.Reason_REASON_NO_UPSTREAM, "the sidecar of the upstream did not respond")
		}
	}
}

// queryAndResume queries the state of the call and resumes its response. A call that has not reached the sidecar is barred by
// the query: it cannot start afterwards, so it is safe to report that it did not run. done is false if the connection failed.
func (x *exchange) queryAndResume(ctx context.Context, session *transport.Session) (done bool, err error) {
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
			"the sidecar of the upstream restarted during the call")
	}
}

func (x *exchange) resume(session *transport.Session) (done bool, err error) {
	request := &wirev1.ResumeRequest{Call: x.request.GetCall(), NextFrame: x.nextFrame}
	stream, err := session.Open(&wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Resume{Resume: request}})
	if err != nil {
		return false, nil
	}
	x.stream = stream
	x.onEvent("answer_resumed")
	return true, nil
}

// cancel cancels a call whose response is not wanted any more.
func (x *exchange) cancel() {
	if x.stream != nil {
		_ = x.stream.Close()
	}
	go cancelCall(x.peer, x.request.GetCall())
}

// cancelCall makes the sidecar end a call and release the resources that it holds at the upstream. If the sidecar cannot be
// reached, the call ends there after the resume window.
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

// outcomeError returns the outcome of a call as a refusal, or nil for a complete response.
func outcomeError(outcome *wirev1.Outcome) error {
	if outcome.GetVerdict() == wirev1.Verdict_VERDICT_RAN && outcome.GetReason() == wirev1.Reason_REASON_UNSPECIFIED {
		return nil
	}
	return &verdict.Refusal{
		Verdict: verdict.FromWire(outcome.GetVerdict()), Reason: outcome.GetReason(), Detail: outcome.GetDetail(),
	}
}
