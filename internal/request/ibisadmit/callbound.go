package ibisadmit

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// callStep is the time between two changes of a bound, and callSteps the number of steps over which failures are counted.
	callStep  = 100 * time.Millisecond
	callSteps = 10
	// callPause is the number of steps without a failure after which a bound grows.
	callPause = 3
	// maxCallFailures is the share of a class's runs that may fail because of their calls.
	maxCallFailures = 0.06
	// beginCallFailures is the same as long as the class is not bounded. Single calls fail at any load.
	beginCallFailures = 0.2
	// minCallFailures is the number of failures below which a share says nothing.
	minCallFailures = 3
	// minCallEnds is the number of runs that ended below which a share is an underestimate: runs that fail end sooner than others.
	minCallEnds = 6
	// sureCallEnds is the number of runs that ended from which a share counts although the callee is not full.
	sureCallEnds = 20
	// minCallShare of the requests that arrive, and minCallRate a second at least, are admitted of a class whose calls all fail, since
	// only its runs show when the calls are answered again.
	minCallShare = 0.07
	minCallRate  = 2.0
	// callMargin times the rate of the runs that did not fail is admitted after failures, since the room at the callee varies.
	callMargin = 0.95
	// smallGrowth and largeGrowth are the first growth of a bound in one step after some or most of the runs failed; it doubles with each
	// further step without a failure, up to maxGrowth. So a bound that has admitted minCallShare admits everything again after three
	// steps.
	smallGrowth = 0.01
	largeGrowth = 1.0
	maxGrowth   = 3.0
	// mostFail is the share of failures from which a bound is lowered whatever came of it before, if fewer than answeredShare calls were
	// answered for each failure. Where more are answered, the callee turns calls away at random, and fewer runs would not help the others.
	mostFail      = 0.5
	answeredShare = 0.25
	// helpedShare times the share that failed when a bound began must not fail with it, or else the callee is full of other work and fewer
	// runs are no help: the class is then not bounded for unhelpedPause.
	helpedShare   = 0.5
	unhelpedPause = 5 * time.Second
	// nearFailedRate is the distance from the rate at which runs failed last, as a share of it, within which the growth does not double.
	nearFailedRate = 0.15
	// maxCallRetryAfter bounds the retry-after time, since the callee may recover at any time.
	maxCallRetryAfter = time.Second
)

// callBound limits the admission of a class whose runs fail because of their calls. It exists from the first such failure.
type callBound struct {
	// perSecond is the rate of admission; zero for no bound.
	perSecond float64
	tokens    float64
	growth    float64
	// failedRate is the rate when it was last lowered because a part of the runs failed, zero if most did.
	failedRate float64
	// loweredTo is the rate to which it was lowered last.
	loweredTo float64
	// beganShare is the share of the runs that failed when the bound began.
	beganShare float64
	// notUntil is when the class may be bounded again after that was no help.
	notUntil time.Time
	// changedAt is when the rate was last lowered. Runs that began before do not count.
	changedAt time.Time
	createdAt time.Time
	steppedAt time.Time
	failedAt  time.Time
	// recovering reports that a call was answered since the last failure.
	recovering bool
	// counts holds the runs of the last steps, and arrivals the requests; the first is the current one.
	counts   [callSteps]callCount
	arrivals [callSteps]int
}

// callCount counts the runs of a class in one step.
type callCount struct {
	refused, ended, failed, answered int
}

func (b *callBound) current() *callCount { return &b.counts[0] }

func (b *callBound) sum() callCount {
	var out callCount
	for _, c := range b.counts {
		out.refused += c.refused
		out.ended += c.ended
		out.failed += c.failed
		out.answered += c.answered
	}
	return out
}

// calleeIsFull reports whether most runs failed and hardly any call was answered.
func (c callCount) calleeIsFull() bool {
	return c.failedShare() >= mostFail && float64(c.answered) < answeredShare*float64(c.failed)
}

// failedLately reports whether a run failed for its calls within the last callPause steps, or in the current one if most runs failed:
// few are admitted then, and the first call that is answered shows that the callee recovers.
func (b *callBound) failedLately() bool {
	pause := callPause
	if b.failedRate == 0 {
		pause = 1
	}
	for _, c := range b.counts[:pause] {
		if c.failed > 0 {
			return true
		}
	}
	return false
}

// arrivalRate returns the number of requests that arrived in the last second, or since the bound was created if that is shorter.
func (b *callBound) arrivalRate(now time.Time) float64 {
	total := 0
	for _, n := range b.arrivals {
		total += n
	}
	span := max(callStep, min(now.Sub(b.createdAt), callSteps*callStep))
	return float64(total) / span.Seconds()
}

// recordCallsFailed counts a run that failed because of its calls.
func (g *Gate) recordCallsFailed(e CallsFailedEvent, now time.Time) {
	b := g.callBounds[e.Class]
	if b == nil {
		b = &callBound{
			steppedAt: now,
			createdAt: now,
		}
		if g.callBounds == nil {
			g.callBounds = make(map[ibisid.ClassName]*callBound)
		}
		g.callBounds[e.Class] = b
	}
	if e.BeganAt.Before(b.changedAt) {
		return
	}
	b.failedAt = now
	b.recovering = false
	b.resetGrowth()
	b.current().failed++
	total := b.sum()
	failed := total.failedShare()
	switch {
	case total.failed < minCallFailures, !total.calleeIsFull() && (total.ended < sureCallEnds || now.Before(b.notUntil)):
	case b.perSecond == 0 && failed > beginCallFailures:
		b.beganShare = failed
		g.lowerCallBound(e.Class, b, failed, now)
	case b.perSecond > 0 && !total.calleeIsFull() && b.perSecond <= b.loweredTo && failed > helpedShare*b.beganShare:
		b.perSecond = 0
		b.notUntil = now.Add(unhelpedPause)
	case b.perSecond > 0 && failed > maxCallFailures:
		b.beganShare = max(b.beganShare, failed)
		g.lowerCallBound(e.Class, b, failed, now)
	}
}

