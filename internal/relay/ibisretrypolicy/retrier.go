package ibisretrypolicy

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// maxTries is the greatest number of nodes that one request is sent to; each refusal costs a round trip.
	maxTries = 4
	// minTimeLeft is the least time before the deadline at which another try is made.
	minTimeLeft = 60 * time.Millisecond
	// gateFullTargetDivisor divides the target: after a full gate, another gate is tried only within this fraction of the
	// target from the arrival. With a round trip between regions on top, the refusal is still sent within an eighth of usual
	// targets.
	gateFullTargetDivisor = 16
)

// Request contains the properties of a request that decide on its retries.
type Request struct {
	// Arrived is the time at which the request arrived.
	Arrived time.Time
	// Deadline is the time after which its answer is useless.
	Deadline time.Time
	// Target is the time from its arrival within which the answer is worth most.
	Target time.Duration
	// MaxAttempts is the greatest number of backend servers that it may reach.
	MaxAttempts int
	// Repeatable is true if running it twice does no harm.
	Repeatable bool
	// Resendable is true if its whole body can be sent again.
	Resendable bool
	// Keyed is true if only the owner of its key may run it.
	Keyed bool
}

// Try is the result of one try.
type Try struct {
	// Outcome is OutcomeDone with the backend server's answer, OutcomeNotRun, or OutcomeUnknown.
	Outcome ibisid.Outcome
	// Arrived is true if the request reached a backend server, even if the server rejected it.
	Arrived bool
	// GateFull is true if a gate refused the request because of its load.
	GateFull bool
	// Redirected is true if the refusal named another node as the owner of the key.
	Redirected bool
	// CallerGone is true if the caller has left.
	CallerGone bool
	// Suspect is true if backend servers have ended while they had the request, so that another one may end under it.
	Suspect bool
}

// Step is the next step after a try.
type Step string

const (
	// StepAnswer returns the backend server's answer to the caller.
	StepAnswer Step = "answer"
	// StepRetry sends the request to another node.
	StepRetry Step = "again"
	// StepFail ends the request without an answer.
	StepFail Step = "giveUp"
)

// Retrier records the tries of one request and decides on the next step.
type Retrier struct {
	request    Request
	tries      int
	arrivals   int
	mayHaveRun bool
}

// New returns the retrier of a request that has not been sent yet.
func New(request Request) *Retrier {
	return &Retrier{
		request: request,
	}
}

// Next records a try and returns the next step; a retry that may reach a second backend server is charged to the budget.
func (r *Retrier) Next(t Try, budget *Budget, now time.Time) Step {
	r.tries++
	if t.Arrived {
		r.arrivals++
	}
	if t.Outcome == ibisid.OutcomeDone {
		return StepAnswer
	}
	r.mayHaveRun = r.mayHaveRun || t.Outcome != ibisid.OutcomeNotRun
	if r.tries >= maxTries || r.request.Keyed && !t.Redirected || !r.mayRetry(t, budget, now) {
		return StepFail
	}
	return StepRetry
}

// mayRetry reports whether another try is allowed; it takes a retry from the budget if that try may reach a second backend
// server.
func (r *Retrier) mayRetry(t Try, budget *Budget, now time.Time) bool {
	switch {
	case t.CallerGone || t.Suspect || !r.request.Resendable || r.request.Deadline.Sub(now) < minTimeLeft:
		return false
	case t.Outcome == ibisid.OutcomeNotRun && !t.Arrived:
		// If one gate is full, others probably are too: the refusal must reach the caller before the delay costs the caller
		// anything.
		return !t.GateFull || now.Sub(r.request.Arrived) < r.request.Target/gateFullTargetDivisor
	case t.Outcome != ibisid.OutcomeNotRun && !r.request.Repeatable:
		return false
	case r.arrivals >= r.request.MaxAttempts:
		return false
	}
	return budget.TakeRetry()
}

// FinalOutcome returns the outcome of the whole request from the outcome of its last try: if that was refused but an earlier
// try may have run, the outcome is unknown.
func (r *Retrier) FinalOutcome(last ibisid.Outcome) ibisid.Outcome {
	if last == ibisid.OutcomeNotRun && r.mayHaveRun {
		return ibisid.OutcomeUnknown
	}
	return last
}
