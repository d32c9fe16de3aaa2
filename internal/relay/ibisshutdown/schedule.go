package ibisshutdown

import "time"

// The phases of a stop with a grace period of fullGrace or more. A shorter grace period shortens all of them alike.
const (
	fullGrace = 6 * time.Second
	// openPeriod is how long a stopping node serves as before: until two readiness probes, one second apart, have found it
	// not ready.
	openPeriod = 2200 * time.Millisecond
	// lateArrivalPeriod is how long requests arrive from callers that don't know yet that the node is not ready.
	lateArrivalPeriod = 2700 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the final write to the store and the exit.
	exitMargin = 600 * time.Millisecond
	// abortMargin is the time reserved for the final responses of requests that still run when the process must exit.
	abortMargin = 250 * time.Millisecond
	// returnMargin is the time that an answer which a backend server sends at its deadline takes to the caller: two hops
	// between regions on busy instances.
	returnMargin = 100 * time.Millisecond
)

// Schedule holds the times of a node's stop. The zero value is that of a node that does not stop: it takes every request.
type Schedule struct {
	began time.Time
	grace time.Duration
}

// New returns the schedule of a stop that began at the given time and must have ended after the grace period.
func New(began time.Time, grace time.Duration) Schedule {
	return Schedule{
		began: began,
		grace: grace,
	}
}

// Stopping reports whether the node stops.
func (s Schedule) Stopping() bool { return !s.began.IsZero() }

// scale returns a phase's length for the grace period.
func (s Schedule) scale(phase time.Duration) time.Duration {
	if s.grace >= fullGrace {
		return phase
	}
	return time.Duration(float64(phase) * s.grace.Seconds() / fullGrace.Seconds())
}

// CloseAt returns when the node begins to close callers' connections and admits no more work to its own backend server.
func (s Schedule) CloseAt() time.Time { return s.began.Add(s.scale(openPeriod)) }

// ExitBy returns when the process must begin its final write to the store.
func (s Schedule) ExitBy() time.Time { return s.began.Add(s.grace - s.scale(exitMargin)) }

// FinalWriteTimeout returns the longest time of the final write to the store.
func (s Schedule) FinalWriteTimeout() time.Duration { return s.scale(exitMargin) / 2 }

// AbortAt returns when requests that still run are aborted, so that their callers get a final response.
func (s Schedule) AbortAt() time.Time { return s.ExitBy().Add(-s.scale(abortMargin)) }

// WorkEnd returns the latest deadline of the work for a request: the answer that a backend server sends then still reaches its
// caller. It is the zero time while the node does not stop.
func (s Schedule) WorkEnd() time.Time {
	if !s.Stopping() {
		return time.Time{}
	}
	return s.AbortAt().Add(-s.scale(returnMargin))
}

// Takes reports whether a request is taken whose caller and route allow it the given time. Until callers know that the node is
// not ready, all are taken that arrive before WorkEnd; from then on only those whose whole time ends by WorkEnd, such as calls
// by requests that still run at the backend server.
func (s Schedule) Takes(now time.Time, allowed time.Duration) bool {
	switch {
	case !s.Stopping():
		return true
	case now.Before(s.began.Add(s.scale(lateArrivalPeriod))):
		return true
	}
	return !now.Add(allowed).After(s.WorkEnd())
}
