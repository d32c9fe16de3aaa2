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

// slowRun is the row of answers since the last one that was not slow. It finds a cold server of a class whose answers differ so
// much that the cold server is no slower than their mean. Its answers count for the class's distribution once it has ended.
type slowRun struct {
	answers []pendingSample
	length  map[ibisid.ClassName]int
}

// recordRun adds an answer to the run, or ends the run if the answer was not slow.
func (l *limiter) recordRun(class ibisid.ClassName, latency time.Duration) {
	if quick := l.quickLatency(class); l.young() && quick > 0 && latency > slowRatio*quick {
		if l.run.length == nil {
			l.run.length = make(map[ibisid.ClassName]int)
		}
		l.run.length[class]++
		l.run.answers = append(l.run.answers, pendingSample{
			class:   class,
			latency: latency,
		})
		return
	}
	for _, a := range l.run.answers {
		l.addToDistribution(a.class, a.latency)
	}
	l.run = slowRun{}
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

// runShowsCold reports whether the run is too long to be chance. If the order of answers is chance, the m answers of a class in
// the run are all slow, after K of N earlier ones were not, only if the K fastest of all N+m come first, with the chance
// C(N,K)/C(N+m,K) whatever the distribution.
func (l *limiter) runShowsCold() bool {
	if len(l.run.answers) < streakLength {
		return false
	}
	odds := 0.0
	for _, class := range slices.Sorted(maps.Keys(l.run.length)) {
		earlier, fast := l.earlierAnswers(class)
		odds += logBinomial(earlier+float64(l.run.length[class]), fast) - logBinomial(earlier, fast)
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
