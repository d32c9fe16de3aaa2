package ibiscalls

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// RunID identifies a run within one tracker, and CallID a request that may be a call.
type (
	// RunID identifies a run.
	RunID uint64
	// CallID identifies a request that may be a call.
	CallID uint64
)

// Event is an input of Tracker.Update.
type Event interface{ trackerEvent() }

// RunBeginEvent reports that a request is being sent to the own backend server.
type RunBeginEvent struct {
	// ID must not have been used at this tracker before.
	ID RunID
	// Class is the class of the request.
	Class ibisid.ClassName
	// Rank is its rank, where zero is the most urgent.
	Rank int
	// Target is the time until which its answer has its full value.
	Target time.Time
	// Deadline is the time after which its answer is of no use.
	Deadline time.Time
}

// RunEndEvent reports that a run has ended for the node.
type RunEndEvent struct {
	// ID is the run.
	ID RunID
	// Failed reports that the backend server answered with a status of 500 or above.
	Failed bool
	// Abandoned reports that there was no answer, so that the backend server may still work on it.
	Abandoned bool
}

// CallBeginEvent reports a request for another service that arrived from the own instance.
type CallBeginEvent struct {
	// ID must not have been used at this tracker before.
	ID CallID
	// Class is the class of the request.
	Class ibisid.ClassName
}

// CallEndEvent reports that such a request has ended.
type CallEndEvent struct {
	// ID is the request.
	ID CallID
	// Failed reports that it got no answer, or one with a status of 500 or above.
	Failed bool
	// Cancelled reports that its sender left before the end.
	Cancelled bool
}

func (RunBeginEvent) trackerEvent()  {}
func (RunEndEvent) trackerEvent()    {}
func (CallBeginEvent) trackerEvent() {}
func (CallEndEvent) trackerEvent()   {}

// Effect is what the tracker has learnt from an event.
type Effect interface{ trackerEffect() }

// CallsLearntEffect reports that runs of a class are now known to call a class.
type CallsLearntEffect struct {
	// Class is the class that is called.
	Class ibisid.ClassName
	// Caller is the class of the runs that call it.
	Caller ibisid.ClassName
}

// RunFailedEffect reports that a run failed because of its calls.
type RunFailedEffect struct {
	// Class is the class of the run.
	Class ibisid.ClassName
	// BeganAt is when the run began.
	BeganAt time.Time
}

// CallAnsweredEffect reports that a call by runs of a class was answered.
type CallAnsweredEffect struct {
	// Caller is the class of the runs.
	Caller ibisid.ClassName
}

func (CallsLearntEffect) trackerEffect()  {}
func (RunFailedEffect) trackerEffect()    {}
func (CallAnsweredEffect) trackerEffect() {}
