// Package monotime reads a monotonic clock that, unlike the one in package time, also advances while the host is suspended.
// It is used to measure whether a lease is still valid.
package monotime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including the time that it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("monotime: the boot time clock cannot be read: " + err.Error()) // cannot happen on a supported kernel
	}
	return time.Duration(ts.Nano())
}
