package ibistimer

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends, and reports whether it waited for the whole duration.
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
