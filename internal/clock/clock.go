// Package clock reads the clocks that deadlines and ages are counted on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Steady returns a clock that starts at 0 and stands still while the machine is
// suspended.
func Steady() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Boot returns the time since the machine's start, suspended time included. It
// falls back to the steady clock where the kernel has no such clock.
func Boot() func() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return Steady()
	}
	return func() time.Duration {
		var ts unix.Timespec
		// The call has succeeded before; it has no other way to fail.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
		return time.Duration(ts.Nano())
	}
}
