package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

type (
	// GateEvent is an input of a gate.
	GateEvent = ibisadmit.Event
	// GateArriveEvent reports that a request arrived and asks for admission.
	GateArriveEvent = ibisadmit.ArriveEvent
	// GateCancelEvent cancels a queued request; a running one continues until its GateFinishEvent.
	GateCancelEvent = ibisadmit.CancelEvent
	// GateHeadReceivedEvent reports that the head of the response to an admitted request was received; the age of the
	// request then no longer counts as a sign of a slow server.
	GateHeadReceivedEvent = ibisadmit.HeadReceivedEvent
	// GateFinishEvent reports that an admitted request ended.
	GateFinishEvent = ibisadmit.FinishEvent
	// GateIdleClosedEvent reports that idle connections to the server were closed.
	GateIdleClosedEvent = ibisadmit.IdleClosedEvent
	// GateColdEvent reports that the backend server announced the start or end of a cold period.
	GateColdEvent = ibisadmit.ColdEvent
	// GateDomainEvent reports that operators took the gate's failure domain out of service or returned it to service.
	GateDomainEvent = ibisadmit.DomainEvent
	// GatePolicyEvent replaces the policy.
	GatePolicyEvent = ibisadmit.PolicyEvent
	// GateBaselineEvent reports what another gate of the same service has learnt of a class.
	GateBaselineEvent = ibisadmit.BaselineEvent
	// GateCallsFailedEvent reports that a run failed because its calls to other services failed.
	GateCallsFailedEvent = ibisadmit.CallsFailedEvent
	// GateCallAnsweredEvent reports that a call by a run was answered.
	GateCallAnsweredEvent = ibisadmit.CallAnsweredEvent
	// GateResetEvent reports that the backend server reset a connection because it was full.
	GateResetEvent = ibisadmit.ResetEvent
	// GateDrainEvent ends admission permanently: queued requests are refused, running ones finish, and a
	// GateDrainedEffect follows the last one.
	GateDrainEvent = ibisadmit.DrainEvent
	// GateTickEvent advances the time.
	GateTickEvent = ibisadmit.TickEvent
)
