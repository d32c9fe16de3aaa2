package ibisadmit

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

const (
	ratioWindow        = 10  // samples
	failureWindow      = 10  // samples
	latencyTolerance   = 2.0 // latency ratio above which the limit shrinks
	coldRatio          = 5.0 // mean latency ratio above which the server appears cold
	coldFailureShare   = 0.5 // share of failures above which the server appears cold
	coldMinSamples     = 5
	limitSmoothing     = 0.2 // fraction of the way to the target of adjustGradient per round of finished requests
	growStep           = 0.5 // slots that adjustGradient adds to the scaled limit, so that it can grow
	shrinkFactor       = 0.9
	minBaselineSamples = 50 // baseline samples before the limit adapts to latency
)

// limiter computes the adaptive concurrency limit of one server. The limit in force is the least of the limit that the algorithm
// adapts, the limit of the hill climb, each active ramp and the level of the probe.
type limiter struct {
	algorithm LimitAlgorithm
	slots     int
	coldStart time.Duration
	limit     float64
	baseline  *ibislatency.Baseline
	// latencies holds the distribution of each class's latencies; it is not kept with AlgorithmFixed.
	latencies map[ibisid.ClassName]*ibislatency.Histogram
	// reported holds what other gates of the service have learnt; nil after the first baseline was discarded.
	reported     map[ibisid.ClassName]reportedLatency
	meanRatio    ibislatency.Mean
	failureShare ibislatency.Mean
	streak       streak
	// slowRun holds the answers since the last one that was not slow.
	slowRun         []pendingSample
	baselineSamples int
	shrunkAt        time.Time
	ramps           []ramp
	probe           *probe
	climb           hillClimb
}

// ramp raises the limit linearly from one request to the full number of slots.
type ramp struct {
	start    time.Time
	duration time.Duration
}

func (r ramp) bound(slots int, now time.Time) int {
	passed := float64(now.Sub(r.start)) / float64(r.duration)
	if passed >= 1 {
		return slots
	}
	return 1 + int(float64(slots-1)*max(passed, 0))
}

func newLimiter(algorithm LimitAlgorithm, slots int, coldStart time.Duration) *limiter {
	if algorithm == "" {
		algorithm = AlgorithmGradient
	}
	return &limiter{
		algorithm: algorithm,
		slots:     slots,
		coldStart: coldStart,
		limit:     float64(slots),
		baseline:  ibislatency.NewBaseline(),
		latencies: make(map[ibisid.ClassName]*ibislatency.Histogram),
		reported:  make(map[ibisid.ClassName]reportedLatency),
		climb: hillClimb{
			limit: slots,
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

// ramping reports whether a ramp is active. It removes the ramps that have ended.
func (l *limiter) ramping(now time.Time) bool {
	active := l.ramps[:0]
	for _, r := range l.ramps {
		if now.Sub(r.start) < r.duration {
			active = append(active, r)
		}
	}
	l.ramps = active
	return len(active) > 0
}

// startRamp ends the probe, if any, and starts a ramp that raises the limit from one request to all slots over the duration.
// The duration counts from the given time: now, or the start of a probe that found the server cold.
func (l *limiter) startRamp(duration time.Duration, from time.Time) {
	l.ramps = append(l.ramps, ramp{
		start:    from,
		duration: duration,
	})
	l.limit = float64(l.slots)
	l.probe = nil
	l.resetSignals(from)
}

func (l *limiter) resetSignals(now time.Time) {
	l.climb.resetWindow(now)
	l.meanRatio = ibislatency.Mean{}
	l.failureShare = ibislatency.Mean{}
	l.streak = streak{}
	l.slowRun = nil
}

// addSample records the end of a request that was admitted at the given time. It reports whether the limit fell to 1 because
// the server appears cold. The busy parameter states whether the limit was in use.
func (l *limiter) addSample(class ibisid.ClassName, e FinishEvent, admitted time.Time, busy bool, now time.Time) bool {
	if e.Latency <= 0 && !e.Failed {
		return false
	}
	ratio := l.latencyRatio(class, e)
	if l.probe != nil {
		l.addProbeSample(ratio, admitted, now)
		return false
	}
	if l.ramping(now) {
		return false
	}
	l.failureShare.Add(failureValue(e.Failed), failureWindow)
	l.meanRatio.Add(ratio, ratioWindow)
	if !e.Failed {
		l.recordLatency(class, e.Latency)
		if l.algorithm != AlgorithmFixed {
			l.recordRun(class, e.Latency)
		}
	}
	if l.streak.showsCold() || l.runShowsCold() {
		l.resetBaselineAndRamp(now)
		return true
	}
	if l.appearsCold() {
		l.startProbe(now)
		return true
	}
	if l.algorithm == AlgorithmGradient && busy && l.baselineSamples >= minBaselineSamples {
		l.climb.addSample(ratio, admitted, l.slots, now)
	}
	l.adjust(busy, now)
	return false
}

func failureValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// latencyRatio returns the latency as a multiple of the class's baseline, or of the usual latency that other gates reported during a
// probe that was started by it; a failure counts as coldRatio.
func (l *limiter) latencyRatio(class ibisid.ClassName, e FinishEvent) float64 {
	if e.Failed {
		return coldRatio
	}
	if l.probe != nil && l.probe.byReport {
		if usual := l.stallLatency(class); usual > 0 {
			return float64(e.Latency) / float64(usual)
		}
	}
	return l.baseline.Ratio(class, e.Latency)
}

// appearsCold reports whether the recent mean latency or failure share indicates a cold server.
func (l *limiter) appearsCold() bool {
	if l.algorithm == AlgorithmFixed {
		return false
	}
	slow := l.baselineSamples >= minBaselineSamples && l.meanRatio.Count() >= coldMinSamples && l.meanRatio.Value() > coldRatio
	failing := l.failureShare.Count() >= coldMinSamples && l.failureShare.Value() > coldFailureShare
	return slow || failing
}

// adjust applies the algorithm to the limit. The limit only grows if it was in use.
func (l *limiter) adjust(busy bool, now time.Time) {
	if l.baselineSamples < minBaselineSamples {
		return
	}
	switch l.algorithm {
	case AlgorithmGradient:
		l.adjustGradient(busy)
	case AlgorithmAIMD:
		l.adjustAIMD(busy, now)
	case AlgorithmFixed:
	}
	l.limit = min(max(l.limit, 1), float64(l.slots))
}

// adjustGradient moves the limit towards a target: the limit scaled by the ratio of tolerated to observed latency, at least by
// a half and at most by 1, plus growStep.
func (l *limiter) adjustGradient(busy bool) {
	gradient := min(1, max(0.5, latencyTolerance/max(l.meanRatio.Value(), 0.01)))
	target := l.limit*gradient + growStep
	if target > l.limit && !busy {
		return
	}
	l.limit += (target - l.limit) * limitSmoothing / math.Max(l.limit, 1)
}

func (l *limiter) adjustAIMD(busy bool, now time.Time) {
	if l.meanRatio.Value() <= latencyTolerance {
		if busy {
			l.limit += 1 / l.limit
		}
		return
	}
	if now.Sub(l.shrunkAt) < TickPeriod {
		return
	}
	l.shrunkAt = now
	l.limit *= shrinkFactor
}
