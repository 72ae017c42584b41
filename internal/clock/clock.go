// Package clock provides the clocks for deadlines and ages, and a sleep that a context can
// end.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Monotonic returns a clock that starts at 0 and does not advance while the machine is
// suspended.
func Monotonic() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Boot returns a clock that reads the time since the machine booted, including suspended
// time (CLOCK_BOOTTIME). It falls back to Monotonic if the kernel has no such clock.
func Boot() func() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return Monotonic()
	}
	return func() time.Duration {
		var ts unix.Timespec
		// The error is ignored: the call succeeded above and can fail only for an
		// unsupported clock.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
		return time.Duration(ts.Nano())
	}
}
