package ibistimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, including time during which it was suspended.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
