package progress

import (
	"testing"
	"testing/synctest"
	"time"
)

// stream records tokens of a piece of work, each after a gap.
func stream(t *Tracker, id WorkID, tokens int, gap time.Duration) {
	for range tokens {
		time.Sleep(gap)
		t.Token(id)
	}
}

// Guards against a stall that is not detected, and against a healthy engine that is reported as stalled.
func TestStall(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *Tracker)
		want bool
	}{
		{"idle", func(*Tracker) { time.Sleep(time.Hour) }, false},
		{"idle after work", func(x *Tracker) {
			id := x.Begin(Decode, 0)
			stream(x, id, 10, 25*time.Millisecond)
			x.End(id, Result{Completed: true})
			time.Sleep(time.Hour)
			x.Begin(Decode, 0)
		}, false},
		{"no first token for 1.9 s", func(x *Tracker) { x.Begin(Decode, 0); time.Sleep(1900 * time.Millisecond) }, false},
		{"no first token for 2.1 s", func(x *Tracker) { x.Begin(Decode, 0); time.Sleep(2100 * time.Millisecond) }, true},
		{"no token for 2.1 s in a stream", func(x *Tracker) {
			stream(x, x.Begin(Decode, 0), 100, 25*time.Millisecond)
			time.Sleep(2100 * time.Millisecond)
		}, true},
		{"slow engine within 20 gaps", func(x *Tracker) {
			stream(x, x.Begin(Decode, 0), 10, 200*time.Millisecond)
			time.Sleep(3900 * time.Millisecond)
		}, false},
		{"slow engine beyond 20 gaps", func(x *Tracker) {
			stream(x, x.Begin(Decode, 0), 10, 200*time.Millisecond)
			time.Sleep(4100 * time.Millisecond)
		}, true},
		{"one of two streams without tokens", func(x *Tracker) {
			x.Begin(Decode, 0)
			stream(x, x.Begin(Decode, 0), 200, 25*time.Millisecond)
		}, false},
		{"short work cancelled repeatedly", func(x *Tracker) {
			for range 5 {
				id := x.Begin(Decode, 0)
				time.Sleep(500 * time.Millisecond)
				x.End(id, Result{})
				time.Sleep(time.Minute)
			}
			x.Begin(Decode, 0)
		}, true},
		{"long prompt at unknown speed", func(x *Tracker) { x.Begin(Prefill, 20_000); time.Sleep(9 * time.Second) }, false},
		{"long prompt at known speed", func(x *Tracker) {
			id := x.Begin(Prefill, 20_000)
			time.Sleep(time.Second)
			x.End(id, Result{Completed: true, ComputedTokens: 20_000})
			x.Begin(Prefill, 20_000)
			time.Sleep(4100 * time.Millisecond)
		}, true},
		{"short work after a long cancelled prefill", func(x *Tracker) {
			id := x.Begin(Prefill, 20_000)
			time.Sleep(5 * time.Second)
			x.End(id, Result{})
			x.Begin(Decode, 0)
			time.Sleep(900 * time.Millisecond)
		}, false},
		{"slow calls", func(x *Tracker) {
			id := x.Begin(Call, 0)
			time.Sleep(time.Second)
			x.End(id, Result{Completed: true})
			x.Begin(Call, 0)
			time.Sleep(19 * time.Second)
		}, false},
		{"stall is kept when tokens come again", func(x *Tracker) {
			id := x.Begin(Decode, 0)
			time.Sleep(5 * time.Second)
			stream(x, id, 10, 25*time.Millisecond)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := NewTracker()
				tc.run(x)
				if x.Stalled() != tc.want {
					t.Errorf("stalled %v, want %v", !tc.want, tc.want)
				}
				x.ClearStall()
				if x.Stalled() {
					t.Error("stalled after recovery")
				}
			})
		})
	}
}

// Guards against measured speeds that are distorted by waiting, cached tokens, bursts of tokens or stalls.
func TestMeasuredSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := NewTracker()
		if x.PrefillSpeed() != 0 || x.TokenGap() != 0 {
			t.Error("speeds are known before any work ended")
		}
		first, second, cached := x.Begin(Prefill, 20_000), x.Begin(Prefill, 10_000), x.Begin(Prefill, 20_000)
		time.Sleep(time.Second)
		x.End(first, Result{Completed: true, ComputedTokens: 20_000})
		time.Sleep(500 * time.Millisecond)
		x.End(second, Result{Completed: true, ComputedTokens: 10_000})
		time.Sleep(time.Millisecond)
		x.End(cached, Result{Completed: true, ComputedTokens: 1})
		if speed := x.PrefillSpeed(); speed < 19_999 || speed > 20_001 {
			t.Errorf("prefill speed %v", speed)
		}
		id := x.Begin(Decode, 0)
		for range 100 {
			stream(x, id, 1, 75*time.Millisecond)
			stream(x, id, 2, 0)
		}
		if gap := x.TokenGap(); gap < 20*time.Millisecond || gap > 30*time.Millisecond {
			t.Errorf("gap with bursts of 3 tokens each 75 ms: %v", gap)
		}
		before := x.TokenGap()
		time.Sleep(10 * time.Second)
		x.Token(id)
		if x.TokenGap() != before || !x.Stalled() {
			t.Errorf("gap %v after a stall, want %v as before", x.TokenGap(), before)
		}
	})
}

// Guards against a stall that lasts although running work makes progress again, and against one that ends without progress.
func TestStallEndsWithProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := NewTracker()
		id := x.Begin(Decode, 0)
		stream(x, id, 10, 25*time.Millisecond)
		time.Sleep(5 * time.Second)
		if !x.Stalled() || x.EndStallIfProgressed() || !x.Stalled() {
			t.Error("the stall was not detected or ended without progress")
		}
		x.End(id, Result{})
		if x.EndStallIfProgressed() {
			t.Error("the stall ended with cancelled work")
		}
		id = x.Begin(Decode, 0)
		x.Token(id)
		if !x.EndStallIfProgressed() || x.Stalled() {
			t.Error("stalled after a token")
		}
		time.Sleep(5 * time.Second)
		if !x.Stalled() || x.EndStallIfProgressed() {
			t.Error("a second stall was not detected or ended without progress")
		}
	})
}
