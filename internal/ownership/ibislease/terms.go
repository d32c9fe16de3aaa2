package ibislease

import (
	"errors"
	"time"
)

// Defaults of the lease terms, as DefaultTerms returns them.
const (
	// DefaultTerm is the default Terms.Term.
	DefaultTerm = 2400 * time.Millisecond
	// DefaultHeartbeat is the default Terms.Heartbeat.
	DefaultHeartbeat = 800 * time.Millisecond
	// DefaultDrift is the default Terms.Drift, a fraction.
	DefaultDrift = 0.01
	// DefaultGuard is the default Terms.Guard.
	DefaultGuard = 20 * time.Millisecond
)

// ErrInvalidTerms is returned by Terms.Validate for terms under which leases don't work.
var ErrInvalidTerms = errors.New("invalid lease terms")

// Terms are the durations of the lease protocol; all nodes must use the same.
type Terms struct {
	// Term is how long a witness or claimant waits, on its own clock, before it considers a lease lapsed.
	Term time.Duration
	// Heartbeat is the period of heartbeats, from which the periods of all retries are derived.
	Heartbeat time.Duration
	// Drift is the greatest rate error of a clock, as a fraction; the rates of two clocks differ by up to twice as much.
	Drift float64
	// Guard is the time reserved for passing on an order after the check of the lease that allows it.
	Guard time.Duration

	mutation mutation
}

// DefaultTerms returns the terms with which a takeover completes within 5 s.
func DefaultTerms() Terms {
	return Terms{
		Term:      DefaultTerm,
		Heartbeat: DefaultHeartbeat,
		Drift:     DefaultDrift,
		Guard:     DefaultGuard,
	}
}

// Validate returns ErrInvalidTerms unless two heartbeat periods fit in the validity, the heartbeat period is positive, the guard is
// not negative and the drift is within [0, 10%].
func (t Terms) Validate() error {
	if t.Drift < 0 || t.Drift > 0.1 || t.Heartbeat <= 0 || t.Guard < 0 {
		return ErrInvalidTerms
	}
	if t.Validity() < 2*t.Heartbeat {
		return ErrInvalidTerms
	}
	return nil
}

// Validity returns how long a renewal is valid, on the holder's clock and from when the holder sent it. It is shorter than
// the term by the greatest difference of two clocks' rates and by the guard.
func (t Terms) Validity() time.Duration {
	return t.leastElapsed(t.Term) - t.Guard
}

// leastElapsed returns the least time that passes on one clock while d passes on another.
func (t Terms) leastElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.Drift) / (1 + t.Drift))
}

// TakeoverWait returns the wait between the commit of a death and the first order under a new owner.
//
// It is zero for backend servers that check grants, otherwise the longest order deadline plus clock drift and the guard.
func (t Terms) TakeoverWait(checksGrants bool, longestDeadline time.Duration) time.Duration {
	if checksGrants {
		return 0
	}
	return t.Guard + time.Duration(float64(longestDeadline)*(1+t.Drift)/(1-t.Drift))
}

// mutation disables one rule of the protocol, so that tests can show that the rule is needed.
type mutation uint8

const (
	mutateNothing mutation = iota
	// mutateSkipPromise lets a claimant declare a member dead without promises.
	mutateSkipPromise
	// mutateOnePromise lets a claimant declare a member dead with the promise of one witness.
	mutateOnePromise
	// mutateNoWitnessWait lets a witness promise before a term without heartbeats has passed.
	mutateNoWitnessWait
	// mutateNoPauseCheck makes Holder.Valid return the validity as of the last event, which a pause of the process outdates.
	mutateNoPauseCheck
	// mutateReuseIncarnation lets a node join again under an incarnation that is dead.
	mutateReuseIncarnation
	// mutateIgnorePending makes a holder ignore the pending row, which may be in the table.
	mutateIgnorePending
	// mutateNoDirectWait lets a claimant declare a member with a direct row dead at once.
	mutateNoDirectWait
	// mutateIgnoreDeaths lets a holder commit its row without a condition on the deaths row.
	mutateIgnoreDeaths
	// mutateDropPendingEarly lets a holder drop a pending commit without a later read that shows whether it took effect.
	mutateDropPendingEarly
	// mutateCountVoid makes a holder count acknowledgements that it told the witness it would not count.
	mutateCountVoid
	// mutateIgnoreOrder makes a witness act on a heartbeat that arrives after one that was sent later.
	mutateIgnoreOrder
)
