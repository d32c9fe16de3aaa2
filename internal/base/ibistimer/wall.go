package ibistimer

import "time"

// wallClock is implemented by a Service whose time may differ from the wall clock.
type wallClock interface {
	// WallTime returns the wall-clock time.
	WallTime() time.Time
}

// WallTime returns the wall-clock time; it steps when the clock is set.
func (Clock) WallTime() time.Time { return time.Now().Round(0) }

// WallTime converts a time of the service to wall-clock time, for times that are exchanged with other processes.
func WallTime(s Service, t time.Time) time.Time {
	w, ok := s.(wallClock)
	if !ok {
		return t
	}
	return w.WallTime().Add(t.Sub(s.Now()))
}
