package ibisadmit

import "time"

// Effect is what the gate wants done.
type Effect interface{ gateEffect() }

// AdmitEffect hands a request to the backend server.
type AdmitEffect struct {
	// ID is the request.
	ID RequestID
	// OpenConnection says that no idle connection is left and a new one is within the bound.
	OpenConnection bool
}

// Reason says why a request was refused.
type Reason string

// ForLoad reports whether the load on the gate was the reason, as it will be at other gates of the service.
func (r Reason) ForLoad() bool {
	return r == ReasonTarget || r == ReasonLink || r == ReasonQueueFull || r == ReasonDeadline
}

const (
	// ReasonRate means that the tenant is above its rate.
	ReasonRate Reason = "rate"
	// ReasonQueueFull means that the queue is full and the tenant holds its share of it.
	ReasonQueueFull Reason = "queueFull"
	// ReasonDeadline means that the request could not finish before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonTarget means that the request would wait past its target time.
	ReasonTarget Reason = "target"
	// ReasonLink means that the answer would come past its target time for what waits for the instance's link.
	ReasonLink Reason = "link"
	// ReasonSlow means that the backend server answers far slower than usual and others may be faster.
	ReasonSlow Reason = "slow"
	// ReasonDraining means that the backend server is leaving.
	ReasonDraining Reason = "draining"
	// ReasonDomainOut means that operators have taken the failure domain out.
	ReasonDomainOut Reason = "domainOut"
)

// RefuseEffect is the final answer "not run" to a request.
type RefuseEffect struct {
	// ID is the request.
	ID RequestID
	// Reason says why.
	Reason Reason
	// RetryAfter is when this gate may have room again; zero means never, ask elsewhere.
	RetryAfter time.Duration
}

// DrainedEffect says that nothing runs or waits any more after a DrainEvent.
type DrainedEffect struct{}

func (AdmitEffect) gateEffect()   {}
func (RefuseEffect) gateEffect()  {}
func (DrainedEffect) gateEffect() {}
