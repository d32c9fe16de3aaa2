package ibisadmit

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	// streakRatio is the multiple of its class's mean latency above which an answer belongs to a streak. By Markov's
	// inequality less than a third of a class's answers take that long, whatever the distribution.
	streakRatio = 3.0
	// streakLength is the number of consecutive slow answers that indicate a cold server. By chance one run of this length in
	// 6,000 is all slow under the worst distribution, and one in a hundred million if a tenth of the answers are slow.
	streakLength = 8
)

// streak detects a cold server before the gate has enough answers for a reliable mean. When a burst reaches an idle server,
// the baseline consists of a few answers, and slow answers added to it would raise it and hide the slowdown. Answers that are
// far too slow are therefore kept out of the baseline until an answer of usual latency ends the streak.
type streak struct {
	pending []pendingSample
}

// pendingSample is a slow answer that is added to the baseline if an answer of usual latency ends the streak.
type pendingSample struct {
	class   ibisid.ClassName
	latency time.Duration
}

// recordLatency adds the latency of an answer to the baseline, at once or when the streak that it belongs to has ended.
func (l *limiter) recordLatency(class ibisid.ClassName, latency time.Duration) {
	if l.algorithm != AlgorithmFixed && l.baselineSamples < minBaselineSamples && l.streakRatioOf(class, latency) > streakRatio {
		l.streak.pending = append(l.streak.pending, pendingSample{
			class:   class,
			latency: latency,
		})
		return
	}
	for _, a := range l.streak.pending {
		l.baseline.Add(a.class, a.latency)
		l.baselineSamples++
	}
	l.streak.pending = nil
	l.baseline.Add(class, latency)
	l.baselineSamples++
}

// showsCold reports whether the last streakLength answers were all far slower than usual.
func (s *streak) showsCold() bool { return len(s.pending) >= streakLength }

// resetBaselineAndRamp discards the baseline, and what other gates reported, and starts a ramp from the given time. A few answers
// can't distinguish a cold server from one whose first answers were faster than the rest, nor from one that is slower than those
// of other gates; in each case the answers after the ramp give the right baseline.
func (l *limiter) resetBaselineAndRamp(from time.Time) {
	l.baseline = ibislatency.NewBaseline()
	l.latencies = make(map[ibisid.ClassName]*ibislatency.Histogram)
	l.baselineSamples = 0
	l.reported = nil
	l.startRamp(l.coldStart, from)
}
