// Package ibisretry decides which requests are sent again: retries of requests that did not run, and hedges, which are second
// copies of slow idempotent requests. The nodes that receive callers' requests use it.
//
// A Policy is a deterministic state machine for the requests of one service at one node. Each attempt beyond the first takes
// a token from a retry budget that only successes refill, so the attempts sent stay below 1.1 times the requests plus the
// burst, the number of tokens that the budget can hold. A hedge takes a second token from a hedge budget, which limits
// hedges to 5 % of the successes.
//
//	effects := policy.Update(ibisretry.StartEvent{...}, now)
//
// Owners send a WakeEvent at the time of each WakeEffect; an early or repeated WakeEvent is harmless.
package ibisretry
