package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

type (
	// LeaseEvent is an input of a holder, witness or claimant.
	LeaseEvent = ibislease.Event
	// LeaseTickEvent advances the time; send it several times per heartbeat period.
	LeaseTickEvent = ibislease.TickEvent
	// LeaseCandidatesEvent lists the live nodes that may be witnesses of a holder.
	LeaseCandidatesEvent = ibislease.CandidatesEvent
	// LeaseAnnounceEvent sets the announcement of the backend server and the intended state of the node.
	LeaseAnnounceEvent = ibislease.AnnounceEvent
	// LeaseAckEvent is a witness's acknowledgement of a heartbeat.
	LeaseAckEvent = ibislease.AckEvent
	// LeaseReadEvent is the content of rows as read from the table or from their replicated copies.
	LeaseReadEvent = ibislease.ReadEvent
	// LeaseCommitResultEvent is the result of a commit.
	LeaseCommitResultEvent = ibislease.CommitResultEvent
	// LeaseCommitUnknownEvent reports that a commit got no answer; it may have taken effect.
	LeaseCommitUnknownEvent = ibislease.CommitUnknownEvent
	// LeaseHeartbeatEvent is a heartbeat that reached a witness.
	LeaseHeartbeatEvent = ibislease.HeartbeatEvent
	// LeasePromiseRequestEvent asks a witness for promises never to renew the leases of the suspects again.
	LeasePromiseRequestEvent = ibislease.PromiseRequestEvent
	// LeaseDeadEvent reports to a witness the members that are dead in the table.
	LeaseDeadEvent = ibislease.DeadEvent
	// LeaseSuspectEvent reports to a claimant the members that sent a witness no heartbeat for a term.
	LeaseSuspectEvent = ibislease.SuspectEvent
	// LeasePromisesEvent is a witness's answer to the promise request of a claimant.
	LeasePromisesEvent = ibislease.PromisesEvent
	// LeasePrunableEvent reports to a claimant the dead incarnations that no page references and whose names have joined
	// again.
	LeasePrunableEvent = ibislease.PrunableEvent
)
