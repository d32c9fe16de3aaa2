package ibisadmit

import "time"

// Effect is an action that Gate.Update requests from the gate's owner.
type Effect interface{ gateEffect() }

// AdmitEffect requests that a request be sent to the backend server.
type AdmitEffect struct {
	// ID is the request.
	ID RequestID
	// OpenConnection reports that no idle connection is left and that a new one stays within Config.Connections.
	OpenConnection bool
}

// Reason is the cause of a refusal.
type Reason string

// IsOverload reports whether the request was refused because of load, which other gates of the service are likely to share:
// sending it to one of them would not help.
func (r Reason) IsOverload() bool {
	return r == ReasonTarget || r == ReasonLink || r == ReasonQueueFull || r == ReasonDeadline || r == ReasonCalls
}

const (
	// ReasonRate means that the tenant is above its rate.
	ReasonRate Reason = "rate"
	// ReasonQueueFull means that the queue is full and the tenant already has its fair share of it.
	ReasonQueueFull Reason = "queueFull"
	// ReasonDeadline means that the head of the answer is expected after the request's deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonTarget means that the request would miss its target time by waiting.
	ReasonTarget Reason = "target"
	// ReasonLink means that the answer would miss its target time because of the bytes queued on the instance's network link.
	ReasonLink Reason = "link"
	// ReasonCalls means that runs of the class fail because their calls to other services fail.
	ReasonCalls Reason = "calls"
	// ReasonSlow means that the backend server answers far more slowly than usual and other servers may be faster.
	ReasonSlow Reason = "slow"
	// ReasonDraining means that the backend server is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonDomainOut means that operators have taken the failure domain out of service.
	ReasonDomainOut Reason = "domainOut"
)

// RefuseEffect refuses a request that was not handed to the backend server; its outcome is "not run".
type RefuseEffect struct {
	// ID is the request.
	ID RequestID
	// Reason is the cause of the refusal.
	Reason Reason
	// RetryAfter is the time after which this gate may have room; zero means that it won't, so the request must go elsewhere.
	RetryAfter time.Duration
}

// ResendEffect requests that a rejected request be sent to the backend server once more. Without it the rejection is final.
type ResendEffect struct {
	// ID is the request, which keeps its slot.
	ID RequestID
	// After is the time to wait before.
	After time.Duration
}

// DrainedEffect reports that no request runs or waits after a DrainEvent.
type DrainedEffect struct{}

func (AdmitEffect) gateEffect()   {}
func (RefuseEffect) gateEffect()  {}
func (ResendEffect) gateEffect()  {}
func (DrainedEffect) gateEffect() {}
