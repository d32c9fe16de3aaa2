package ibismetric

import (
	"cmp"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// CounterVec holds a counter for each of a bounded number of combinations of label values.
type CounterVec struct {
	set    *metrics.Set
	name   string
	labels []string
	limit  int

	mu       sync.RWMutex
	counters map[labelValues]*metrics.Counter
}

// labelValues holds the values of one or two labels; the second is empty where there is one.
type labelValues [2]string

// Count is the value of one counter.
type Count struct {
	// Name is the name of the metric.
	Name string `json:"name"`
	// Values lists the label values, in the order of the labels.
	Values []string `json:"values"`
	// Count is the number of events.
	Count uint64 `json:"count"`
}

// NewCounterVec returns counters with one or two labels in the set; combinations beyond the limit are counted under Other.
func NewCounterVec(set *metrics.Set, name string, limit int, labels ...string) *CounterVec {
	return &CounterVec{
		set:      set,
		name:     name,
		labels:   labels,
		limit:    limit,
		counters: make(map[labelValues]*metrics.Counter),
	}
}

// Add adds n to the counter of the label values.
func (c *CounterVec) Add(n int64, values ...string) {
	var key labelValues
	copy(key[:], values)
	c.mu.RLock()
	counter, ok := c.counters[key]
	c.mu.RUnlock()
	if !ok {
		counter = c.create(key)
	}
	counter.AddInt64(n)
}

func (c *CounterVec) create(key labelValues) *metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.counters[key]; !ok && len(c.counters) >= c.limit {
		key = labelValues{Other, Other}
	}
	if counter, ok := c.counters[key]; ok {
		return counter
	}
	var labels []Label
	for i, name := range c.labels {
		labels = append(labels, Label{
			Name:  name,
			Value: key[i],
		})
	}
	counter := c.set.GetOrCreateCounter(NameWithLabels(c.name, labels...))
	c.counters[key] = counter
	return counter
}

// Counts returns the counters, in order of their label values.
func (c *CounterVec) Counts() []Count {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []Count
	for key, counter := range c.counters {
		out = append(out, Count{
			Name:   c.name,
			Values: slices.Clone(key[:len(c.labels)]),
			Count:  counter.Get(),
		})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Or(slices.Compare(a.Values, b.Values)) })
	return out
}
