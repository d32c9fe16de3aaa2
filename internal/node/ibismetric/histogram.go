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

// NewHistogramVec returns a family of histograms in the set; values beyond the limit share the histogram of Other.
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
func (f *HistogramVec) Observe(value string, d time.Duration) { f.histogram(value).Update(d.Seconds()) }

func (f *HistogramVec) histogram(value string) *metrics.Histogram {
	f.mu.RLock()
	h, ok := f.histograms[value]
	f.mu.RUnlock()
	if ok {
		return h
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.histograms[value]; !ok && len(f.histograms) >= f.limit {
		value = Other
	}
	if h, ok := f.histograms[value]; ok {
		return h
	}
	h = f.set.GetOrCreateHistogram(NameWithLabels(f.name, Label{
		Name:  f.label,
		Value: value,
	}))
	f.histograms[value] = h
	return h
}

// Snapshots returns a snapshot of each histogram that is not empty, by label value.
func (f *HistogramVec) Snapshots() map[string]Snapshot {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make(map[string]Snapshot, len(f.histograms))
	for value, h := range f.histograms {
		if s := TakeSnapshot(h); s.Count() > 0 {
			out[value] = s
		}
	}
	return out
}

// NameWithLabels returns the name of a metric followed by its labels with quoted values, in the Prometheus text format.
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
