// Package ibismetric provides counters and histograms with a bounded number of label values, such as tenants or classes,
// in the metrics set of one node. It also reads histograms back as snapshots, for the status of a node and for its display.
//
// Values beyond the bound share the label value Other, so that callers can't grow the metrics without limit.
//
// Lock order: HistogramVec.mu and CounterVec.mu are leaves.
package ibismetric
