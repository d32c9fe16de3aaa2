// Package ibisridge is the coordination library of the ibisridge router, for programs that want sole ownership of keys
// without the daemon.
//
// Every part is a pure core: an event and the time go in, effects come out, and the program that embeds the part
// carries the effects out. A part holds no clock, socket, goroutine or lock, so call each from one goroutine at a time.
//
//	for _, effect := range holder.Update(ibisridge.LeaseTickEvent{}, now) {
//		switch e := effect.(type) {
//		case ibisridge.LeaseHeartbeatEffect: // send it to each witness; an answer is a LeaseAckEvent
//		case ibisridge.LeaseCommitEffect:    // send it to the table; an answer is a LeaseCommitResultEvent or LeaseCommitUnknownEvent
//		}
//	}
//
// # Tour
//
// A [Table] is what members agree through; bring your own. A [Holder] keeps a lease that [Witness]es acknowledge, and a
// [Claimant] declares the lapsed dead. A key hashes to a slot ([SlotOf]), slots share a [Page], a [SlotMap] finds the
// owner, and a [Coordinator] with its [Placer] gives slots to members. A [NameSpace] translates between naming schemes.
// A [Gate] admits requests to a backend server, a [Chooser] picks one where keys don't matter. An [OnceMemory] runs
// requests at most once and issues tickets; a [Claim] records a request in the table before it runs.
//
// The program in examples/embed puts leases, pages and takeover together.
//
// # What is promised
//
// With a table that applies each commit whole or not at all and clocks whose rates err by less than the stated drift, a
// slot has at most one member that is its owner in the table and whose [Holder] is valid, whatever messages, answers
// or members are lost, late, repeated or paused. Check Valid right before each hand-over, and send the fencing
// [Token] along: a pause after the check is beyond any lease. A GateRefuseEffect means that nothing was handed over.
//
// # What is not promised
//
// A table that loses or reverts an applied commit breaks every promise. Members must not lie: the parts bear loss,
// delay and death, not forgery, so authenticate the connections between them. Names and signatures of this package are
// meant to stay within a major version; the encodings of rows may change with a migration, and the policy inside a
// part, such as which of two free members gets a slot, may change at any time.
package ibisridge
