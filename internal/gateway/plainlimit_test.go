package gateway

import (
	"context"
	"testing"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// Guards against more connections to upstreams than descriptors are reserved for, and against slots that are lost.
func TestPlainLimit(t *testing.T) {
	limit := make(plainLimit, 2)
	for range 2 {
		if err := limit.acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	err := limit.acquire(t.Context())
	if refusal := verdict.As(err); refusal.Verdict != verdict.NotRun || refusal.Reason != wirev1.Reason_REASON_NO_PLACE {
		t.Errorf("a third request: %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := limit.acquire(ended); err == nil {
		t.Error("a third request whose caller has left runs")
	}
	limit.release()
	if err := limit.acquire(t.Context()); err != nil {
		t.Errorf("after the first has ended: %v", err)
	}
	unlimited := plainLimit(nil)
	if err := unlimited.acquire(t.Context()); err != nil {
		t.Error(err)
	}
	unlimited.release()
}
