package follow

import (
	"context"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// Refresh calls read after asks until ctx ends. After a failure it pauses as the other followers do: while the service is
// away, the processes that can reach it ask with each of their messages, some 70 times a second.
func Refresh(ctx context.Context, asks <-chan struct{}, name string, logger *zap.Logger, read func(ctx context.Context) error) {
	link := &contact{logger: logger, name: name}
	for {
		select {
		case <-ctx.Done():
			return
		case <-asks:
		}
		if err := read(ctx); err != nil {
			wait.For(ctx, link.failed(err))
			continue
		}
		link.succeeded()
	}
}
