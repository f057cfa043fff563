package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// sinceBoot returns the reading of CLOCK_BOOTTIME, or of the monotonic clock if there is none.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
