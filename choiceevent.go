package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

type (
	// ChoiceEvent is something that happened to a chooser.
	ChoiceEvent = ibisbalancer.Event
	// ChoiceCandidatesEvent replaces the candidates; observations of those that remain are kept.
	ChoiceCandidatesEvent = ibisbalancer.CandidatesEvent
	// ChoiceAttemptSentEvent reports that an attempt was sent to a candidate.
	ChoiceAttemptSentEvent = ibisbalancer.AttemptSentEvent
	// ChoiceAttemptEndEvent is the end of an attempt.
	ChoiceAttemptEndEvent = ibisbalancer.AttemptEndEvent
	// ChoiceLoadReportEvent is the load that a candidate reports of itself; it may be late or wrong, so it has little weight.
	ChoiceLoadReportEvent = ibisbalancer.LoadReportEvent
)
