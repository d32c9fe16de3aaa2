package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

type (
	// GateEvent is something that happened to the gate.
	GateEvent = ibisadmit.Event
	// GateArriveEvent is a request that asks for a slot.
	GateArriveEvent = ibisadmit.ArriveEvent
	// GateCancelEvent cancels a queued request; a running one continues until its GateFinishEvent.
	GateCancelEvent = ibisadmit.CancelEvent
	// GateHeadReceivedEvent reports that the head of the response to an admitted request arrived; from then on its age no longer counts as slowness.
	GateHeadReceivedEvent = ibisadmit.HeadReceivedEvent
	// GateFinishEvent is the end of an admitted request.
	GateFinishEvent = ibisadmit.FinishEvent
	// GateIdleClosedEvent reports that idle connections to the server were closed.
	GateIdleClosedEvent = ibisadmit.IdleClosedEvent
	// GateColdEvent reports that the backend server announced a cold start.
	GateColdEvent = ibisadmit.ColdEvent
	// GateDomainEvent applies the operators' setting for the gate's failure domain.
	GateDomainEvent = ibisadmit.DomainEvent
	// GatePolicyEvent replaces the policy.
	GatePolicyEvent = ibisadmit.PolicyEvent
	// GateDrainEvent ends admission permanently: queued requests are refused, running ones finish, and then GateDrainedEffect follows.
	GateDrainEvent = ibisadmit.DrainEvent
	// GateTickEvent advances the time.
	GateTickEvent = ibisadmit.TickEvent
)
