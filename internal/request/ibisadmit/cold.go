package ibisadmit

import "time"

// coldBound bounds the requests that a cold backend server gets in any second. Admissions are counted at all times, as a
// server may turn cold right after a busy second.
type coldBound struct {
	perSecond int
	until     time.Time
	recent    []time.Time
}

// coldSpan is the span over which a cold server's requests are counted, with room for their way to the server.
const coldSpan = 1100 * time.Millisecond

func (c *coldBound) set(e ColdEvent, now time.Time) {
	c.perSecond = e.PerSecond
	c.until = now.Add(e.For)
}

func (c *coldBound) admitted(now time.Time) {
	c.forget(now)
	c.recent = append(c.recent, now)
}

func (c *coldBound) forget(now time.Time) {
	n := 0
	for n < len(c.recent) && now.Sub(c.recent[n]) >= coldSpan {
		n++
	}
	if n > 0 {
		c.recent = append(c.recent[:0], c.recent[n:]...)
	}
}

// full reports whether the server is cold and has had what it bears in the last second.
func (c *coldBound) full(now time.Time) bool {
	if !now.Before(c.until) {
		return false
	}
	c.forget(now)
	return len(c.recent) >= c.perSecond
}

// wait returns how long until the bound admits so many more requests.
func (c *coldBound) wait(requests int, now time.Time) time.Duration {
	if !now.Before(c.until) {
		return 0
	}
	c.forget(now)
	if len(c.recent)+requests <= c.perSecond {
		return 0
	}
	span := time.Duration(float64(requests) / float64(max(1, c.perSecond)) * float64(time.Second))
	return min(span, c.until.Sub(now))
}
