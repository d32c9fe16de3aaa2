package ibislatency

import (
	"math"
	"time"
)

const (
	bucketsPerDoubling = 8
	bucketCount        = 34 * bucketsPerDoubling // up to 2^34 µs, about 4.8 hours
	bucketUnit         = time.Microsecond
	halvingPeriod      = 2000 // samples
)

// Histogram counts latencies in buckets 9% wide. Every 2,000 samples it halves all counts, so that old samples lose weight. The
// zero value is empty and ready to use.
type Histogram struct {
	buckets      [bucketCount]float64
	total        float64
	sinceHalving int
}

// Add records a latency.
func (h *Histogram) Add(latency time.Duration) {
	h.buckets[bucketIndex(latency)]++
	h.total++
	h.sinceHalving++
	if h.sinceHalving >= halvingPeriod {
		h.halve()
	}
}

// Count returns the total weight of the recorded samples: 1 for each sample, halved at each halving after it.
func (h *Histogram) Count() float64 { return h.total }

// Quantile returns the upper edge of the bucket that holds the given quantile, a fraction between 0 and 1. It returns zero
// before the first sample.
func (h *Histogram) Quantile(fraction float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	remaining := fraction * h.total
	for i, weight := range h.buckets {
		remaining -= weight
		if remaining <= 0 && weight > 0 {
			return upperEdge(i)
		}
	}
	return upperEdge(bucketCount - 1)
}

// ShareAbove returns the share of the samples above the latency, to the width of a bucket; zero before the first sample.
func (h *Histogram) ShareAbove(latency time.Duration) float64 {
	if h.total == 0 {
		return 0
	}
	above := 0.0
	for _, weight := range h.buckets[bucketIndex(latency)+1:] {
		above += weight
	}
	return above / h.total
}

func (h *Histogram) halve() {
	h.total = 0
	h.sinceHalving = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.total += h.buckets[i]
	}
}

func bucketIndex(latency time.Duration) int {
	if latency <= bucketUnit {
		return 0
	}
	doublings := math.Log2(float64(latency) / float64(bucketUnit))
	return min(int(doublings*bucketsPerDoubling), bucketCount-1)
}

func upperEdge(bucket int) time.Duration {
	return time.Duration(float64(bucketUnit) * math.Exp2(float64(bucket+1)/bucketsPerDoubling))
}
