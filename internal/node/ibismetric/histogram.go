package ibismetric

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Other is the label value for all values that arrive after the limit is reached.
const Other = "other"

// Label is one label of a metric.
type Label struct {
	// Name is the label's name.
	Name string
	// Value is the label's value.
	Value string
}

// HistogramVec holds a histogram for each of a bounded number of values of one label, such as tenants or classes.
type HistogramVec struct {
	set   *metrics.Set
	name  string
	label string
	limit int

	mu         sync.RWMutex
	histograms map[string]*metrics.Histogram
}

// NewHistogramVec returns histograms with one label in the set; values beyond the limit share the histogram of Other.
func NewHistogramVec(set *metrics.Set, name, label string, limit int) *HistogramVec {
	return &HistogramVec{
		set:        set,
		name:       name,
		label:      label,
		limit:      limit,
		histograms: make(map[string]*metrics.Histogram),
	}
}

// Observe adds a duration to the histogram of the label value, in seconds.
func (v *HistogramVec) Observe(value string, d time.Duration) { v.histogram(value).Update(d.Seconds()) }

func (v *HistogramVec) histogram(value string) *metrics.Histogram {
	v.mu.RLock()
	h, ok := v.histograms[value]
	v.mu.RUnlock()
	if ok {
		return h
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, ok := v.histograms[value]; !ok && len(v.histograms) >= v.limit {
		value = Other
	}
	if h, ok := v.histograms[value]; ok {
		return h
	}
	h = v.set.GetOrCreateHistogram(NameWithLabels(v.name, Label{
		Name:  v.label,
		Value: value,
	}))
	v.histograms[value] = h
	return h
}

// Snapshots returns a snapshot of each histogram that is not empty, by label value.
func (v *HistogramVec) Snapshots() map[string]Snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make(map[string]Snapshot, len(v.histograms))
	for value, h := range v.histograms {
		if s := TakeSnapshot(h); s.Count() > 0 {
			out[value] = s
		}
	}
	return out
}

// NameWithLabels returns the name of a metric with its labels in the Prometheus text format, such as
// `requests_total{tenant="a"}`.
func NameWithLabels(name string, labels ...Label) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, 0, len(labels))
	for _, l := range labels {
		parts = append(parts, fmt.Sprintf("%s=%q", l.Name, l.Value))
	}
	return name + "{" + strings.Join(parts, ",") + "}"
}
