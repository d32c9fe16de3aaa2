package ibistimer

import (
	"context"
	"time"
)

// Sleep waits on the machine's clock and reports whether it did for the whole time; it ends early with the context.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
