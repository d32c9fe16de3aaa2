package ibisdispatch

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisshutdown"
)

// BeginShutdown refuses from now on requests whose answers would not be out before the process ends, and bounds the deadlines of
// the others by the schedule.
func (d *Dispatcher) BeginShutdown(schedule ibisshutdown.Schedule) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdown = schedule
}

// boundDeadline returns the earlier of a deadline and the end of work of a stopping node; d.mu is held.
func (d *Dispatcher) boundDeadline(deadline time.Time) time.Time {
	if end := d.shutdown.WorkEnd(); !end.IsZero() && end.Before(deadline) {
		return end
	}
	return deadline
}

// attemptDeadline returns the deadline of an attempt that begins now. It reports false for a retry that would be cut off by the
// end of a stopping node; the request may have been taken before the node began to stop.
func (d *Dispatcher) attemptDeadline(p plan, retry bool, now time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if retry && !d.shutdown.Takes(now, p.deadline.Sub(now)) {
		return time.Time{}, false
	}
	return d.boundDeadline(p.deadline), true
}
