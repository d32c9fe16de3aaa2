package ibiscaller

const (
	// HeaderOutcome states on every refusal whether the request ran: notRun, unknown or failed.
	HeaderOutcome = "Ibis-Outcome"
	// HeaderDeadline is the time limit that the caller sets for the request, as a duration such as "1500ms".
	HeaderDeadline = "Ibis-Deadline"
	// HeaderIdempotencyKey identifies a non-idempotent request, so that a repeat gets the answer to the first one.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRepeated is "true" on a stored answer to an earlier request with the same Idempotency-Key.
	HeaderRepeated = "Ibis-Repeated"
)

// MaxIdempotencyKeyBytes is the maximum length of an Idempotency-Key in bytes.
const MaxIdempotencyKeyBytes = 200
