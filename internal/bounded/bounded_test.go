package bounded

import (
	"math"
	"testing"
	"time"
)

// Guards against a number that does not fit its type: its conversion differs between processors.
func TestNumbersThatDoNotFit(t *testing.T) {
	for _, c := range []struct {
		value float64
		want  time.Duration
	}{
		{math.NaN(), 0}, {math.Inf(-1), 0}, {-1e300, 0}, {-1, 0}, {0, 0}, {0.5, 500 * time.Microsecond}, {14000, 14 * time.Second},
		{1e15, MaxDuration}, {1e300, MaxDuration}, {math.MaxFloat64, MaxDuration}, {math.Inf(1), MaxDuration},
	} {
		if got := Duration(c.value, time.Millisecond); got != c.want {
			t.Errorf("Duration(%v ms) = %v, want %v", c.value, got, c.want)
		}
	}
	for _, c := range []struct {
		value float64
		want  int64
		ok    bool
	}{
		{math.NaN(), 0, false}, {math.Inf(1), 0, false}, {-1, 0, false}, {0.5, 0, false}, {1 << 54, 0, false}, {1e300, 0, false},
		{0, 0, true}, {64, 64, true}, {1 << 53, 1 << 53, true},
	} {
		if got, ok := Whole(c.value, math.MaxInt64); got != c.want || ok != c.ok {
			t.Errorf("Whole(%v) = %v, %v, want %v, %v", c.value, got, ok, c.want, c.ok)
		}
	}
	if _, ok := Whole(MaxCount+1, MaxCount); ok {
		t.Error("Whole above its limit")
	}
	for _, got := range []int{Count(int64(math.MinInt64)), Count(-1)} {
		if got != 0 {
			t.Errorf("Count of a negative number = %d", got)
		}
	}
	if Count(uint64(math.MaxUint64)) != MaxCount || Count(math.MaxInt64) != MaxCount || Count(uint32(7)) != 7 {
		t.Error("Count of a large number")
	}
	for ms, want := range map[int64]time.Duration{math.MinInt64: 0, -1: 0, 1500: 1500 * time.Millisecond, math.MaxInt64: MaxDuration} {
		if got := Milliseconds(ms); got != want {
			t.Errorf("Milliseconds(%d) = %v, want %v", ms, got, want)
		}
	}
}
