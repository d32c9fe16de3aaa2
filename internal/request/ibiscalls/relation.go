package ibiscalls

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	// comparisonShift is the distance of the times at which a request is compared. It exceeds most runs, so that the run that a
	// call serves is not in progress at them.
	comparisonShift = 500 * time.Millisecond
	// maxComparedCall is the length of the longest request that is compared, which bounds the history.
	maxComparedCall = time.Second
	// burstGap is the time within which requests of one class count as one sample, such as calls that a run makes side by side.
	burstGap = 5 * time.Millisecond
	// minSamples is the least number of samples that show a relation.
	minSamples = 50
	// minDeviations is the number of standard errors by which the mean difference must exceed zero. By chance that happens once in
	// three million comparisons of independent samples; arrivals in bursts make it less rare, hence minCallShare.
	minDeviations = 5.0
	// minCallShare is the least share of the difference that calls by runs of one class alone would show.
	minCallShare = 0.1
	// minAgeShare is the same for runs of one age.
	minAgeShare = 0.2
	// minFailures is the least number of failed requests that show a relation, if minFailureShare of them are followed within
	// failureDelay by the failure of a run more than at other times. Most servers answer as soon as a call has failed.
	minFailures     = 10
	minFailureShare = 0.3
	failureDelay    = 25 * time.Millisecond
	// maxUncovered is the greatest share of requests during which no run was in progress: callers' requests arrive then too, calls
	// do not. dropUncovered ends a known relation.
	maxUncovered  = 0.05
	dropUncovered = 0.2
	// sampleWindow is the number of samples that the statistics span.
	sampleWindow = 4000
	// maxCallClasses and maxRunClasses bound the classes that are compared; an instance serves and calls few.
	maxCallClasses = 32
	maxRunClasses  = 32
)

// callClass holds the statistics of one class of requests from the own instance.
type callClass struct {
	lastBegin time.Time
	// uncovered is the share of requests during which no run was in progress.
	uncovered ibislatency.Mean
	// expected is the mean difference if each request were a call.
	expected  ibislatency.Mean
	relations map[ibisid.ClassName]*relation
}

// relation holds what shows whether runs of one class call another: the differences between the runs in progress during requests and
// beside them, of all runs and of those that began a certain time before the request, and the differences between the runs that fail
// right after requests that fail and beside them. A server that calls at about the same age of its runs is found by a tenth of the
// requests that all runs need.
type relation struct {
	running  deviation
	byAge    [len(ageLimits) + 1]deviation
	failures deviation
	known    bool
}

// ageLimits divides runs by their age when a request begins.
var ageLimits = [...]time.Duration{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
}

func ageIndex(age time.Duration) int {
	for i, limit := range ageLimits {
		if age < limit {
			return i
		}
	}
	return len(ageLimits)
}

// shows reports whether any of the differences is too great to be chance.
func (r *relation) shows(expected float64) bool {
	if r.running.exceeds(minSamples, minCallShare*expected) || r.failures.exceeds(minFailures, minFailureShare) {
		return true
	}
	for i := range r.byAge {
		if r.byAge[i].exceeds(minSamples, minAgeShare) {
			return true
		}
	}
	return false
}

// difference is a sample of a relation.
type difference struct {
	running  float64
	byAge    [len(ageLimits) + 1]float64
	failures float64
}

// add adds the contribution of one run for a request from begin to end, with a weight.
func (d *difference) add(r *run, begin, end time.Time, weight float64) {
	if r.covers(begin, end) {
		d.running += weight
		d.byAge[ageIndex(begin.Sub(r.begin))] += weight
	}
	if r.failed && !r.begin.After(begin) && !r.end.Before(end) && r.end.Sub(end) <= failureDelay {
		d.failures += weight
	}
}

func (r *relation) add(d difference, failed bool) {
	r.running.add(d.running)
	for i := range r.byAge {
		r.byAge[i].add(d.byAge[i])
	}
	if failed {
		r.failures.add(d.failures)
	}
}

// deviation tells whether the mean of samples differs from zero by more than chance.
type deviation struct {
	count   float64
	mean    float64
	squares float64
}

func (d *deviation) add(sample float64) {
	if d.count >= sampleWindow {
		d.count /= 2
		d.squares /= 2
	}
	d.count++
	delta := sample - d.mean
	d.mean += delta / d.count
	d.squares += delta * (sample - d.mean)
}

func (d *deviation) exceeds(minCount, minMean float64) bool {
	return d.count >= minCount && d.mean >= minMean && d.mean*d.count >= minDeviations*math.Sqrt(d.squares)
}

// sample is a request that has ended and is to be compared.
type sample struct {
	class      ibisid.ClassName
	begin, end time.Time
	failed     bool
}

// compare counts the runs in progress from the beginning to the end of a request, and from comparisonShift before and after.
// The mean of the two differs from the first only by chance unless runs and requests depend on each other, also while the load rises
// or falls evenly.
func (t *Tracker) compare(s sample) []Effect {
	c := t.classes[s.class]
	differences := make(map[ibisid.ClassName]*difference, len(t.runClasses))
	for _, caller := range t.runClasses {
		differences[caller] = &difference{}
	}
	covering, besideCovering, besideRunning := 0, 0.0, 0.0
	for _, r := range t.runs {
		d := differences[r.class]
		if d == nil {
			continue
		}
		d.add(r, s.begin, s.end, 1)
		if r.covers(s.begin, s.end) {
			covering++
		}
		for _, shift := range [...]time.Duration{-comparisonShift, comparisonShift} {
			begin, end := s.begin.Add(shift), s.end.Add(shift)
			if r.covers(begin, begin) {
				besideRunning++
			}
			if r.covers(begin, end) {
				besideCovering++
			}
			d.add(r, begin, end, -0.5)
		}
	}
	c.uncovered.Add(indicator(covering == 0), sampleWindow)
	if besideRunning > 0 {
		c.expected.Add(1-besideCovering/besideRunning, sampleWindow)
	} else {
		c.expected.Add(1, sampleWindow)
	}
	var effects []Effect
	for _, caller := range t.runClasses {
		r := c.relations[caller]
		if r == nil {
			r = &relation{}
			c.relations[caller] = r
		}
		r.add(*differences[caller], s.failed)
		switch {
		case r.known:
			r.known = c.uncovered.Value() <= dropUncovered
		case c.uncovered.Value() <= maxUncovered && r.shows(c.expected.Value()):
			r.known = true
			effects = append(effects, CallsLearntEffect{
				Class:  s.class,
				Caller: caller,
			})
		}
	}
	return effects
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
