package ibisid

// Outcome states whether a request ran, as far as it can be determined when the final answer is sent.
type Outcome string

const (
	// OutcomeDone means that the backend server ran the request and produced the answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no part of the request was sent to a backend server, so it is safe to retry.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the backend server ran the request and failed, or that the request is invalid.
	OutcomeFailed Outcome = "failed"
)
