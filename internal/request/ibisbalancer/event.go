package ibisbalancer

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// AttemptID identifies one attempt within one chooser.
type AttemptID uint64

// Event is an input to a chooser.
type Event interface{ chooserEvent() }

// CandidatesEvent replaces the candidates; the state of those that remain is kept.
type CandidatesEvent struct {
	// Candidates lists the candidates in any order.
	Candidates []Candidate
}

// AttemptSentEvent reports that an attempt was sent to a candidate.
type AttemptSentEvent struct {
	// ID identifies the attempt; it differs from those of all outstanding attempts to the candidate.
	ID AttemptID
	// Node is the candidate that the attempt was sent to.
	Node ibisid.NodeName
	// Class is the class of the request.
	Class ibisid.ClassName
}

// Result is the outcome of an attempt.
type Result string

const (
	// ResultDone means that the backend server answered.
	ResultDone Result = "done"
	// ResultRefused means that the candidate's admission gate refused the attempt as "not run".
	ResultRefused Result = "refused"
	// ResultFailed means that the connection or the backend server failed.
	ResultFailed Result = "failed"
	// ResultCancelled means that the caller cancelled the attempt; its age still counts as a latency where it is long.
	ResultCancelled Result = "cancelled"
)

// AttemptEndEvent reports the end of an attempt.
type AttemptEndEvent struct {
	// ID is the attempt.
	ID AttemptID
	// Node is the candidate that it went to.
	Node ibisid.NodeName
	// Result is the outcome.
	Result Result
	// Latency is the time until the headers of the answer arrived.
	Latency time.Duration
	// RetryAfter is the delay that a refusal asks for, zero for none.
	RetryAfter time.Duration
	// GateLoad is the load in the answer of the candidate's admission gate: running and waiting requests as a share of its limit.
	GateLoad float64
	// Bytes is the size of request and answer, charged to the byte budget of the candidate's region.
	Bytes int64
}

// LoadReportEvent is a load that a candidate reports about itself. It may be late or wrong, so it has little weight.
type LoadReportEvent struct {
	// Node is the candidate.
	Node ibisid.NodeName
	// Load is the share of its capacity in use, from 0 to 1.
	Load float64
	// At is when the load was measured.
	At time.Time
}

func (CandidatesEvent) chooserEvent()  {}
func (AttemptSentEvent) chooserEvent() {}
func (AttemptEndEvent) chooserEvent()  {}
func (LoadReportEvent) chooserEvent()  {}
