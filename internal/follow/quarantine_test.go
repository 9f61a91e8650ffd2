package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/kv"
	"github.com/fulmardoor/fulmardoor/internal/kv/memory"
	"github.com/fulmardoor/fulmardoor/internal/quarantine"
)

// startQuarantine runs a Quarantine with a new list, like a process that starts.
func startQuarantine(t *testing.T, store kv.Store) *quarantine.List {
	t.Helper()
	list := quarantine.NewList()
	q := NewQuarantine(QuarantineOptions{Store: store, List: list, Key: "quarantine", TTL: time.Minute, Status: Status{Logger: zap.NewNop()}})
	list.OnChange(q.NotifyChanged)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go q.Run(ctx)
	return list
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// Guards against prompts that crash engines again after all processes ended at once, and against a quarantine that comes back after
// it was lifted.
func TestQuarantineSurvivesAllProcesses(t *testing.T) {
	store := memory.New(memory.Options{})
	blocked := func(list *quarantine.List) bool { return list.Check([]string{"bad"}, time.Now()).Blocked }
	first := startQuarantine(t, store)
	for i := range 3 {
		first.RecordCrash(quarantine.Crash{Upstream: fmt.Sprint(i), Request: fmt.Sprint(i), Parts: []string{"bad"}, At: time.Now().Add(time.Duration(i-3) * time.Second)})
	}
	stored := func() bool {
		_, err := store.Get(t.Context(), "quarantine")
		return err == nil
	}
	waitFor(t, "the quarantine is stored", stored)
	second := startQuarantine(t, store)
	waitFor(t, "a process that starts blocks", func() bool { return blocked(second) })
	second.RecordFirstEvent([]string{"bad"}, time.Now())
	waitFor(t, "the lifted quarantine is deleted", func() bool { return !stored() })
}
