package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

type (
	// Claim is the state machine that records one request in the table before the request runs; the row is never deleted
	// within the retention time.
	Claim = ibisidempotency.Claim
	// ClaimPhase is the progress of a claim.
	ClaimPhase = ibisidempotency.ClaimPhase
	// ClaimEvent is an input of a claim.
	ClaimEvent = ibisidempotency.ClaimEvent
	// ClaimAppliedEvent reports that the commit took effect.
	ClaimAppliedEvent = ibisidempotency.ClaimAppliedEvent
	// ClaimConflictEvent reports that a row already exists, possibly written by this claim's own commit.
	ClaimConflictEvent = ibisidempotency.ClaimConflictEvent
	// ClaimDeadlineEvent reports that the request's deadline passed.
	ClaimDeadlineEvent = ibisidempotency.ClaimDeadlineEvent
	// ClaimReadEvent is the result of reading the row.
	ClaimReadEvent = ibisidempotency.ClaimReadEvent
	// ClaimUnavailableEvent reports that the platform did not answer; the commit may have taken effect.
	ClaimUnavailableEvent = ibisidempotency.ClaimUnavailableEvent
	// ClaimEffect is an action that a claim requests.
	ClaimEffect = ibisidempotency.ClaimEffect
	// ClaimCommitEffect writes the row under the claim's commit id on the condition that none exists.
	ClaimCommitEffect = ibisidempotency.ClaimCommitEffect
	// ClaimReadEffect reads the row.
	ClaimReadEffect = ibisidempotency.ClaimReadEffect
	// ClaimEndEffect ends the claim: after ClaimRun the request is sent, after ClaimTaken its outcome is unknown, and
	// after ClaimExpired it is "not run".
	ClaimEndEffect = ibisidempotency.ClaimEndEffect
)

const (
	// ClaimCommitting means that the row is being written.
	ClaimCommitting = ibisidempotency.ClaimCommitting
	// ClaimReading means that the outcome of the commit is uncertain and the row is being read.
	ClaimReading = ibisidempotency.ClaimReading
	// ClaimRun means that the claim is committed and the request may be sent.
	ClaimRun = ibisidempotency.ClaimRun
	// ClaimTaken means that another run claimed the key first; its outcome is unknown to this claim.
	ClaimTaken = ibisidempotency.ClaimTaken
	// ClaimExpired means that the deadline passed before the commit was confirmed; the request did not run and this claim
	// never runs it.
	ClaimExpired = ibisidempotency.ClaimExpired
)

// NewClaim starts a claim under a commit id that no other claim uses, and returns its first effect.
func NewClaim(commitID string) (Claim, ClaimEffect) { return ibisidempotency.NewClaim(commitID) }
