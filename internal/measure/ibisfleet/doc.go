// Package ibisfleet runs the ownership runtime of a few nodes over one stand-in platform on fake time, in one goroutine,
// and measures how long keys are not served. The same seed gives the same figures.
package ibisfleet
