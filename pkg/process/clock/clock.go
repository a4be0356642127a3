// Package clock notices that the machine was suspended. The steady clock of
// the runtime stands still while it is, so a lease that counts on it would
// outlive its promise.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns how long the machine has been suspended since it booted.
// It returns zero where the system does not tell.
func Suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
