package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

// refusingConnector reaches no process.
type refusingConnector struct{}

func (refusingConnector) Connect(context.Context, string) (transport.Mux, error) {
	return nil, errors.New("connection refused")
}

// Guards against a link that is closed under a call, be it long or one that begins while the link is being closed, and against a link
// that is never closed.
func TestLinkIsClosedOnlyWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &link{peer: transport.NewPeer("10.0.0.1:1", refusingConnector{}, &transport.Options{Logger: zap.NewNop()})}
		end, err := l.beginCall()
		if err != nil {
			t.Fatal(err)
		}
		closed := make(chan struct{})
		go func() {
			l.closeAfterCalls()
			close(closed)
		}()
		time.Sleep(24 * time.Hour)
		if wait.IsClosed(closed) {
			t.Fatal("the link was closed under a call")
		}
		second, err := l.beginCall()
		if err != nil {
			t.Fatalf("a call on an open link was refused: %v", err)
		}
		end()
		time.Sleep(time.Minute)
		if wait.IsClosed(closed) {
			t.Fatal("the link was closed under the second call")
		}
		second()
		time.Sleep(2 * linkDrainPollInterval)
		if !wait.IsClosed(closed) {
			t.Error("the link was not closed")
		}
		for range 3 {
			_, err := l.beginCall()
			if refusal := verdict.As(err); refusal == nil || refusal.Verdict != verdict.NotRun || refusal.Reason != wirev1.Reason_REASON_NO_UPSTREAM {
				t.Errorf("call on a closed link: %v", err)
			}
		}
	})
}
