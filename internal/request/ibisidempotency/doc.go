// Package ibisidempotency is the idempotency memory by which the owner of a slot runs each non-idempotent request at most once.
//
// A Memory is the state machine of one node, without I/O, clock or lock: it holds the requests of the slots that the
// node owns, within a limit of bytes, and its user serializes calls. It removes no key within the retention time: when
// it is full, it drops the headers and bodies of the oldest answers first and then refuses new requests as "not run".
//
//	memory.Acquire(slot, token, ibisidempotency.TakeoverFresh, now)
//	response := memory.Begin(ibisidempotency.BeginEvent{...}, now)
//	if response.Verdict == ibisidempotency.VerdictRun {
//		memory.MarkSent(response.Run)  // before the first byte is sent to the backend server
//		memory.Finish(response.Run, ibisidempotency.Answer{...}, now)  // or Abandon before MarkSent, or FinishUnknown or Retract after it
//	}
//
// A planned move exports the memory of a slot and imports it at the new owner. A takeover without the memory is lossy:
// the new owner answers VerdictUnknown to each key that may have been used before. An idempotency key is a ticket that
// the owner issued, a UUID of version 7 or any other text; docs/design/004-at-most-once.md compares the cost and the
// guarantee of each. A Claim is the state machine of a request that is recorded in the platform's table before it runs.
package ibisidempotency
