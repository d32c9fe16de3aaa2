package ibismetric

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Bucket is one bucket of a histogram of durations.
type Bucket struct {
	// From is the lower bound in seconds.
	From float64 `json:"from"`
	// To is the upper bound in seconds; it is math.MaxFloat64 for the last bucket.
	To float64 `json:"to"`
	// Count is the number of observations.
	Count uint64 `json:"count"`
}

// Snapshot is the content of a histogram of durations at one moment.
type Snapshot struct {
	// Buckets holds the non-empty buckets, in ascending order.
	Buckets []Bucket `json:"buckets"`
}

// TakeSnapshot returns the current content of a histogram.
func TakeSnapshot(h *metrics.Histogram) Snapshot {
	var s Snapshot
	h.VisitNonZeroBuckets(func(vmrange string, count uint64) {
		if b, ok := parseRange(vmrange); ok {
			b.Count = count
			s.Buckets = append(s.Buckets, b)
		}
	})
	slices.SortFunc(s.Buckets, func(a, b Bucket) int { return cmp.Compare(a.From, b.From) })
	return s
}

func parseRange(vmrange string) (Bucket, bool) {
	from, to, ok := strings.Cut(vmrange, "...")
	if !ok {
		return Bucket{}, false
	}
	low, err := strconv.ParseFloat(from, 64)
	if err != nil {
		return Bucket{}, false
	}
	high, err := strconv.ParseFloat(to, 64)
	if err != nil {
		return Bucket{}, false
	}
	return Bucket{
		From: low,
		To:   min(high, math.MaxFloat64),
	}, true
}

// Count returns the number of observations.
func (s Snapshot) Count() uint64 {
	var n uint64
	for _, b := range s.Buckets {
		n += b.Count
	}
	return n
}

// Quantile returns the upper bound of the bucket that holds the quantile q, where q is from 0 to 1; it returns zero for an
// empty snapshot.
func (s Snapshot) Quantile(q float64) time.Duration {
	rank := uint64(math.Ceil(q * float64(s.Count())))
	var cumulative uint64
	for _, b := range s.Buckets {
		cumulative += b.Count
		if cumulative >= rank {
			return secondsToDuration(b.To)
		}
	}
	return 0
}

// barBounds holds the upper bounds of the rows that Bars renders.
var barBounds = []time.Duration{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 4 * time.Millisecond, 8 * time.Millisecond,
	16 * time.Millisecond, 32 * time.Millisecond, 64 * time.Millisecond, 125 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second, math.MaxInt64,
}

// Bars renders the snapshot as lines of text, in which the longest bar has the given width in characters. It omits the
// rows before the first and after the last observation.
func (s Snapshot) Bars(width int) []string {
	rows := make([]uint64, len(barBounds))
	first, last := len(rows), -1
	for _, b := range s.Buckets {
		i, _ := slices.BinarySearch(barBounds, secondsToDuration(b.To))
		rows[i] += b.Count
		first = min(first, i)
		last = max(last, i)
	}
	if last < 0 {
		return nil
	}
	largest := slices.Max(rows)
	var lines []string
	for i := first; i <= last; i++ {
		lines = append(lines, fmt.Sprintf("%10s %-*s %d", barLabel(i), width, bar(rows[i], largest, width), rows[i]))
	}
	return lines
}

func barLabel(i int) string {
	if i == len(barBounds)-1 {
		return "> " + barBounds[i-1].String()
	}
	return "<= " + barBounds[i].String()
}

// bar returns the bar of one row; a row that is not empty has at least one character.
func bar(count, largest uint64, width int) string {
	if count == 0 {
		return ""
	}
	length := int(float64(count) / float64(largest) * float64(width))
	return strings.Repeat("#", max(1, length))
}

// secondsToDuration converts seconds to a duration; the bound of the last bucket is out of range and becomes math.MaxInt64.
func secondsToDuration(s float64) time.Duration {
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
