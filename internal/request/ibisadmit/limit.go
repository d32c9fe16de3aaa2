package ibisadmit

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	ratioWindow      = 10
	failureWindow    = 10
	latencyTolerance = 2.0
	coldRatio        = 5.0
	coldFailures     = 0.5
	coldSamples      = 5
	limitSmoothing   = 0.2
	growStep         = 0.5
	shrinkFactor     = 0.9
	warmSamples      = 50
)

// limiter is the adaptive concurrency limit of one server.
type limiter struct {
	law       Law
	slots     int
	coldStart time.Duration
	limit     float64
	baseline  *ibislatency.Baseline
	ratio     ibislatency.Mean
	failures  ibislatency.Mean
	streak    streak
	seen      int
	shrunk    time.Time
	ramps     []ramp
	probe     *probe
	climb     climb
}

// ramp raises a bound linearly from one request to the full number of slots.
type ramp struct {
	from time.Time
	span time.Duration
}

func (r ramp) bound(slots int, now time.Time) int {
	passed := float64(now.Sub(r.from)) / float64(r.span)
	if passed >= 1 {
		return slots
	}
	return 1 + int(float64(slots-1)*max(passed, 0))
}

func newLimiter(law Law, slots int, coldStart time.Duration) *limiter {
	if law == "" {
		law = LawGradient
	}
	return &limiter{
		law:       law,
		slots:     slots,
		coldStart: coldStart,
		limit:     float64(slots),
		baseline:  ibislatency.NewBaseline(),
		climb: climb{
			ceiling: slots,
		},
	}
}

// bound returns the number of requests that may run now.
func (l *limiter) bound(now time.Time) int {
	n := min(l.slots, int(l.limit), l.climb.bound())
	for _, r := range l.ramps {
		n = min(n, r.bound(l.slots, now))
	}
	if l.probe != nil {
		n = min(n, l.probe.level)
	}
	return max(n, 1)
}

func (l *limiter) ramping(now time.Time) bool {
	live := l.ramps[:0]
	for _, r := range l.ramps {
		if now.Sub(r.from) < r.span {
			live = append(live, r)
		}
	}
	l.ramps = live
	return len(live) > 0
}

// startRamp lowers the bound to one request at once and raises it over the span.
func (l *limiter) startRamp(span time.Duration, now time.Time) {
	l.ramps = append(l.ramps, ramp{
		from: now,
		span: span,
	})
	l.limit = float64(l.slots)
	l.probe = nil
	l.resetSignals(now)
}

func (l *limiter) resetSignals(now time.Time) {
	l.climb.forget(now)
	l.ratio = ibislatency.Mean{}
	l.failures = ibislatency.Mean{}
	l.streak = streak{}
}

// sample takes in the end of a request that was admitted at the given time and reports whether the limit fell to 1
// because the server seems cold.
func (l *limiter) sample(class ibisid.ClassName, e FinishEvent, admitted time.Time, busy bool, now time.Time) bool {
	if e.Latency <= 0 && !e.Failed {
		return false
	}
	ratio := l.ratioOf(class, e)
	if l.probe != nil {
		l.followProbe(ratio, admitted, now)
		return false
	}
	if l.ramping(now) {
		return false
	}
	l.failures.Add(failureValue(e.Failed), failureWindow)
	l.ratio.Add(ratio, ratioWindow)
	if !e.Failed {
		l.learn(class, e.Latency)
	}
	if l.streak.cold() {
		l.startAnew(now)
		return true
	}
	if l.turnedCold() {
		l.startProbe(now)
		return true
	}
	if l.law == LawGradient && busy && l.seen >= warmSamples {
		l.climb.follow(ratio, admitted, l.slots, now)
	}
	l.follow(busy, now)
	return false
}

func failureValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// ratioOf returns a latency as a multiple of the usual one; a failure counts as one far above it.
func (l *limiter) ratioOf(class ibisid.ClassName, e FinishEvent) float64 {
	if e.Failed {
		return coldRatio
	}
	return l.baseline.Ratio(class, e.Latency)
}

func (l *limiter) turnedCold() bool {
	if l.law == LawFixed {
		return false
	}
	slow := l.seen >= warmSamples && l.ratio.Count() >= coldSamples && l.ratio.Value() > coldRatio
	failing := l.failures.Count() >= coldSamples && l.failures.Value() > coldFailures
	return slow || failing
}

// follow moves the limit by the law; it grows only where the limit was in use.
func (l *limiter) follow(busy bool, now time.Time) {
	if l.seen < warmSamples {
		return
	}
	switch l.law {
	case LawGradient:
		l.followGradient(busy)
	case LawAIMD:
		l.followAIMD(busy, now)
	case LawFixed:
	}
	l.limit = min(max(l.limit, 1), float64(l.slots))
}

func (l *limiter) followGradient(busy bool) {
	gradient := min(1, max(0.5, latencyTolerance/max(l.ratio.Value(), 0.01)))
	target := l.limit*gradient + growStep
	if target > l.limit && !busy {
		return
	}
	l.limit += (target - l.limit) * limitSmoothing / math.Max(l.limit, 1)
}

func (l *limiter) followAIMD(busy bool, now time.Time) {
	if l.ratio.Value() <= latencyTolerance {
		if busy {
			l.limit += 1 / l.limit
		}
		return
	}
	if now.Sub(l.shrunk) < TickPeriod {
		return
	}
	l.shrunk = now
	l.limit *= shrinkFactor
}
