package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

type (
	// ChoiceEvent is something that happened to a chooser.
	ChoiceEvent = ibisbalancer.Event
	// ChoiceCandidatesEvent replaces the candidates; what was seen of those that stay is kept.
	ChoiceCandidatesEvent = ibisbalancer.CandidatesEvent
	// ChoiceSentEvent says that an attempt went to a candidate.
	ChoiceSentEvent = ibisbalancer.SentEvent
	// ChoiceDoneEvent is the end of an attempt.
	ChoiceDoneEvent = ibisbalancer.DoneEvent
	// ChoiceReportEvent is a load that a candidate reports of itself; it may be late or false and only tips the scales.
	ChoiceReportEvent = ibisbalancer.ReportEvent
)
