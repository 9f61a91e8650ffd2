package peering

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/bounded"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

// applyLimits records what answers to another process said about the limits of upstreams.
func (m *Mesh) applyLimits(session *transport.Session, messages []*wirev1.UpstreamLimit) {
	if len(messages) == 0 {
		return
	}
	now := time.Now()
	limits := make([]upstreamrate.Limit, 0, len(messages))
	for _, message := range messages {
		limit := upstreamrate.LimitFromMessage(message, now)
		limit.Source = session.Remote().GetProcess()
		limits = append(limits, limit)
	}
	for _, changed := range m.options.Limits.Apply(limits, now) {
		m.options.Board.RecordLimited(changed.Upstream, now, 0)
		m.options.Logger.Info("upstream limit changed", zap.String("upstream", changed.Upstream), zap.Int64("incarnation", changed.Incarnation),
			zap.Bool("limited", changed.Named), zap.Float64("per_second", changed.PerSecond), zap.Duration("age", now.Sub(changed.HeardAt)),
			zap.String("peer", session.Remote().GetProcess()))
	}
}

// RequestPermit implements upstreamrate.Peers.
func (m *Mesh) RequestPermit(ctx context.Context, process string, limit upstreamrate.Limit, passedOn bool) (upstreamrate.Reply, error) {
	session := m.session(process)
	if session == nil {
		return upstreamrate.Reply{}, errors.Errorf("process %s is not connected", process)
	}
	request := &wirev1.PermitRequest{Limit: limit.Message(time.Now()), PassedOn: passedOn}
	reply := new(wirev1.PermitReply)
	if err := session.Call(ctx, &wirev1.StreamOpen{Kind: &wirev1.StreamOpen_Permit{Permit: request}}, reply); err != nil {
		m.options.Logger.Info("no answer to a permit request", zap.String("upstream", limit.Upstream), zap.String("peer", process), zap.String("error", err.Error()))
		return upstreamrate.Reply{}, err
	}
	if !reply.GetIssuer() {
		m.options.Logger.Info("peer does not issue the permits", zap.String("upstream", limit.Upstream), zap.String("peer", process))
	}
	return upstreamrate.Reply{Issuer: reply.GetIssuer(), Granted: reply.GetGranted(), Wait: bounded.Milliseconds(reply.GetRetryAfterMs())}, nil
}

// session returns the session with a process; nil if it is not connected.
func (m *Mesh) session(process string) *transport.Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.linkLocked(process); l != nil {
		return l.session
	}
	return nil
}

// servePermit answers another process's request for a permit.
func (m *Mesh) servePermit(ctx context.Context, session *transport.Session, request *wirev1.PermitRequest, stream *transport.Stream) {
	limit := upstreamrate.LimitFromMessage(request.GetLimit(), time.Now())
	limit.Source = session.Remote().GetProcess()
	reply := m.options.Limits.Serve(ctx, limit, request.GetPassedOn())
	message := &wirev1.PermitReply{Issuer: reply.Issuer, Granted: reply.Granted, RetryAfterMs: reply.Wait.Milliseconds()}
	if err := stream.Send(message); err != nil {
		m.options.Logger.Info("permit reply not sent", zap.String("peer", session.Remote().GetProcess()), zap.String("error", err.Error()))
	}
}
