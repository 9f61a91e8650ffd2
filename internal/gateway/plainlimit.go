package gateway

import (
	"context"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// maxPlainWait is how long a request waits while as many plain requests run as may. A longer wait would not be worth it: far more requests run
// then than the upstreams have slots for.
const maxPlainWait = 100 * time.Millisecond

// plainLimit limits the requests of plain services that run at a time, of which each uses a connection to an upstream. The board does not limit
// them, unlike requests of engines. A nil plainLimit has no limit.
type plainLimit chan struct{}

// LimitPlain limits the requests of plain services that run at a time. It is called before the first request.
func (g *Gateway) LimitPlain(requests int) { g.plain = make(plainLimit, requests) }

// acquire waits until a further request may run. The request must be ended with release.
func (l plainLimit) acquire(ctx context.Context) error {
	if l == nil {
		return nil
	}
	select {
	case l <- struct{}{}:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, maxPlainWait)
	defer cancel()
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return verdict.Refuse(wirev1.Reason_REASON_NO_PLACE, "%d requests of plain services run", cap(l))
	}
}

// release ends a request.
func (l plainLimit) release() {
	if l != nil {
		<-l
	}
}
