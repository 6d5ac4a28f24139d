// Package clock tells how long the machine was suspended. The monotonic clock stands still meanwhile, so that a process that
// wakes would otherwise take what it knew before for current.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended is the difference of two results of Asleep from which on the machine counts as suspended between them. It is
// above the time that a busy machine takes between the reads of the two clocks.
const Suspended = 20 * time.Millisecond

// Asleep returns the time that the machine has been suspended since it was started. Only differences of two results mean
// anything.
func Asleep() time.Duration {
	return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC)
}

// read returns a clock of the kernel, 0 when the kernel does not have it: suspension then stays unnoticed, as on a machine
// that is never suspended.
func read(id int32) time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		return 0
	}
	return time.Duration(at.Nano())
}
