package gateway

import (
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
)

// recordLeaving records that an upstream said in an answer that it leaves, whatever the store says of it. Its idle connections are
// closed, as they are when the store says so.
func (g *Gateway) recordLeaving(upstream *fleet.Upstream, status int) {
	if !g.Board.RecordLeaving(upstream) {
		return
	}
	g.Pool.CloseIdle(upstream.Address)
	g.Metrics.leavingAnswers.Inc()
	g.Logger.Info("upstream says that it leaves; it gets no request until it starts anew", zap.String("upstream", upstream.ID),
		zap.Int64("incarnation", upstream.Incarnation), zap.String("service", upstream.Service), zap.String("address", upstream.Address), zap.Int("status", status))
}
