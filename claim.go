package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

type (
	// Claim is the state of one claim; the row is never deleted within the retention time.
	Claim = ibisidempotency.Claim
	// ClaimPhase is how far a claim has come.
	ClaimPhase = ibisidempotency.ClaimPhase
	// ClaimEvent is something that happened to a claim.
	ClaimEvent = ibisidempotency.ClaimEvent
	// ClaimAppliedEvent says that the commit took effect.
	ClaimAppliedEvent = ibisidempotency.ClaimAppliedEvent
	// ClaimConflictEvent says that a row stands already, perhaps by this claim's own commit.
	ClaimConflictEvent = ibisidempotency.ClaimConflictEvent
	// ClaimDeadlineEvent says that the request's deadline passed.
	ClaimDeadlineEvent = ibisidempotency.ClaimDeadlineEvent
	// ClaimReadEvent is the row as it was read.
	ClaimReadEvent = ibisidempotency.ClaimReadEvent
	// ClaimUnavailableEvent says that the platform did not answer; a commit may have taken effect.
	ClaimUnavailableEvent = ibisidempotency.ClaimUnavailableEvent
	// ClaimEffect is what a claim wants done.
	ClaimEffect = ibisidempotency.ClaimEffect
	// ClaimCommitEffect writes the row under the claim's commit id on the condition that none stands.
	ClaimCommitEffect = ibisidempotency.ClaimCommitEffect
	// ClaimReadEffect reads the row.
	ClaimReadEffect = ibisidempotency.ClaimReadEffect
	// ClaimEndEffect ends the claim: ClaimRun hands the request over, ClaimTaken is unknown, ClaimGivenUp is "not run".
	ClaimEndEffect = ibisidempotency.ClaimEndEffect
)

const (
	// ClaimCommitting means that the row is being written.
	ClaimCommitting = ibisidempotency.ClaimCommitting
	// ClaimReading means that an answer was lost and the row is being read.
	ClaimReading = ibisidempotency.ClaimReading
	// ClaimRun means that the claim stands and the request may be handed over.
	ClaimRun = ibisidempotency.ClaimRun
	// ClaimTaken means that another run claimed the key first: the outcome is unknown here.
	ClaimTaken = ibisidempotency.ClaimTaken
	// ClaimGivenUp means that the deadline passed before the claim stood: nothing ran and nothing will.
	ClaimGivenUp = ibisidempotency.ClaimGivenUp
)

// NewClaim starts a claim under a commit id that no other claim uses, and returns its first effect.
func NewClaim(commitID string) (Claim, ClaimEffect) { return ibisidempotency.NewClaim(commitID) }
