// Package ibisridge is the coordination library of the ibisridge router, for programs that need exclusive ownership of
// keys without running the daemon.
//
// Each component is a pure state machine: its input is an event and the current time, its output is a list of effects
// that the embedding program carries out. A component has no clock, socket, goroutine or lock, so call each one from
// one goroutine at a time.
//
//	for _, effect := range holder.Update(ibisridge.LeaseTickEvent{}, now) {
//		switch e := effect.(type) {
//		case ibisridge.LeaseHeartbeatEffect: // send it to each witness; an answer is a LeaseAckEvent
//		case ibisridge.LeaseCommitEffect:    // send it to the table; report a LeaseCommitResultEvent
//		                                     // or, without an answer, a LeaseCommitUnknownEvent
//		}
//	}
//
// # Overview
//
// Members coordinate through a [Table], which the embedding program implements. A [Holder] renews a lease that
// [Witness]es acknowledge, and a [Claimant] declares members with a lapsed lease dead. A key hashes to a slot
// ([SlotOf]), slots share a [Page], a [SlotMap] finds the owner of a slot, and a [Coordinator] with its [Placer]
// assigns slots to members. A [NameSpace] translates between naming schemes. A [Gate] admits requests to a backend
// server, and a [Chooser] picks a backend server of a service whose requests do not depend on keys. An [OnceMemory]
// ensures that a request runs at most once and issues tickets; a [Claim] records a request in the table before it runs.
//
// The program in examples/embed combines leases, pages and takeover.
//
// # Guarantees
//
// The table must apply each commit whole or not at all, and the rates of clocks must err by less than the drift of the
// [LeaseTerms]. Then a slot has at most one member that is its owner in the table and whose [Holder] is valid, even if
// messages, answers or members are lost, late, repeated or paused. Check Valid immediately before each hand-over, and
// send the fencing [Token] with the request: no lease covers a pause after the check. A GateRefuseEffect means that
// nothing was handed over.
//
// # Limits of the guarantees
//
// A table that loses or reverts an applied commit voids every guarantee. The components tolerate loss, delay and
// crashes, but not forged messages, so authenticate the connections between members. Names and signatures of this
// package are meant to stay within a major version; the encodings of rows may change with a migration, and the policy
// inside a component, such as which of two equally suitable members gets a slot, may change at any time.
package ibisridge
