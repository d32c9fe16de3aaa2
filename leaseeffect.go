package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

type (
	// LeaseEffect is an action that a holder, witness or claimant requests from its caller.
	LeaseEffect = ibislease.Effect
	// LeaseHeartbeatEffect sends one heartbeat to each witness.
	LeaseHeartbeatEffect = ibislease.HeartbeatEffect
	// LeaseReadEffect reads rows and returns them in one LeaseReadEvent.
	LeaseReadEffect = ibislease.ReadEffect
	// LeaseCommitEffect sends a commit to the table; its result is reported by LeaseCommitResultEvent or
	// LeaseCommitUnknownEvent.
	LeaseCommitEffect = ibislease.CommitEffect
	// LeaseJoinedEffect reports that the member row is committed.
	LeaseJoinedEffect = ibislease.JoinedEffect
	// LeaseLapsedEffect reports that the lease has expired; it may become valid again.
	LeaseLapsedEffect = ibislease.LapsedEffect
	// LeaseRejoinEffect reports that this incarnation is dead and that the node must join under a greater one.
	LeaseRejoinEffect = ibislease.RejoinEffect
	// LeaseAckEffect acknowledges a heartbeat.
	LeaseAckEffect = ibislease.AckEffect
	// LeaseSuspectEffect reports to claimants the members that sent the witness no heartbeat for a term, in one batch per
	// tick.
	LeaseSuspectEffect = ibislease.SuspectEffect
	// LeasePromisesEffect answers a LeasePromiseRequestEvent.
	LeasePromisesEffect = ibislease.PromisesEffect
	// LeasePromiseRequestEffect asks a witness for promises never to renew the leases of the suspects again.
	LeasePromiseRequestEffect = ibislease.PromiseRequestEffect
	// LeaseDeadEffect reports members that are permanently dead, so that their slots may be taken over.
	LeaseDeadEffect = ibislease.DeadEffect
)
