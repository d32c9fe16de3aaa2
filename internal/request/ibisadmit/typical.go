package ibisadmit

import (
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// quickShare is the share of a class's answers that are at least as fast as TypicalLatency.Quick.
	quickShare = 0.25
	// slowRatio is the multiple of TypicalLatency.Quick above which an answer counts as slow.
	slowRatio = 3
	// reportPeriod is the time between two reports of one class once the gate has a reliable mean.
	reportPeriod = time.Second
	// maxReportedLatency bounds the latencies that another gate may report.
	maxReportedLatency = time.Hour
	latencyRounding    = 10 * time.Microsecond
)

// TypicalLatency is what a gate has learnt of the time to the head of one class's answers.
type TypicalLatency struct {
	// Mean is the mean over a long window.
	Mean time.Duration
	// Quick is the latency that a quarter of the answers don't exceed.
	Quick time.Duration
	// Slow is the share of the answers that take more than three times as long as Quick.
	Slow float64
	// Answers is the number of answers that it was learnt from.
	Answers int
}

// Report is the typical latency of a class as another gate of the service reports it.
type Report struct {
	// From is the node of the other gate.
	From ibisid.NodeName
	// Typical is what that gate has learnt.
	Typical TypicalLatency
}

// String returns the report in the form that ParseReport reads, such as "n3 130ms 120ms 0.05 42".
func (r Report) String() string {
	t := r.Typical
	return fmt.Sprintf("%s %s %s %.2f %d", r.From, t.Mean.Round(latencyRounding), t.Quick.Round(latencyRounding), t.Slow, t.Answers)
}

// ParseReport reads what String returned. It fails if a value is missing or out of bounds.
func ParseReport(text string) (Report, error) {
	var from, mean, quick string
	var t TypicalLatency
	if _, err := fmt.Sscanf(text, "%s %s %s %f %d", &from, &mean, &quick, &t.Slow, &t.Answers); err != nil {
		return Report{}, fmt.Errorf("typical latency %q: %w", text, err)
	}
	var err error
	if t.Mean, err = time.ParseDuration(mean); err != nil {
		return Report{}, fmt.Errorf("mean latency: %w", err)
	}
	if t.Quick, err = time.ParseDuration(quick); err != nil {
		return Report{}, fmt.Errorf("quick latency: %w", err)
	}
	if !t.valid() {
		return Report{}, fmt.Errorf("typical latency %q is out of bounds", text)
	}
	return Report{
		From:    ibisid.NodeName(from),
		Typical: t,
	}, nil
}

func (t TypicalLatency) valid() bool {
	return t.Answers > 0 && t.Slow >= 0 && t.Slow <= 1 &&
		t.Quick > 0 && t.Quick <= maxReportedLatency && t.Mean > 0 && t.Mean <= maxReportedLatency
}

// reliable reports whether the mean may be used to find stalled requests.
func (t TypicalLatency) reliable() bool { return t.Answers >= minBaselineSamples }

// ReportTypical returns the typical latency of the class where other gates of the service should hear of it now: with each
// answer until there are enough for a reliable mean, then once a second. It reports only what this gate has learnt itself, so
// that a latency that no server has any more does not go round.
func (g *Gate) ReportTypical(class ibisid.ClassName, now time.Time) (TypicalLatency, bool) {
	if g.limit.baseline.Count(class) >= minBaselineSamples && now.Sub(g.reportedAt[class]) < reportPeriod {
		return TypicalLatency{}, false
	}
	t := g.limit.ownTypical(class)
	if !t.valid() {
		return TypicalLatency{}, false
	}
	g.reportedAt[class] = now
	return t, true
}

func (l *limiter) ownTypical(class ibisid.ClassName) TypicalLatency {
	h := l.latencies[class]
	if h == nil {
		return TypicalLatency{}
	}
	quick := h.Quantile(quickShare)
	return TypicalLatency{
		Mean:    l.baseline.Typical(class),
		Quick:   quick,
		Slow:    h.ShareAbove(slowRatio * quick),
		Answers: l.baseline.Count(class),
	}
}
