package entry

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

var errStopping = errors.New("the process is stopping")

// ServeStream implements transport.Handler for streams of other entries and of sidecars.
func (e *Entry) ServeStream(
	ctx context.Context, session *transport.Session, open *wirev1.StreamOpen, stream *transport.Stream,
) {
	reply := e.handle(ctx, session.Remote().GetProcess(), open)
	if reply == nil {
		return
	}
	if err := stream.Send(reply); err != nil {
		e.logger.Debug("failed to send the reply", zap.Error(err))
	}
}

func (e *Entry) handle(ctx context.Context, process string, open *wirev1.StreamOpen) transport.Message {
	switch kind := open.GetKind().(type) {
	case *wirev1.StreamOpen_Charge:
		return e.ledger.HandleCharge(ctx, kind.Charge)
	case *wirev1.StreamOpen_Settle:
		return e.settleReply(ctx, kind.Settle)
	case *wirev1.StreamOpen_Promise:
		return e.ledger.HandlePromise(ctx, kind.Promise)
	case *wirev1.StreamOpen_Handoff:
		return e.ledger.HandleHandoff(ctx, kind.Handoff)
	case *wirev1.StreamOpen_PromptReport:
		e.applyPromptReport(process, kind.PromptReport)
		return nil
	case *wirev1.StreamOpen_ConfigPush:
		return e.conf.HandlePush(process, kind.ConfigPush)
	case *wirev1.StreamOpen_ConfigPull:
		return e.conf.HandlePull(kind.ConfigPull)
	case *wirev1.StreamOpen_EventQuery:
		return e.events.Query(kind.EventQuery)
	default:
		e.logger.Warn("stream of unknown kind refused", zap.String("peer", process))
		return nil
	}
}

// settleReply returns nil, which closes the stream without a reply, if this process cannot settle the charges. The sender
// then looks up the owner of the shard again.
func (e *Entry) settleReply(ctx context.Context, request *wirev1.SettleRequest) transport.Message {
	reply, err := e.ledger.HandleSettle(ctx, request)
	if err != nil {
		e.logger.Debug("settlement refused", zap.Error(err))
		return nil
	}
	return reply
}
