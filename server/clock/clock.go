// Package clock measures how long the machine was suspended. The monotonic clock stops during a suspension, so after a resume
// a process that relies on this clock alone would treat old state as current.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// MinSuspension is the minimum difference between two results of SuspendedTime that shows a suspension between the calls.
// It is longer than the time that a busy machine may take between the reads of the two clocks.
const MinSuspension = 20 * time.Millisecond

// SuspendedTime returns the total time that the machine has been suspended since it booted. Only the difference between
// two results is meaningful.
func SuspendedTime() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

// readClock returns the time of a kernel clock. It returns 0 when the kernel does not have the clock; suspensions are then
// not detected.
func readClock(clockID int32) time.Duration {
	var value unix.Timespec
	if err := unix.ClockGettime(clockID, &value); err != nil {
		return 0
	}
	return time.Duration(value.Nano())
}
