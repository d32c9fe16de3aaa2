// Package ibisshutdown decides which requests a node that stops still takes, and how long each phase of its stop lasts.
//
// A request is taken only if its answer is out before the process ends. The package has no clock: the times of a Schedule
// follow from when the stop began and from the grace period.
package ibisshutdown
