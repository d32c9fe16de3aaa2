package ibisidempotency

// ClaimPhase is the state of a claim.
type ClaimPhase string

const (
	// ClaimCommitting means that the claim's row is being written to the platform's table.
	ClaimCommitting ClaimPhase = "committing"
	// ClaimReading means that the outcome of the commit is uncertain and the row is being read.
	ClaimReading ClaimPhase = "reading"
	// ClaimRun means that this claim's row is committed and the request may be sent to the backend server.
	ClaimRun ClaimPhase = "run"
	// ClaimTaken means that another run claimed the key first; its outcome is unknown to this claim.
	ClaimTaken ClaimPhase = "taken"
	// ClaimExpired means that the deadline passed before the row was confirmed; the request is not run.
	ClaimExpired ClaimPhase = "givenUp"
)

// ClaimEvent is an input to the state machine of a claim.
type ClaimEvent interface{ claimEvent() }

// ClaimAppliedEvent reports that the commit took effect.
type ClaimAppliedEvent struct{}

// ClaimConflictEvent reports that a row already exists, possibly written by this claim's own commit.
type ClaimConflictEvent struct{}

// ClaimUnavailableEvent reports that the platform did not answer; the commit may have taken effect.
type ClaimUnavailableEvent struct{}

// ClaimReadEvent is the result of reading the row.
type ClaimReadEvent struct {
	// Found reports whether a row exists.
	Found bool
	// CommitID is the id of the commit that wrote the row.
	CommitID string
}

// ClaimDeadlineEvent reports that the request's deadline passed.
type ClaimDeadlineEvent struct{}

func (ClaimAppliedEvent) claimEvent()     {}
func (ClaimConflictEvent) claimEvent()    {}
func (ClaimUnavailableEvent) claimEvent() {}
func (ClaimReadEvent) claimEvent()        {}
func (ClaimDeadlineEvent) claimEvent()    {}

// ClaimEffect is an action that the caller of Update carries out.
type ClaimEffect interface{ claimEffect() }

// ClaimCommitEffect writes the row under the claim's commit id, on condition that no row exists.
type ClaimCommitEffect struct {
	// CommitID is the id of the commit; a repeat carries the same.
	CommitID string
}

// ClaimReadEffect reads the row.
type ClaimReadEffect struct{}

// ClaimEndEffect ends the claim: after ClaimRun the request is sent, after ClaimTaken its outcome is unknown, after
// ClaimExpired it is not run.
type ClaimEndEffect struct {
	// Phase is the final phase.
	Phase ClaimPhase
}

func (ClaimCommitEffect) claimEffect() {}
func (ClaimReadEffect) claimEffect()   {}
func (ClaimEndEffect) claimEffect()    {}

// Claim is the state machine that writes the row of one idempotency key to the platform's table before the request runs, so
// that at most one run of the key is sent to a backend server. The row is not deleted within the retention time.
type Claim struct {
	commitID string
	phase    ClaimPhase
}

// NewClaim starts a claim under a commit id that no other claim uses, and returns its first effect.
func NewClaim(commitID string) (Claim, ClaimEffect) {
	c := Claim{
		commitID: commitID,
		phase:    ClaimCommitting,
	}
	return c, ClaimCommitEffect{
		CommitID: commitID,
	}
}

// Phase returns the phase of the claim.
func (c Claim) Phase() ClaimPhase { return c.phase }

// Update returns the claim after the event and the next effect, nil for none.
func (c Claim) Update(event ClaimEvent) (Claim, ClaimEffect) {
	if c.phase != ClaimCommitting && c.phase != ClaimReading {
		return c, nil
	}
	switch e := event.(type) {
	case ClaimAppliedEvent:
		return c.end(ClaimRun)
	case ClaimConflictEvent, ClaimUnavailableEvent:
		c.phase = ClaimReading
		return c, ClaimReadEffect{}
	case ClaimReadEvent:
		return c.read(e)
	case ClaimDeadlineEvent:
		return c.end(ClaimExpired)
	}
	return c, nil
}

func (c Claim) read(e ClaimReadEvent) (Claim, ClaimEffect) {
	if !e.Found {
		c.phase = ClaimCommitting
		return c, ClaimCommitEffect{
			CommitID: c.commitID,
		}
	}
	if e.CommitID == c.commitID {
		return c.end(ClaimRun)
	}
	return c.end(ClaimTaken)
}

func (c Claim) end(phase ClaimPhase) (Claim, ClaimEffect) {
	c.phase = phase
	return c, ClaimEndEffect{
		Phase: phase,
	}
}
