package ibischoose

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	latencyWindow   = 10
	peakDecay       = 500 * time.Millisecond
	probationOK     = 3
	firstBackoff    = 50 * time.Millisecond
	longestBackoff  = 500 * time.Millisecond
	longestRefusal  = 100 * time.Millisecond
	firstAside      = 500 * time.Millisecond
	longestAside    = 2 * time.Second
	hintLife        = 2 * time.Second
	hintWeight      = 0.25
	fullLoad        = 1.0
	asideForgetting = 30 * time.Second
	gateLoadLife    = 200 * time.Millisecond
	meanLife        = 5 * time.Second
)

// Candidate is a backend server that the chooser may pick.
type Candidate struct {
	// Node is the node beside the backend server.
	Node ibisid.NodeName
	// Place is where it stands.
	Place ibisid.Place
	// Slots is the number of requests that it bears at once.
	Slots int
}

// state is what the chooser has seen of one candidate.
type state struct {
	Candidate
	tier        int
	outstanding map[RequestID]sent
	ratio       ibislatency.Mean
	peak        float64
	peakAt      time.Time
	blocks      map[ibisid.ClassName]block
	asideUntil  time.Time
	asideTimes  int
	asideEnded  time.Time
	probation   int
	load        float64
	loadAt      time.Time
	gateLoad    float64
	gateLoadAt  time.Time
}

// block keeps requests of one class, or of all, away from a candidate for a while.
type block struct {
	until    time.Time
	refusals int
}

// allClasses is the class of blocks after a failure, which says as much of one class as of another; a refusal holds for
// the class that was refused, since a gate that has no room for one class may have room for a more urgent one.
const allClasses = ibisid.ClassName("")

type sent struct {
	at    time.Time
	class ibisid.ClassName
}

// seen takes in the latency of an answer as a multiple of the usual one.
func (s *state) seen(ratio float64, now time.Time) {
	s.ratio.Add(ratio, latencyWindow)
	decayed := s.decayedPeak(now)
	s.peak = max(ratio, decayed+(ratio-decayed)/latencyWindow)
	s.peakAt = now
}

// mean returns the mean latency ratio; without samples it goes back to the usual, so that a slow spell is not held
// against a candidate for longer than it lasts.
func (s *state) mean(now time.Time) float64 {
	if s.ratio.Count() == 0 {
		return 1
	}
	age := float64(now.Sub(s.peakAt)) / float64(meanLife)
	return 1 + (s.ratio.Value()-1)*max(0, 1-age)
}

// decayedPeak returns the peak latency ratio, which rises at once and decays to the mean.
func (s *state) decayedPeak(now time.Time) float64 {
	mean := s.mean(now)
	age := float64(now.Sub(s.peakAt)) / float64(peakDecay)
	return mean + max(0, s.peak-mean)*max(0, 1-age)
}

// hint returns the reported load as a factor from 1 to 1+hintWeight that fades with its age.
func (s *state) hint(now time.Time) float64 {
	age := now.Sub(s.loadAt)
	if s.loadAt.IsZero() || age >= hintLife {
		return 1
	}
	fresh := 1 - float64(age)/float64(hintLife)
	return 1 + hintWeight*fresh*min(max(s.load, 0), fullLoad)
}

// gate returns the load that the candidate's gate told of last, fading with its age.
func (s *state) gate(now time.Time) float64 {
	age := now.Sub(s.gateLoadAt)
	if s.gateLoadAt.IsZero() || age >= gateLoadLife {
		return 0
	}
	return s.gateLoad * (1 - float64(age)/float64(gateLoadLife))
}

// saturated reports whether the gate lately had no free slot.
func (s *state) saturated(now time.Time) bool {
	return s.gateLoad >= fullLoad && now.Sub(s.gateLoadAt) < gateLoadLife
}

// blocked reports whether requests of the class are kept away.
func (s *state) blocked(class ibisid.ClassName, now time.Time) bool {
	return now.Before(s.blocks[class].until) || now.Before(s.blocks[allClasses].until)
}

// usable reports whether the candidate takes a request of the class now.
func (s *state) usable(class ibisid.ClassName, now time.Time) bool {
	if s.blocked(class, now) || now.Before(s.asideUntil) {
		return false
	}
	if s.probation > 0 {
		return len(s.outstanding) == 0
	}
	return len(s.outstanding) < max(1, s.Slots)
}

func (s *state) refused(class ibisid.ClassName, now time.Time, retryAfter time.Duration) {
	b := s.blocks[class]
	b.refusals++
	span := min(longestBackoff, firstBackoff<<min(b.refusals-1, 10))
	longest := longestBackoff
	if class != allClasses {
		longest = longestRefusal
	}
	b.until = now.Add(min(longest, max(span, retryAfter)))
	if s.blocks == nil {
		s.blocks = make(map[ibisid.ClassName]block)
	}
	s.blocks[class] = b
}

// accepted makes the next backoff of the class short again, and that after a failure too.
func (s *state) accepted(class ibisid.ClassName) {
	for _, c := range []ibisid.ClassName{class, allClasses} {
		if b, ok := s.blocks[c]; ok {
			b.refusals = 0
			s.blocks[c] = b
		}
	}
}

// setAside keeps requests away for a time that doubles when it happens again soon.
func (s *state) setAside(now time.Time) {
	if now.Sub(s.asideEnded) > asideForgetting {
		s.asideTimes = 0
	}
	span := min(longestAside, firstAside<<min(s.asideTimes, 10))
	s.asideTimes++
	s.asideUntil = now.Add(span)
	s.asideEnded = s.asideUntil
	s.probation = probationOK
	s.ratio = ibislatency.Mean{}
	s.peak = 0
}