func (c callCount) failedShare() float64 {
	return min(1, float64(c.failed)/float64(max(minCallEnds, c.ended)))
}

// lowerCallBound admits what did not fail of the runs that ended since the last change, and refuses what waits: its runs would fail too.
func (g *Gate) lowerCallBound(class ibisid.ClassName, b *callBound, failed float64, now time.Time) {
	rate := b.perSecond
	if rate == 0 {
		rate = b.arrivalRate(now)
	}
	arriving, full := b.arrivalRate(now), b.sum().calleeIsFull()
	least := max(minCallRate, minCallShare*arriving)
	b.perSecond = max(least, rate*(1-failed)*callMargin)
	b.failedRate, b.loweredTo = rate, b.perSecond
	if full || b.perSecond <= 2*least {
		b.failedRate = 0
	}
	b.resetGrowth()
	b.tokens = min(b.tokens, 0)
	b.changedAt = now
	b.counts = [callSteps]callCount{}
	for _, q := range g.queues {
		if q.name != class {
			continue
		}
		for _, w := range q.remove(func(waitingRequest, int) bool { return true }) {
			g.refuse(w.id, ReasonCalls, b.retryAfter())
		}
	}
}

// retryAfter returns the time until the requests refused in the last second and one more can be admitted.
func (b *callBound) retryAfter() time.Duration {
	span := float64(b.sum().refused+1) / b.perSecond
	return max(minRetryAfter, min(maxCallRetryAfter, time.Duration(span*float64(time.Second))))
}

// recordCallAnswered notes that a call by runs of a class was answered.
func (g *Gate) recordCallAnswered(e CallAnsweredEvent) {
	if b := g.callBounds[e.Class]; b != nil {
		b.recovering = true
		b.current().answered++
	}
}

// CountsCalls reports whether calls by runs of the class are counted, since some of its runs failed because of them.
func (g *Gate) CountsCalls(class ibisid.ClassName) bool { return g.callBounds[class] != nil }

// recordCallRun counts a run that ended.
func (g *Gate) recordCallRun(class ibisid.ClassName, began time.Time) {
	if b := g.callBounds[class]; b != nil && !began.Before(b.changedAt) {
		b.current().ended++
	}
}

// callDelay takes one token of the class's bound and returns zero, or returns the retry-after time of a request that would only fail.
func (g *Gate) callDelay(class ibisid.ClassName) time.Duration {
	b := g.callBounds[class]
	if b == nil {
		return 0
	}
	b.arrivals[0]++
	if b.perSecond == 0 {
		return 0
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	b.current().refused++
	return b.retryAfter()
}

// stepCallBounds fills the tokens of the bounds and raises those whose runs no longer fail. A bound ends once it admits twice what
// arrives, and is forgotten a second after the last failure.
func (g *Gate) stepCallBounds(now time.Time) {
	for class, b := range g.callBounds {
		for now.Sub(b.steppedAt) >= callStep {
			b.step()
		}
		if b.perSecond == 0 && now.Sub(b.failedAt) > callSteps*callStep && now.After(b.notUntil) {
			delete(g.callBounds, class)
		}
	}
}

// resetGrowth makes the next growth a small one, or a large one if most of the runs failed: it is not known then what the callee bears.
func (b *callBound) resetGrowth() {
	b.growth = largeGrowth
	if b.failedRate > 0 {
		b.growth = smallGrowth
	}
}

// grow raises the rate, by steps that double except around the rate at which runs failed last.
func (b *callBound) grow() {
	if b.failedRate > 0 && math.Abs(b.perSecond/b.failedRate-1) <= nearFailedRate {
		b.perSecond *= 1 + smallGrowth
		return
	}
	b.perSecond *= 1 + b.growth
	b.growth = min(2*b.growth, maxGrowth)
}

func (b *callBound) step() {
	b.steppedAt = b.steppedAt.Add(callStep)
	if b.perSecond > 0 {
		if b.recovering && !b.failedLately() {
			b.grow()
		}
		if b.recovering && !b.failedLately() && b.perSecond > 2*max(b.arrivalRate(b.steppedAt), minCallRate) {
			b.perSecond = 0
		}
		perStep := b.perSecond * callStep.Seconds()
		b.tokens = min(b.tokens+perStep, max(1, perStep))
	}
	copy(b.counts[1:], b.counts[:callSteps-1])
	b.counts[0] = callCount{}
	copy(b.arrivals[1:], b.arrivals[:callSteps-1])
	b.arrivals[0] = 0
}

// CallBound returns the rate in requests per second at which a class is admitted whose runs fail because of their calls; it reports
// false if there is no such bound.
func (g *Gate) CallBound(class ibisid.ClassName) (float64, bool) {
	b := g.callBounds[class]
	if b == nil || b.perSecond == 0 {
		return 0, false
	}
	return b.perSecond, true
}
