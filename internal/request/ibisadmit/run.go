package ibisadmit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibislatency"
)

// runOdds is the number of runs of answers of which at most one may indicate a cold server by chance.
const runOdds = 6000

// recordRun adds an answer to the run of slow answers, or ends the run if the answer was not slow. The run finds a cold server of
// a class whose answers differ so much that the cold server is no slower than their mean. Its answers count for the class's
// distribution once it has ended.
func (l *limiter) recordRun(class ibisid.ClassName, latency time.Duration) {
	if quick := l.quickLatency(class); l.young() && quick > 0 && latency > slowRatio*quick {
		l.slowRun = append(l.slowRun, pendingSample{
			class:   class,
			latency: latency,
		})
		return
	}
	for _, a := range l.slowRun {
		l.addToDistribution(a.class, a.latency)
	}
	l.slowRun = nil
	l.addToDistribution(class, latency)
}

func (l *limiter) addToDistribution(class ibisid.ClassName, latency time.Duration) {
	h := l.latencies[class]
	if h == nil {
		h = &ibislatency.Histogram{}
		l.latencies[class] = h
	}
	h.Add(latency)
}

func (l *limiter) quickLatency(class ibisid.ClassName) time.Duration {
	if reported, ok := l.knowsBetter(class); ok {
		return reported.Quick
	}
	if h := l.latencies[class]; h != nil {
		return h.Quantile(quickShare)
	}
	return 0
}

// runShowsCold reports whether the run of slow answers is too long to be chance. If any order of the N earlier answers of a class
// and its m answers in the run is equally likely, the K fast ones are all among the N earlier ones with the probability
// C(N,K)/C(N+m,K), whatever the distribution.
func (l *limiter) runShowsCold() bool {
	if len(l.slowRun) < streakLength {
		return false
	}
	slow := make(map[ibisid.ClassName]float64)
	for _, a := range l.slowRun {
		slow[a.class]++
	}
	odds := 0.0
	for _, class := range slices.Sorted(maps.Keys(slow)) {
		earlier, fast := l.earlierAnswers(class)
		odds += logBinomial(earlier+slow[class], fast) - logBinomial(earlier, fast)
	}
	return odds >= math.Log(runOdds)
}

// earlierAnswers returns how many answers of the class are known, here and at other gates, and how many of them were not slow.
func (l *limiter) earlierAnswers(class ibisid.ClassName) (all, fast float64) {
	reported, ok := l.knowsBetter(class)
	if ok {
		all = float64(reported.Answers)
		fast = all * (1 - reported.Slow)
	}
	if h := l.latencies[class]; h != nil {
		all += h.Count()
		fast += h.Count() * (1 - h.ShareAbove(slowRatio*l.quickLatency(class)))
	}
	return all, math.Floor(fast)
}

func logBinomial(n, k float64) float64 {
	all, _ := math.Lgamma(n + 1)
	chosen, _ := math.Lgamma(k + 1)
	rest, _ := math.Lgamma(n - k + 1)
	return all - chosen - rest
}
