package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

type (
	// ChoiceEvent is an input of a chooser.
	ChoiceEvent = ibisbalancer.Event
	// ChoiceCandidatesEvent replaces the candidates; observations of those that remain are kept.
	ChoiceCandidatesEvent = ibisbalancer.CandidatesEvent
	// ChoiceAttemptSentEvent reports that an attempt was sent to a candidate.
	ChoiceAttemptSentEvent = ibisbalancer.AttemptSentEvent
	// ChoiceAttemptEndEvent reports that an attempt ended.
	ChoiceAttemptEndEvent = ibisbalancer.AttemptEndEvent
	// ChoiceLoadReportEvent is the load that a candidate reports for itself; the report may be late or wrong, so it has
	// little weight.
	ChoiceLoadReportEvent = ibisbalancer.LoadReportEvent
)
