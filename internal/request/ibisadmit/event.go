package ibisadmit

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// RequestID identifies a request within one gate.
type RequestID uint64

// Event is an input of Gate.Update.
type Event interface{ gateEvent() }

// ArriveEvent reports a new request that needs a slot.
type ArriveEvent struct {
	// ID must not have been used at this gate before.
	ID RequestID
	// Tenant is the tenant of the request.
	Tenant ibisid.TenantName
	// HasPriority reports that Priority, which is that of the tenant, takes precedence over the priority of the class.
	HasPriority bool
	// Priority is the priority of the tenant if HasPriority is set.
	Priority int
	// Class is the class of the request.
	Class ibisid.ClassName
	// Deadline is the time after which the answer is of no use; zero means none.
	Deadline time.Time
	// Target is the time until which the answer has its full value; zero means none. A request that would miss it by
	// waiting is either refused on arrival, when it can still be sent elsewhere, or queued behind the requests that are in
	// time.
	Target time.Time
	// Call reports that the request serves a run of another backend server. It goes before callers' requests of equal priority.
	Call bool
	// CallPriority is the priority of that run, which the call gets if it is the greater one.
	CallPriority int
}

// FinishEvent reports that an admitted request ended.
type FinishEvent struct {
	// ID is the admitted request.
	ID RequestID
	// Latency is the time from sending the request to receiving the head of the answer; zero if no head was received.
	Latency time.Duration
	// Failed reports an outcome that indicates an overloaded or broken server (5xx, refused, reset).
	Failed bool
	// ConnectionClosed reports that the request's connection is closed.
	ConnectionClosed bool
	// CutOff reports that the node gave the request up, so that the server may still work on it.
	CutOff bool
}

// RejectedEvent reports that the backend server rejected an admitted request that no other server can run, and has not run it. The
// request still holds its slot.
type RejectedEvent struct {
	// ID is the admitted request.
	ID RequestID
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
}

// HeadReceivedEvent reports that the head of an admitted request's answer was received. The age of the request then no longer
// counts as a sign of a slow server.
type HeadReceivedEvent struct {
	// ID is the admitted request.
	ID RequestID
}

// CallsFailedEvent reports that a run failed because its calls to other services failed. It precedes the run's FinishEvent or
// follows it.
type CallsFailedEvent struct {
	// Class is the class of the run.
	Class ibisid.ClassName
	// BeganAt is when the run began.
	BeganAt time.Time
}

// CallAnsweredEvent reports that a call by a run of a class was answered.
type CallAnsweredEvent struct {
	// Class is the class of the run.
	Class ibisid.ClassName
}

// ResetEvent reports that the backend server reset the connection of a running request because it was full. The request's FinishEvent
// follows.
type ResetEvent struct{}

// CancelEvent removes a request that still waits. A running request is unaffected and ends with its FinishEvent.
type CancelEvent struct {
	// ID is the request.
	ID RequestID
}

// IdleClosedEvent reports that idle connections to the server were closed.
type IdleClosedEvent struct {
	// Count is the number of closed connections.
	Count int
}

// ColdEvent reports that the backend server announced the start or end of a cold period.
type ColdEvent struct {
	// RequestsPerSecond is the number of requests that the cold server can take in any second; zero if unknown, in which case the
	// limit ramps up over Config.ColdStart.
	RequestsPerSecond int
	// Duration is how long the server stays cold if PerSecond is known; zero ends the cold period.
	Duration time.Duration
}

// RateLimitEvent reports the rate that the backend server names as its limit for all nodes together.
type RateLimitEvent struct {
	// Limited reports that the server names a limit.
	Limited bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// DrainEvent ends admission permanently: waiting requests are refused, running requests finish, and a DrainedEffect
// follows the last one.
type DrainEvent struct{}

// DomainEvent reports that operators took the gate's failure domain out of service or returned it to service.
type DomainEvent struct {
	// OutOfService reports that the domain accepts no new requests.
	OutOfService bool
	// RampUp is the time over which the limit ramps up after the domain returns; zero means 30 seconds.
	RampUp time.Duration
}

// PolicyEvent replaces the policy.
type PolicyEvent struct {
	// Policy is the new policy.
	Policy Policy
}

// BaselineEvent reports what another gate of the same service has learnt of a class. As long as the gate has too few answers of
// its own, it recognizes by it that its own server is cold.
type BaselineEvent struct {
	// Class is the class.
	Class ibisid.ClassName
	// Report is what the other gate reported.
	Report Report
}

// TickEvent makes the gate check for a stalled server and for waiting requests that can no longer meet their deadline.
type TickEvent struct{}

func (ArriveEvent) gateEvent()       {}
func (FinishEvent) gateEvent()       {}
func (HeadReceivedEvent) gateEvent() {}
func (RejectedEvent) gateEvent()     {}
func (CallsFailedEvent) gateEvent()  {}
func (CallAnsweredEvent) gateEvent() {}
func (ResetEvent) gateEvent()        {}
func (CancelEvent) gateEvent()       {}
func (IdleClosedEvent) gateEvent()   {}
func (ColdEvent) gateEvent()         {}
func (RateLimitEvent) gateEvent()    {}
func (DrainEvent) gateEvent()        {}
func (DomainEvent) gateEvent()       {}
func (PolicyEvent) gateEvent()       {}
func (BaselineEvent) gateEvent()     {}
func (TickEvent) gateEvent()         {}
