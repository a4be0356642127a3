// Package clock measures for how long the machine has been suspended, and provides a time of day that
// does not jump. The monotonic clock of the Go runtime stops during a suspension, so a lease measured
// with it would appear valid after it has expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is when the process has started.
var start = time.Now()

// Steady returns the time of day at the start of the process and the time that has passed since then. It goes on
// evenly when the time of day is set, so two of its values have a true difference, but other hosts' clocks differ.
func Steady() time.Time { return start.Add(time.Since(start)) }

// Suspended returns the total time for which the machine has been suspended since it was
// booted, or zero if the system does not provide the clocks.
func Suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
