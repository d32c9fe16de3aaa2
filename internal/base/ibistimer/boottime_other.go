//go:build !linux

package ibistimer

import "time"

var processStart = time.Now()

// sinceBoot returns the time since the process started; on this platform it may not include time during which the machine
// was suspended.
func sinceBoot() time.Duration { return time.Since(processStart) }
