package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/upstreamrate"
)

// observeLimit records what an answer says about the limit of an upstream, and logs each change.
func (g *Gateway) observeLimit(upstream *fleet.Upstream, status int, statement upstreamrate.Statement, sentAt, now time.Time) {
	if statement.Err != nil {
		g.Logger.Warn("cannot read the limit of an upstream; keeping the known one", zap.String("upstream", upstream.ID), zap.String("error", statement.Err.Error()))
		return
	}
	if status == http.StatusMisdirectedRequest && !statement.Named {
		return // the answer may be from another process at the upstream's address
	}
	if g.Limits.Observe(upstream, statement, sentAt, now) {
		g.Logger.Info("upstream limit changed", zap.String("upstream", upstream.ID), zap.Int64("incarnation", upstream.Incarnation),
			zap.Bool("limited", statement.Named), zap.Float64("per_second", statement.PerSecond), zap.Int("status", status))
	}
}
