package ibistimer

import "time"

// wallClock is implemented by a Service whose time may differ from the wall clock.
type wallClock interface {
	// Wall returns the wall-clock time.
	Wall() time.Time
}

// Wall returns the wall-clock time; it steps when the clock is set.
func (Clock) Wall() time.Time { return time.Now().Round(0) }

// Wall converts a time of the service to wall-clock time, for times that are exchanged with other processes.
func Wall(s Service, t time.Time) time.Time {
	w, ok := s.(wallClock)
	if !ok {
		return t
	}
	return w.Wall().Add(t.Sub(s.Now()))
}
