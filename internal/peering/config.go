package peering

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
)

// PullConfig returns the document of the configuration that another process has in force.
func (m *Mesh) PullConfig(ctx context.Context, process string) ([]byte, error) {
	session := m.session(process)
	if session == nil {
		return nil, errors.Errorf("process %s is not connected", process)
	}
	reply := new(wirev1.ConfigPullReply)
	if err := session.Call(ctx, &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_ConfigPull{ConfigPull: &wirev1.ConfigPull{}}}, reply); err != nil {
		return nil, errors.Wrapf(err, "pull configuration from %s", process)
	}
	if len(reply.GetDocuments()) != 1 {
		return nil, errors.Errorf("process %s has no configuration", process)
	}
	return reply.GetDocuments()[0].GetText(), nil
}

// serveConfig answers a PullConfig call of another process.
func (m *Mesh) serveConfig(session *transport.Session, stream *transport.Stream) {
	reply := &wirev1.ConfigPullReply{Revision: uint64(m.options.Version())}
	if text := m.options.Document(); text != nil {
		reply.Documents = []*wirev1.Document{{Text: text, Revision: reply.GetRevision()}}
	}
	if err := stream.Send(reply); err != nil {
		m.options.Logger.Info("configuration not sent", zap.String("peer", session.Remote().GetProcess()), zap.String("error", err.Error()))
	}
}
