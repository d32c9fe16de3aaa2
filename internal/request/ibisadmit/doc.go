// Package ibisadmit decides which requests one backend server runs, which wait in a queue and which are refused: admission
// control with an adaptive concurrency limit and fair queueing between tenants. A node keeps one Gate per backend
// server.
//
// A Gate is a deterministic state machine: Update takes one event and the current time, and returns effects. It holds no
// clock, lock or socket, so its owner serializes calls. A RefuseEffect is only returned for a request that was never
// handed to the backend server, so the request can safely be sent elsewhere.
//
//	gate := ibisadmit.New(config, now)
//	for _, effect := range gate.Update(ibisadmit.ArriveEvent{...}, now) { ... }
//
// Owners send a TickEvent at least every TickPeriod.
//
// The main terms: a slot is the right to run one request at the backend server. The limit is the number of slots that the
// gate uses at the moment; it never exceeds Config.Slots. The target is the time after which an answer loses value, and
// the deadline the time after which it has none. A request is late if it can no longer meet its target; each class has one
// queue for requests in time and one for late requests. A ramp raises the limit linearly from one request to all slots. A
// probe lowers the limit to one request to find out whether a slow server is overloaded or slow at any load. Gates of one service
// report the typical latency of a class to each other; a gate with few answers of its own recognizes a cold server by it.
package ibisadmit
