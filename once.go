package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

type (
	// OnceMemory records the non-idempotent requests of the slots that a node owns.
	OnceMemory = ibisidempotency.Memory
	// OnceConfig holds the limits and the ticket key of a memory.
	OnceConfig = ibisidempotency.Config
	// OnceBeginEvent is a request that asks to run.
	OnceBeginEvent = ibisidempotency.BeginEvent
	// OnceFingerprint is a hash of method, path and body that distinguishes a repeat from another request under the same
	// key.
	OnceFingerprint = ibisidempotency.Fingerprint
	// OnceResponse is the decision of the memory on a request.
	OnceResponse = ibisidempotency.Response
	// OnceRun identifies one run of a request; no run is started twice.
	OnceRun = ibisidempotency.Run
	// OnceAnswer is the answer of the backend server.
	OnceAnswer = ibisidempotency.Answer
	// OnceHeader is one header line.
	OnceHeader = ibisidempotency.Header
	// OnceTakeover is the kind of takeover of a slot without a record of its earlier requests.
	OnceTakeover = ibisidempotency.Takeover
	// OnceVerdict is the decision on a request.
	OnceVerdict = ibisidempotency.Verdict
	// OnceReason is the cause of a refusal.
	OnceReason = ibisidempotency.Reason
	// OnceRecord is the memory of one slot as it is transferred to another owner.
	OnceRecord = ibisidempotency.Record
	// OnceEntry is one ended request.
	OnceEntry = ibisidempotency.EntryRecord
)

const (
	// OnceTakeoverFresh means that the slot never had an owner before.
	OnceTakeoverFresh = ibisidempotency.TakeoverFresh
	// OnceTakeoverLossy means that an earlier owner's memory was not handed over.
	OnceTakeoverLossy = ibisidempotency.TakeoverLossy
	// OnceRunNow means that the request is new and now runs under OnceResponse.Run.
	OnceRunNow = ibisidempotency.VerdictRun
	// OnceRepeat means that the request ran and OnceResponse.Answer is its first answer.
	OnceRepeat = ibisidempotency.VerdictRepeat
	// OnceRunning means that the request is still running; the caller may repeat it later.
	OnceRunning = ibisidempotency.VerdictRunning
	// OnceUnknown means that the request may or may not have run, and is not run.
	OnceUnknown = ibisidempotency.VerdictUnknown
	// OnceRefused means that this request was not run, for OnceResponse.Reason.
	OnceRefused = ibisidempotency.VerdictRefused
	// OnceReasonNotOwned means that the node holds no memory of the slot.
	OnceReasonNotOwned = ibisidempotency.ReasonNotOwned
	// OnceReasonMoving means that the slot's memory is being transferred to another owner.
	OnceReasonMoving = ibisidempotency.ReasonMoving
	// OnceReasonMismatch means that the key was used for another request.
	OnceReasonMismatch = ibisidempotency.ReasonMismatch
	// OnceReasonFull means that the memory is full and no entry may be evicted.
	OnceReasonFull = ibisidempotency.ReasonFull
	// OnceReasonFuture means that a UUID's time is further ahead of the clock than the configured skew.
	OnceReasonFuture = ibisidempotency.ReasonFuture
	// OnceReasonBadTicket means that a ticket is damaged, forged, or of another tenant or slot.
	OnceReasonBadTicket = ibisidempotency.ReasonBadTicket
	// OnceReasonBadKey means that the key is empty or too long.
	OnceReasonBadKey = ibisidempotency.ReasonBadKey
)

// NewOnceMemory returns a memory without slots; it panics if the key that signs tickets is shorter than 16 bytes.
func NewOnceMemory(ticketKey []byte, options ...OnceOption) *OnceMemory {
	config := OnceConfig{
		TicketKey: ticketKey,
	}
	for _, option := range options {
		option(&config)
	}
	return ibisidempotency.New(config)
}

// EncodeOnceRecord encodes a record for a planned move; it returns an error if the record cannot be encoded.
func EncodeOnceRecord(record OnceRecord) ([]byte, error) { return ibisidempotency.EncodeRecord(record) }

// DecodeOnceRecord decodes a record; it returns an error if the bytes are damaged.
func DecodeOnceRecord(data []byte) (OnceRecord, error) { return ibisidempotency.DecodeRecord(data) }
