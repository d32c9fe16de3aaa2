package ibisbalancer

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	latencyWindowSamples = 10
	peakDecay            = 500 * time.Millisecond
	probationAnswers     = 3
	firstBackoff         = 50 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond
	maxRefusalBackoff    = 100 * time.Millisecond
	firstEjection        = 500 * time.Millisecond
	maxEjection          = 2 * time.Second
	reportedLoadLifetime = 2 * time.Second
	reportedLoadWeight   = 0.25
	fullLoad             = 1.0
	ejectionResetAfter   = 30 * time.Second
	gateLoadLifetime     = 200 * time.Millisecond
	meanLifetime         = 5 * time.Second
)

// Candidate is a backend server that the chooser may pick.
type Candidate struct {
	// Node is the name of the node that serves the backend server.
	Node ibisid.NodeName
	// Place is the region and failure domain of the node.
	Place ibisid.Place
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
}

// candidateState is a candidate with its outstanding attempts and the latency, refusals and load observed so far. While
// probationAnswersLeft is positive, after an ejection, it gets one attempt at a time.
type candidateState struct {
	Candidate
	tier                 int
	outstanding          map[AttemptID]attempt
	latencyRatio         ibislatency.Mean
	peakLatencyRatio     float64
	latencyAt            time.Time
	backoffs             map[ibisid.ClassName]classBackoff
	ejectedUntil         time.Time
	ejections            int
	ejectionEnd          time.Time
	probationAnswersLeft int
	reportedLoad         float64
	reportedLoadAt       time.Time
	gateLoad             float64
	gateLoadAt           time.Time
}

// classBackoff stops requests of one class, or of all classes, to a candidate until a time. A failure counts as a refusal
// of all classes.
type classBackoff struct {
	until               time.Time
	consecutiveRefusals int
}

// allClasses is the key of the backoff after a failure, which applies to every class. A refusal applies only to the class
// that was refused, since a gate without room for one class may have room for a more urgent one.
const allClasses = ibisid.ClassName("")

type attempt struct {
	sentAt time.Time
	class  ibisid.ClassName
}

// recordLatency adds the latency of an answer, as a multiple of the typical latency, to the mean and the peak.
func (s *candidateState) recordLatency(ratio float64, now time.Time) {
	s.latencyRatio.Add(ratio, latencyWindowSamples)
	decayed := s.decayedPeakRatio(now)
	s.peakLatencyRatio = max(ratio, decayed+(ratio-decayed)/latencyWindowSamples)
	s.latencyAt = now
}

// meanLatencyRatio returns the mean latency ratio. It returns to 1 as the last sample ages, so that a candidate is not
// avoided for longer than it is slow.
func (s *candidateState) meanLatencyRatio(now time.Time) float64 {
	if s.latencyRatio.Count() == 0 {
		return 1
	}
	age := float64(now.Sub(s.latencyAt)) / float64(meanLifetime)
	return 1 + (s.latencyRatio.Value()-1)*max(0, 1-age)
}

// decayedPeakRatio returns the peak latency ratio, which rises immediately and decays linearly to the mean.
func (s *candidateState) decayedPeakRatio(now time.Time) float64 {
	mean := s.meanLatencyRatio(now)
	age := float64(now.Sub(s.latencyAt)) / float64(peakDecay)
	return mean + max(0, s.peakLatencyRatio-mean)*max(0, 1-age)
}

// reportedLoadFactor returns the reported load as a factor from 1 to 1+reportedLoadWeight that decays with the age of the
// report.
func (s *candidateState) reportedLoadFactor(now time.Time) float64 {
	age := now.Sub(s.reportedLoadAt)
	if s.reportedLoadAt.IsZero() || age >= reportedLoadLifetime {
		return 1
	}
	fresh := 1 - float64(age)/float64(reportedLoadLifetime)
	return 1 + reportedLoadWeight*fresh*min(max(s.reportedLoad, 0), fullLoad)
}

// decayedGateLoad returns the load in the last answer of the candidate's gate, reduced in proportion to its age.
func (s *candidateState) decayedGateLoad(now time.Time) float64 {
	age := now.Sub(s.gateLoadAt)
	if s.gateLoadAt.IsZero() || age >= gateLoadLifetime {
		return 0
	}
	return s.gateLoad * (1 - float64(age)/float64(gateLoadLifetime))
}

// saturated reports whether the gate's last answer within gateLoadLifetime showed no free slot.
func (s *candidateState) saturated(now time.Time) bool {
	return s.gateLoad >= fullLoad && now.Sub(s.gateLoadAt) < gateLoadLifetime
}

// backingOff reports whether requests of the class are not sent to the candidate at present.
func (s *candidateState) backingOff(class ibisid.ClassName, now time.Time) bool {
	return now.Before(s.backoffs[class].until) || now.Before(s.backoffs[allClasses].until)
}

// usable reports whether a request of the class may be sent to the candidate now.
func (s *candidateState) usable(class ibisid.ClassName, now time.Time) bool {
	if s.backingOff(class, now) || now.Before(s.ejectedUntil) {
		return false
	}
	if s.probationAnswersLeft > 0 {
		return len(s.outstanding) == 0
	}
	return len(s.outstanding) < max(1, s.Slots)
}

// backOff stops requests of the class for a time that doubles with each refusal, or for retryAfter where that is longer,
// but at most for maxBackoff after a failure and maxRefusalBackoff after a refusal.
func (s *candidateState) backOff(class ibisid.ClassName, now time.Time, retryAfter time.Duration) {
	b := s.backoffs[class]
	b.consecutiveRefusals++
	span := min(maxBackoff, firstBackoff<<min(b.consecutiveRefusals-1, 10))
	longest := maxBackoff
	if class != allClasses {
		longest = maxRefusalBackoff
	}
	b.until = now.Add(min(longest, max(span, retryAfter)))
	if s.backoffs == nil {
		s.backoffs = make(map[ibisid.ClassName]classBackoff)
	}
	s.backoffs[class] = b
}

// resetBackoff makes the next backoff of the class, and the next one after a failure, start from the shortest time.
func (s *candidateState) resetBackoff(class ibisid.ClassName) {
	for _, c := range []ibisid.ClassName{class, allClasses} {
		if b, ok := s.backoffs[c]; ok {
			b.consecutiveRefusals = 0
			s.backoffs[c] = b
		}
	}
}

// eject stops requests to the candidate for a time that doubles with each ejection that follows within ejectionResetAfter.
func (s *candidateState) eject(now time.Time) {
	if now.Sub(s.ejectionEnd) > ejectionResetAfter {
		s.ejections = 0
	}
	span := min(maxEjection, firstEjection<<min(s.ejections, 10))
	s.ejections++
	s.ejectedUntil = now.Add(span)
	s.ejectionEnd = s.ejectedUntil
	s.probationAnswersLeft = probationAnswers
	s.latencyRatio = ibislatency.Mean{}
	s.peakLatencyRatio = 0
}
