package ibisadmit

import "time"

// coldRateLimit limits the requests that a cold backend server receives in any second. Admissions are counted at all times,
// because a server may become cold right after a busy second.
type coldRateLimit struct {
	perSecond int
	until     time.Time
	recent    []time.Time
	// fullUntil is the end of the window in which an earlier gate may have used up the rate.
	fullUntil time.Time
}

// coldWindow is the window over which admissions are counted. It exceeds one second to allow for the varying time that
// requests take to reach the server.
const coldWindow = 1100 * time.Millisecond

func (c *coldRateLimit) set(e ColdEvent, now time.Time) {
	c.perSecond = e.RequestsPerSecond
	c.until = now.Add(e.Duration)
}

func (c *coldRateLimit) recordAdmission(now time.Time) {
	c.discardOld(now)
	c.recent = append(c.recent, now)
}

func (c *coldRateLimit) discardOld(now time.Time) {
	n := 0
	for n < len(c.recent) && now.Sub(c.recent[n]) >= coldWindow {
		n++
	}
	if n > 0 {
		c.recent = append(c.recent[:0], c.recent[n:]...)
	}
}

// full reports whether the server is cold and has received its maximum within coldWindow.
func (c *coldRateLimit) full(now time.Time) bool {
	if !now.Before(c.until) {
		return false
	}
	c.discardOld(now)
	return now.Before(c.fullUntil) || len(c.recent) >= c.perSecond
}

// wait returns the estimated time until the given number of further requests may be admitted.
func (c *coldRateLimit) wait(requests int, now time.Time) time.Duration {
	if !now.Before(c.until) {
		return 0
	}
	c.discardOld(now)
	earlier := min(max(0, c.fullUntil.Sub(now)), c.until.Sub(now))
	if len(c.recent)+requests <= c.perSecond {
		return earlier
	}
	span := time.Duration(float64(requests) / float64(max(1, c.perSecond)) * float64(time.Second))
	return min(max(span, earlier), c.until.Sub(now))
}
