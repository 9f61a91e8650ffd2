package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
)

// Guards against a watch that, after the store compacted its history, is restarted at the same compacted revision in a
// loop: it made 70 calls a second.
func TestKeyAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(memory.Options{})
		store.Put("config", []byte("1"))
		for range 10 {
			store.Put("other", []byte("x"))
		}
		store.Compact(store.Revision() - 1)
		ctx, cancel := context.WithCancel(t.Context())
		var seen []string
		done := make(chan struct{})
		go func() {
			defer close(done)
			WatchKey(ctx, store, "config", Status{Logger: zap.NewNop()}, nil, func(pair kv.Pair) { seen = append(seen, string(pair.Value)) })
		}()
		time.Sleep(10 * time.Second)
		before := store.Calls().Total()
		store.Put("config", []byte("2"))
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if len(seen) != 2 || seen[1] != "2" {
			t.Errorf("values %v, want 1 and 2", seen)
		}
		if before > 20 {
			t.Errorf("%d calls in 10 s", before)
		}
	})
}
