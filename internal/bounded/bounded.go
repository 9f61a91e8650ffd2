// Package bounded converts numbers that another program wrote. A Go conversion of a number that does not fit its type gives another
// value on each kind of processor, and a sum of large ones overflows.
package bounded

import (
	"math"
	"time"
)

const (
	// MaxCount is the largest count. Sums and products of a few counts fit an int.
	MaxCount = math.MaxInt32
	// MaxDuration is the longest duration. The sum of two fits a time.Duration.
	MaxDuration = 100 * 365 * 24 * time.Hour
	// MaxExact is the largest number up to which a float64 has all whole numbers.
	MaxExact = 1 << 53
)

// Count returns the count nearest to value.
func Count[T int | int64 | uint32 | uint64](value T) int {
	if value < 0 {
		return 0
	}
	return int(min(uint64(value), MaxCount))
}

// Whole returns value if it is a whole number from 0 to limit; ok is false otherwise. limit is at most 2^53.
func Whole(value float64, limit int64) (number int64, ok bool) {
	limit = min(limit, MaxExact)
	if !(value >= 0) || value > float64(limit) || value != math.Trunc(value) {
		return 0, false
	}
	return int64(value), true
}

// Duration returns the duration from 0 to MaxDuration that is nearest to value times unit; 0 if value is not a number.
func Duration(value float64, unit time.Duration) time.Duration {
	scaled := value * float64(unit)
	if !(scaled > 0) {
		return 0
	}
	if scaled >= float64(MaxDuration) {
		return MaxDuration
	}
	return time.Duration(scaled)
}

// Milliseconds returns the duration from 0 to MaxDuration that is nearest to a whole number of milliseconds.
func Milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), MaxDuration.Milliseconds())) * time.Millisecond
}
