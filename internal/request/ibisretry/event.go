package ibisretry

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// RequestID identifies a request within one policy.
type RequestID uint64

// Attempt numbers the attempts of one request from 1.
type Attempt int

// Event is an input of Policy.Update.
type Event interface{ retryEvent() }

// StartEvent reports a new request.
type StartEvent struct {
	// ID must not have been used at this policy before.
	ID RequestID
	// Class is the class of the request.
	Class ibisid.ClassName
	// Idempotent reports that running the request twice is harmless.
	Idempotent bool
	// Hedge allows a second copy when the first attempt is slow; it has no effect unless the request is idempotent.
	Hedge bool
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
}

// AttemptEndEvent reports the end of an attempt.
type AttemptEndEvent struct {
	// ID is the request.
	ID RequestID
	// Attempt is the attempt that ended.
	Attempt Attempt
	// Outcome is the outcome of the attempt; OutcomeFailed is the backend server's own answer and is final.
	Outcome ibisid.Outcome
	// Latency is the time from sending the attempt to receiving the head of the answer.
	Latency time.Duration
	// Final forbids further attempts, whatever the outcome.
	Final bool
}

// CancelEvent reports that the caller has disconnected. Attempts in flight are cancelled if the request is idempotent;
// otherwise they run to their end.
type CancelEvent struct {
	// ID is the request.
	ID RequestID
}

// WakeEvent reports that the time of a WakeEffect is reached.
type WakeEvent struct {
	// ID is the request.
	ID RequestID
}

func (StartEvent) retryEvent()      {}
func (AttemptEndEvent) retryEvent() {}
func (CancelEvent) retryEvent()     {}
func (WakeEvent) retryEvent()       {}

// Effect is an action that Policy.Update requests from the policy's owner.
type Effect interface{ retryEffect() }

// SendEffect requests that an attempt be sent, to a candidate that no earlier attempt of the request used if there is one.
type SendEffect struct {
	// ID is the request.
	ID RequestID
	// Attempt is the new attempt.
	Attempt Attempt
	// Hedge marks a second copy that runs beside an attempt in flight.
	Hedge bool
}

// CancelEffect requests that an attempt in flight be cancelled.
type CancelEffect struct {
	// ID is the request.
	ID RequestID
	// Attempt is the attempt to cancel.
	Attempt Attempt
}

// WakeEffect requests a WakeEvent at a time.
type WakeEffect struct {
	// ID is the request.
	ID RequestID
	// At is the time of the WakeEvent.
	At time.Time
}

// FinishEffect ends the request: the caller receives the answer of an attempt.
type FinishEffect struct {
	// ID is the request.
	ID RequestID
	// Attempt is the attempt whose answer the caller receives.
	Attempt Attempt
	// Outcome is the outcome of the request.
	Outcome ibisid.Outcome
}

func (SendEffect) retryEffect()   {}
func (CancelEffect) retryEffect() {}
func (WakeEffect) retryEffect()   {}
func (FinishEffect) retryEffect() {}
