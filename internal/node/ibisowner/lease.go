package ibisowner

import (
	"sync/atomic"
	"time"
)

// leaseClock publishes the end of the node's lease to requests without a lock.
type leaseClock struct {
	base  time.Time
	until atomic.Int64
}

func newLeaseClock(base time.Time) *leaseClock { return &leaseClock{base: base} }

// publish sets the end of the lease; without a valid lease it ends now.
func (l *leaseClock) publish(until time.Time, ok bool) {
	if !ok {
		l.until.Store(0)
		return
	}
	l.until.Store(int64(until.Sub(l.base)))
}

// left returns the remaining time of the lease, zero or less if it has lapsed.
func (l *leaseClock) left(now time.Time) time.Duration {
	return time.Duration(l.until.Load()) - now.Sub(l.base)
}
