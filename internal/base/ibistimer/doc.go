// Package ibistimer provides the clock and timers that the components of a node use, and a fake of them for tests.
//
// A component subscribes to a Service for one call (After) or periodic calls (Every).
//
// Lock order: the lock of a Service is never held while a subscriber runs.
package ibistimer
