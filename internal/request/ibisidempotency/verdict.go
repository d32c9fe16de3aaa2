package ibisidempotency

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Verdict is the result of checking a request against the memory.
type Verdict string

const (
	// VerdictRun means that the request is new and is admitted as Response.Run.
	VerdictRun Verdict = "run"
	// VerdictRepeat means that the request has already run; Response.Answer holds its first answer.
	VerdictRepeat Verdict = "repeat"
	// VerdictRunning means that the first run has not ended; the caller retries after Response.RetryAfter.
	VerdictRunning Verdict = "running"
	// VerdictUnknown means that the request may already have run, so it is not run again.
	VerdictUnknown Verdict = "unknown"
	// VerdictRefused means that this request was not run, for Response.Reason.
	VerdictRefused Verdict = "refuse"
)

// Reason is the cause of a VerdictRefused.
type Reason string

const (
	// ReasonNotOwned means that the node holds no memory of the slot.
	ReasonNotOwned Reason = "notOwned"
	// ReasonMoving means that the slot is being moved to another owner and admits no new request.
	ReasonMoving Reason = "moving"
	// ReasonMismatch means that the key was used before with a different fingerprint.
	ReasonMismatch Reason = "mismatch"
	// ReasonFull means that the memory is full and holds only keys that have not expired.
	ReasonFull Reason = "full"
	// ReasonFuture means that the time in a UUID is further ahead of the node's clock than Config.Skew.
	ReasonFuture Reason = "future"
	// ReasonBadTicket means that a ticket is damaged or forged, or belongs to another tenant or slot.
	ReasonBadTicket Reason = "badTicket"
	// ReasonBadKey means that the key is empty, or is not a ticket and longer than 200 bytes.
	ReasonBadKey Reason = "badKey"
)

// Fingerprint is a hash of method, path and body that distinguishes a repeat from another request under the same key.
type Fingerprint [16]byte

// BeginEvent is a request that is to be checked and admitted.
type BeginEvent struct {
	// Slot is the slot of the request, or its hot key where the hot key has its own owner.
	Slot ibisid.Slot
	// Hash is the hash of the request's sharding key; it selects the entries of a hot key within its slot.
	Hash uint64
	// Tenant is the tenant; each tenant has its own idempotency keys.
	Tenant ibisid.TenantName
	// Key is the idempotency key as the caller sent it.
	Key string
	// Fingerprint distinguishes a repeat from another request under the same key.
	Fingerprint Fingerprint
}

// Response is the memory's decision about a request.
type Response struct {
	// Verdict is the decision.
	Verdict Verdict
	// Reason is the cause of a VerdictRefused, empty otherwise.
	Reason Reason
	// RetryAfter is the delay before a refused or running request is retried; zero where a delay does not help.
	RetryAfter time.Duration
	// Run identifies the run that VerdictRun starts.
	Run Run
	// Answer is the first answer for VerdictRepeat; it shares the memory's storage and must not be modified.
	Answer Answer
}

// Run identifies one run of a request; each Begin that admits a request makes a new one.
type Run struct {
	slot   ibisid.Slot
	id     entryKey
	number uint64
}

// Answer is a backend server's answer as far as it is kept.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Headers lists the kept headers.
	Headers []Header
	// Body is the body.
	Body []byte
	// Truncated reports that the request has run but its headers and body were dropped for lack of space.
	Truncated bool
}

// Header is one header line.
type Header struct {
	// Name is the header's name.
	Name string
	// Value is the header's value.
	Value string
}

const headerOverheadBytes = 32

func (a Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value) + headerOverheadBytes
	}
	return n
}
