package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// Guards against a process that is cut off from the store and calls it each time another process announces a newer
// configuration: two of five processes made 1,500 calls in 25 s.
func TestRefreshWhileServiceIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		requests := make(chan struct{}, 1)
		var calls atomic.Int64
		var answering atomic.Bool
		done := make(chan struct{})
		go func() {
			defer close(done)
			Refresh(ctx, requests, "store", Status{Logger: zap.NewNop()}, func(context.Context) error {
				calls.Add(1)
				if !answering.Load() {
					return errors.New("refused")
				}
				return nil
			})
		}()
		sendRequests := func(times int) {
			for range times {
				time.Sleep(15 * time.Millisecond)
				select {
				case requests <- struct{}{}:
				default:
				}
			}
			synctest.Wait()
		}
		sendRequests(600) // 9 s
		if calls.Load() > 30 {
			t.Errorf("%d calls in 9 s of an outage", calls.Load())
		}
		answering.Store(true)
		before := calls.Load()
		sendRequests(40) // 0.6 s
		if calls.Load() == before {
			t.Error("no call within 0.6 s after the outage")
		}
		cancel()
		<-done
	})
}
