package ibisadmit

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// RequestID numbers a request at one gate.
type RequestID uint64

// Event is something that happened to the gate.
type Event interface{ gateEvent() }

// ArriveEvent is a request that asks for a slot.
type ArriveEvent struct {
	// ID is new to the gate.
	ID RequestID
	// Tenant is the tenant of the request.
	Tenant ibisid.TenantName
	// Class is the class of the request.
	Class ibisid.ClassName
	// Deadline is when the answer is of no more use; zero for none.
	Deadline time.Time
	// Target is when the answer is still worth most; a request that would come too late by waiting is refused on arrival,
	// where it is no loss to come back. Zero for none.
	Target time.Time
}

// FinishEvent is the end of an admitted request.
type FinishEvent struct {
	// ID is the admitted request.
	ID RequestID
	// Latency is the time from hand-over to the head of the answer; zero where none came.
	Latency time.Duration
	// Failed marks an answer that shows the server overloaded or broken (5xx, refused, reset).
	Failed bool
	// ConnectionClosed says that the request's connection is gone.
	ConnectionClosed bool
}

// HeadEvent says that the head of an admitted request's answer came, so that its age no longer shows a slow server.
type HeadEvent struct {
	// ID is the admitted request.
	ID RequestID
}

// CancelEvent takes back a request that still waits; one that runs goes on until its FinishEvent.
type CancelEvent struct {
	// ID is the request.
	ID RequestID
}

// IdleClosedEvent reports that idle connections to the server were closed.
type IdleClosedEvent struct {
	// Count is the number of connections.
	Count int
}

// ColdEvent says that the backend server announced a cold start.
type ColdEvent struct {
	// PerSecond is the number of requests that the cold server bears in any second; zero where it isn't known, and then
	// the limit ramps up over the cold start.
	PerSecond int
	// For is how long the server stays cold where PerSecond is known; zero ends the cold start.
	For time.Duration
}

// DrainEvent ends admission for good: what waits is refused, what runs finishes, then DrainedEffect follows.
type DrainEvent struct{}

// DomainEvent follows the operators' word on the gate's failure domain.
type DomainEvent struct {
	// Out says that the domain takes no new work.
	Out bool
	// RampUp is the time over which a returning domain takes its full share; zero means 30 seconds.
	RampUp time.Duration
}

// PolicyEvent replaces the policy.
type PolicyEvent struct {
	// Policy is the new policy.
	Policy Policy
}

// TickEvent lets time pass.
type TickEvent struct{}

func (ArriveEvent) gateEvent()     {}
func (FinishEvent) gateEvent()     {}
func (HeadEvent) gateEvent()       {}
func (CancelEvent) gateEvent()     {}
func (IdleClosedEvent) gateEvent() {}
func (ColdEvent) gateEvent()       {}
func (DrainEvent) gateEvent()      {}
func (DomainEvent) gateEvent()     {}
func (PolicyEvent) gateEvent()     {}
func (TickEvent) gateEvent()       {}
