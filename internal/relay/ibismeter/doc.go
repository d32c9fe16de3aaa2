// Package ibismeter holds the metrics of a relay node and serves them in the Prometheus text format.
//
// It counts callers' requests by class, outcome and reason and records how long they took by class. The node registers the
// gauges and counters of the admission gate, ownership, the configuration and the store here.
package ibismeter
