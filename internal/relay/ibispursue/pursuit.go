package ibispursue

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// maxTries bounds how many nodes are asked for one request; each refusal costs a round trip.
	maxTries = 4
	// leastLeft is the least time left that is worth another try.
	leastLeft = 60 * time.Millisecond
	// refusalShare of a target may pass before another gate is asked after one was full: with a round trip between
	// regions on top, a refusal is still out within an eighth of usual targets.
	refusalShare = 16
)

// Request is what decides how a request is pursued.
type Request struct {
	// Arrived is when it came.
	Arrived time.Time
	// Deadline is when its answer is of no more use.
	Deadline time.Time
	// Target is how long its class may take for the answer to be worth most.
	Target time.Duration
	// MaxAttempts is the number of backend servers that it may reach.
	MaxAttempts int
	// Repeatable says that running it twice does no harm.
	Repeatable bool
	// Resendable says that its whole body is still there.
	Resendable bool
	// Keyed says that only the owner of its key may run it.
	Keyed bool
}

// Try is how one try ended.
type Try struct {
	// Outcome is OutcomeDone with the backend server's answer, OutcomeNotRun, or OutcomeUnknown.
	Outcome ibisid.Outcome
	// Arrived says that the request reached a backend server, also where that turned it away.
	Arrived bool
	// Full says that a gate refused because of the load on it.
	Full bool
	// Redirected says that another node was named as the owner of the key.
	Redirected bool
	// Gone says that the caller has left.
	Gone bool
}

// Step is what follows a try.
type Step string

const (
	// StepAnswer gives the caller the backend server's answer.
	StepAnswer Step = "answer"
	// StepAgain asks another node.
	StepAgain Step = "again"
	// StepGiveUp ends the request without an answer.
	StepGiveUp Step = "giveUp"
)

// Pursuit follows one request through its tries.
type Pursuit struct {
	request    Request
	tries      int
	arrivals   int
	mayHaveRun bool
}

// New returns the pursuit of a request that was not sent yet.
func New(request Request) *Pursuit {
	return &Pursuit{
		request: request,
	}
}

// After takes a try in and returns what follows; the budget pays for what is sent to a second backend server.
func (p *Pursuit) After(t Try, budget *Budget, now time.Time) Step {
	p.tries++
	if t.Arrived {
		p.arrivals++
	}
	if t.Outcome == ibisid.OutcomeDone {
		return StepAnswer
	}
	p.mayHaveRun = p.mayHaveRun || t.Outcome == ibisid.OutcomeUnknown
	if p.tries >= maxTries || p.request.Keyed && !t.Redirected || !p.again(t, budget, now) {
		return StepGiveUp
	}
	return StepAgain
}

func (p *Pursuit) again(t Try, budget *Budget, now time.Time) bool {
	switch {
	case t.Gone || !p.request.Resendable || p.request.Deadline.Sub(now) < leastLeft:
		return false
	case t.Outcome == ibisid.OutcomeNotRun && !t.Arrived:
		// Where gates are full elsewhere will be too: the caller hears so while that is no loss yet.
		return !t.Full || now.Sub(p.request.Arrived) < p.request.Target/refusalShare
	case t.Outcome == ibisid.OutcomeUnknown && !p.request.Repeatable:
		return false
	case p.arrivals >= p.request.MaxAttempts:
		return false
	}
	return budget.Spend()
}

// Final returns the outcome of the whole request whose last try ended so: after a refusal, an earlier try may have run, and
// then "not run" would not be true.
func (p *Pursuit) Final(last ibisid.Outcome) ibisid.Outcome {
	if last == ibisid.OutcomeNotRun && p.mayHaveRun {
		return ibisid.OutcomeUnknown
	}
	return last
}
