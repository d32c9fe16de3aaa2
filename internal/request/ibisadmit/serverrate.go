package ibisadmit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateBurst is the time whose share of a server's rate limit may be sent at once.
	rateBurst = 250 * time.Millisecond
	// minServerRate is the rate in requests per second at which a server that names a lower limit still gets requests, since only
	// its answers show when the limit ends.
	minServerRate = 0.25
)

// serverRate limits admissions to the rate that the server names as its limit for all nodes together.
type serverRate struct {
	// limiter is nil while the server names no limit.
	limiter *rate.Limiter
}

// set applies a limit in requests per second; a changed limit keeps the tokens.
func (s *serverRate) set(e RateLimitEvent, now time.Time) {
	if !e.Limited {
		s.limiter = nil
		return
	}
	perSecond := max(minServerRate, e.PerSecond)
	burst := max(1, int(perSecond*rateBurst.Seconds()))
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	s.limiter.SetLimitAt(now, rate.Limit(perSecond))
	s.limiter.SetBurstAt(now, burst)
}

func (s *serverRate) recordAdmission(now time.Time) {
	if s.limiter != nil {
		s.limiter.AllowN(now, 1)
	}
}

// full reports whether no further request may be admitted now.
func (s *serverRate) full(now time.Time) bool {
	return s.limiter != nil && s.limiter.TokensAt(now) < 1
}

// wait returns the time until the given number of further requests may be admitted.
func (s *serverRate) wait(requests int, now time.Time) time.Duration {
	if s.limiter == nil {
		return 0
	}
	missing := float64(requests) - s.limiter.TokensAt(now)
	return time.Duration(max(0, missing) / float64(s.limiter.Limit()) * float64(time.Second))
}

// concurrency returns the mean number of requests that run at the limit if each holds a slot for the given time, at most the given
// number.
func (s *serverRate) concurrency(slotTime time.Duration, atMost float64) float64 {
	if s.limiter == nil || slotTime <= 0 {
		return atMost
	}
	return min(atMost, float64(s.limiter.Limit())*slotTime.Seconds())
}
