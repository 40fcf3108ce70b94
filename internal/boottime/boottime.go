// Package boottime reads the clock that also advances while the machine is
// suspended. The monotonic clock of time.Now does not, so a lease measured with it
// would last too long after a suspend.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspended time.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
