package ibisadmit

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	// streakRatio is how many times its class's usual latency an answer takes to belong to a streak. By Markov's
	// inequality less than a third of a class's answers take that long, whatever the distribution.
	streakRatio = 3.0
	// streakLength is the number of slow answers in a row that show a cold server: one row of 6,000 is that unlucky in the
	// worst distribution, one of a hundred million where a tenth of the answers are slow.
	streakLength = 8
)

// streak sees a server turn cold before its gate has answers enough for a mean: a burst that reaches an idle server finds a
// gate with a handful of answers to compare with, and slow ones that were taken for usual would hide themselves.
// So answers that are far too slow are kept out of the baseline until a usual one ends their row.
type streak struct {
	held []heldAnswer
}

// heldAnswer is a slow answer that may yet turn out to be a usual one.
type heldAnswer struct {
	class   ibisid.ClassName
	latency time.Duration
}

// learn takes the latency of an answer into the baseline, at once or when the streak that it belongs to has ended.
func (l *limiter) learn(class ibisid.ClassName, latency time.Duration) {
	if l.law != LawFixed && l.seen < warmSamples && l.baseline.Ratio(class, latency) > streakRatio {
		l.streak.held = append(l.streak.held, heldAnswer{
			class:   class,
			latency: latency,
		})
		return
	}
	for _, a := range l.streak.held {
		l.baseline.Add(a.class, a.latency)
		l.seen++
	}
	l.streak.held = nil
	l.baseline.Add(class, latency)
	l.seen++
}

// cold reports whether the last answers all were far slower than usual.
func (s *streak) cold() bool { return len(s.held) >= streakLength }

// startAnew ramps the limit and forgets what little was seen: a few answers don't tell a cold server from one whose
// first answers were quicker than the rest, and either has shown its speed when the ramp ends.
func (l *limiter) startAnew(now time.Time) {
	l.baseline = ibislatency.NewBaseline()
	l.seen = 0
	l.startRamp(l.coldStart, now)
}
