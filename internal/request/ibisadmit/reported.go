package ibisadmit

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	maxReports = 8 // gates whose reports of one class are kept
	// maxReportedAnswers bounds the weight of one gate's report beside those of others.
	maxReportedAnswers = 200
)

// reportedLatency is what other gates reported of one class, and all of it together.
type reportedLatency struct {
	reports []Report
	pooled  TypicalLatency
}

// learn takes in what another gate reported. The report with the fewest answers gives way to one of a further gate.
func (l *limiter) learn(e BaselineEvent) {
	if l.algorithm == AlgorithmFixed || l.reported == nil || !l.young() || !e.Report.Typical.valid() {
		return
	}
	reported := l.reported[e.Class]
	reported.reports = slices.DeleteFunc(reported.reports, func(r Report) bool { return r.From == e.Report.From })
	e.Report.Typical.Answers = min(e.Report.Typical.Answers, maxReportedAnswers)
	reported.reports = append(reported.reports, e.Report)
	slices.SortFunc(reported.reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Typical.Answers, a.Typical.Answers), cmp.Compare(a.From, b.From))
	})
	reported.reports = reported.reports[:min(len(reported.reports), maxReports)]
	reported.pooled = pool(reported.reports)
	l.reported[e.Class] = reported
}

// pool returns the reports together: means weighted by the number of answers, and the median of the quick latencies by the same
// weight, which a single odd server does not move. All answers of a gate whose quick ones are slow by that count as slow.
func pool(reports []Report) TypicalLatency {
	var mean, slow float64
	answers := 0
	for _, r := range reports {
		mean += float64(r.Typical.Answers) * float64(r.Typical.Mean)
		answers += r.Typical.Answers
	}
	byQuick := slices.SortedFunc(slices.Values(reports), func(a, b Report) int { return cmp.Compare(a.Typical.Quick, b.Typical.Quick) })
	quick, passed := time.Duration(0), 0
	for _, r := range byQuick {
		quick = r.Typical.Quick
		passed += r.Typical.Answers
		if 2*passed >= answers {
			break
		}
	}
	for _, r := range reports {
		share := r.Typical.Slow
		if r.Typical.Quick > slowRatio*quick {
			share = 1
		}
		slow += float64(r.Typical.Answers) * share
	}
	return TypicalLatency{
		Mean:    time.Duration(mean / float64(answers)),
		Quick:   quick,
		Slow:    slow / float64(answers),
		Answers: answers,
	}
}

// young reports whether the gate has too few answers for a reliable mean of its own.
func (l *limiter) young() bool { return l.baselineSamples < minBaselineSamples }

// knowsBetter returns what other gates reported of the class if that rests on at least as many answers as this gate has seen.
func (l *limiter) knowsBetter(class ibisid.ClassName) (TypicalLatency, bool) {
	reported := l.reported[class].pooled
	return reported, reported.Answers > 0 && reported.Answers >= l.baseline.Count(class)
}

// streakRatioOf returns the latency as a multiple of the mean that is known better, this gate's own or that of others.
func (l *limiter) streakRatioOf(class ibisid.ClassName, latency time.Duration) float64 {
	if reported, ok := l.knowsBetter(class); ok {
		return float64(latency) / float64(reported.Mean)
	}
	return l.baseline.Ratio(class, latency)
}

// stallLatency returns the mean by which a stalled request of the class is found: the gate's own or, as long as it has too
// few answers, a reliable one that other gates reported; zero if there is none.
func (l *limiter) stallLatency(class ibisid.ClassName) time.Duration {
	if !l.young() {
		return l.baseline.Typical(class)
	}
	if reported := l.reported[class].pooled; reported.reliable() {
		return reported.Mean
	}
	return 0
}
