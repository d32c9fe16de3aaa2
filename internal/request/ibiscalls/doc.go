// Package ibiscalls learns which request classes the runs of a backend server call, and which runs failed because of their calls.
//
// Nothing in a call names the run that it serves: calls and callers' requests arrive at the same port. A Tracker compares
// their times instead. A call begins and ends while its run lasts, so at the times of calls more runs are in progress than half a second
// before and after; at the times of callers' requests there are as many as then.
//
// A Tracker is a deterministic state machine without clock, lock or socket: Update takes one event and the current time. Inherit
// returns what a call takes over from the runs that it may serve.
package ibiscalls
