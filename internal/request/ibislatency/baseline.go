package ibislatency

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	baselineWindow = 500 // samples
	outlierRatio   = 3   // multiple of the mean above which a latency is an outlier
	outlierWindow  = 10 * baselineWindow
)

// Baseline holds the usual latency of each request class, a mean over a long window. Latencies of different classes are
// compared as multiples of it.
type Baseline struct {
	classes map[ibisid.ClassName]*Mean
}

// NewBaseline returns a baseline without samples.
func NewBaseline() *Baseline {
	return &Baseline{
		classes: make(map[ibisid.ClassName]*Mean),
	}
}

// Ratio returns the latency as a multiple of the class's usual latency, or 1 if that is unknown.
func (b *Baseline) Ratio(class ibisid.ClassName, latency time.Duration) float64 {
	usual := b.Typical(class)
	if usual <= 0 {
		return 1
	}
	return float64(latency) / float64(usual)
}

// Add records a latency of the class. Outliers have a tenth of the normal weight, so that a slow period raises the baseline
// only slowly. No latency is an outlier before the class has 50 samples.
func (b *Baseline) Add(class ibisid.ClassName, latency time.Duration) {
	m := b.classes[class]
	if m == nil {
		m = &Mean{}
		b.classes[class] = m
	}
	window := float64(baselineWindow)
	if m.count >= baselineWindow/10 && float64(latency) > outlierRatio*m.value {
		window = outlierWindow
	}
	m.Add(float64(latency), window)
}

// Count returns the number of recorded latencies of the class.
func (b *Baseline) Count(class ibisid.ClassName) int {
	if m := b.classes[class]; m != nil {
		return int(m.count)
	}
	return 0
}

// Typical returns the usual latency of the class, or zero if it is unknown.
func (b *Baseline) Typical(class ibisid.ClassName) time.Duration {
	if m := b.classes[class]; m != nil {
		return time.Duration(m.value)
	}
	return 0
}
