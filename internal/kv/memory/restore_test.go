package memory

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/kv"
)

// Guards against a stand-in that keeps what was written after the copy, so that tests of a restored store would show nothing.
func TestRestore(t *testing.T) {
	s, ctx := New(Options{}), t.Context()
	kept, err := s.GrantLease(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	first, err := s.CompareAndSwap(ctx, "a", []byte("1"), 0, kept)
	if err != nil {
		t.Fatal(err)
	}
	c := s.Copy()
	lost, err := s.GrantLease(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.CompareAndSwap(ctx, "a", []byte("2"), first, lost)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(c)
	if pair, err := s.Get(ctx, "a"); err != nil || string(pair.Value) != "1" || pair.ModRevision != first || s.Restores() != 1 {
		t.Errorf("%+v, %v after %d restores", pair, err, s.Restores())
	}
	if err := s.RenewLease(ctx, lost); !errors.Is(err, kv.ErrLeaseNotFound) {
		t.Errorf("lease granted after the copy: %v", err)
	}
	if again, err := s.GrantLease(ctx, time.Minute); err != nil || again != lost {
		t.Errorf("lease %d (%v), want the id %d again", again, err, lost)
	}
	if again, err := s.CompareAndSwap(ctx, "a", []byte("3"), first, 0); err != nil || again != second {
		t.Errorf("revision %d (%v), want %d again", again, err, second)
	}
	if err := s.RevokeLease(ctx, kept); err != nil {
		t.Errorf("lease of the copy: %v", err)
	}
	if _, err := s.Get(ctx, "a"); err != nil {
		t.Errorf("key that is no longer attached to the lease: %v", err)
	}
}
