package ibiscoordinator

import "time"

const (
	// WritesPerSecond is the number of page commits per second allowed in the whole system.
	WritesPerSecond = 300
	writeInterval   = time.Second / WritesPerSecond
	writeBurst      = 2
)

// commitPacer schedules commits at WritesPerSecond. All members derive the same commits from the same events, so each pacer
// also accounts for the commits of the other members, which it does not observe.
type commitPacer struct {
	next time.Time
}

// nextDue reserves and returns the time of the next commit in the whole system.
func (p *commitPacer) nextDue(now time.Time) time.Time {
	if p.next.Before(now) {
		p.next = now
	}
	due := p.next.Add(-(writeBurst - 1) * writeInterval)
	p.next = p.next.Add(writeInterval)
	if due.Before(now) {
		return now
	}
	return due
}
