package ibisbalancer

import (
	"slices"
	"time"
)

const (
	// ejectionRatio is the multiple of the median latency ratio above which a candidate is a straggler.
	ejectionRatio      = 3.0
	minEjectionSamples = 3
	// ejectionLimitDivisor limits ejection to one candidate in three.
	ejectionLimitDivisor  = 3
	minSlowAttempts       = 2
	ejectionCheckInterval = 5 * time.Millisecond
)

// ejectIfStraggler ejects a candidate whose latency is far above that of its peers, unless a third of the candidates is
// ejected already.
func (c *Chooser) ejectIfStraggler(s *candidateState, now time.Time) {
	if now.Before(s.ejectedUntil) || !c.isStraggler(s, now) {
		return
	}
	if c.ejectedCount(now) >= len(c.candidates)/ejectionLimitDivisor {
		return
	}
	s.eject(now)
}

// isStraggler compares a candidate's latency and the age of its attempts with the median of all candidates.
func (c *Chooser) isStraggler(s *candidateState, now time.Time) bool {
	if s.probationAnswersLeft > 0 && s.decayedPeakRatio(now) > ejectionRatio*c.medianLatencyRatio {
		return true
	}
	if s.latencyRatio.Count() >= minEjectionSamples && s.meanLatencyRatio(now) > ejectionRatio*c.medianLatencyRatio {
		return true
	}
	return c.slowAttemptCount(s, now) >= minSlowAttempts
}

// slowAttemptCount counts the outstanding attempts that are older than the latency at which a candidate is ejected.
func (c *Chooser) slowAttemptCount(s *candidateState, now time.Time) int {
	n := 0
	for _, a := range s.outstanding {
		if c.baseline.Ratio(a.class, now.Sub(a.sentAt)) > ejectionRatio*c.medianLatencyRatio {
			n++
		}
	}
	return n
}

// oldestAttemptRatio returns the age of the oldest outstanding attempt as a multiple of the typical latency of its class.
func (c *Chooser) oldestAttemptRatio(s *candidateState, now time.Time) float64 {
	oldest := 0.0
	for _, a := range s.outstanding {
		if c.baseline.Typical(a.class) > 0 {
			oldest = max(oldest, c.baseline.Ratio(a.class, now.Sub(a.sentAt)))
		}
	}
	return oldest
}

// computeMedianRatio returns the median of the candidates' mean latency ratios, at least 1.
func (c *Chooser) computeMedianRatio(now time.Time) float64 {
	ratios := make([]float64, 0, len(c.candidates))
	for _, s := range c.candidates {
		if s.latencyRatio.Count() > 0 {
			ratios = append(ratios, s.meanLatencyRatio(now))
		}
	}
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return max(ratios[(len(ratios)-1)/2], 1)
}

func (c *Chooser) ejectedCount(now time.Time) int {
	n := 0
	for _, s := range c.candidates {
		if now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}
