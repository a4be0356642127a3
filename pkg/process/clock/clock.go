// Package clock measures for how long the machine has been suspended. The monotonic clock
// of the Go runtime stops during a suspension, so a lease measured with it would appear
// valid after it has expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns the total time for which the machine has been suspended since it was
// booted, or zero if the system does not provide the clocks.
func Suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
