package ibismove

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Event is an input of a Batch.
type Event interface{ event() }

// IdleEvent reports that no request is running any more for a stopped unit.
type IdleEvent struct {
	// Unit is the stopped unit.
	Unit Unit
}

// HandOverAckedEvent reports that a target has stored the memory handed over to it.
type HandOverAckedEvent struct {
	// Target is the member that acknowledged.
	Target ibisid.Member
	// Sequence is that of the HandOverEffect.
	Sequence uint64
}

// TargetFailedEvent reports that a target refused, is unreachable, is leaving or died.
type TargetFailedEvent struct {
	// Target is the failed member.
	Target ibisid.Member
}

// LeaseExpiredEvent reports that the source's lease expired. The source never owns the units again under the tokens of the
// transfers.
type LeaseExpiredEvent struct{}

// CommitResultEvent is the response to a CommitEffect.
type CommitResultEvent struct {
	// CommitID is the id of the commit.
	CommitID string
	// Result is the result that the table returned.
	Result ibisplatform.CommitResult
}

// CommitUnknownEvent reports that the response to a CommitEffect was lost, so the outcome of the commit is unknown.
type CommitUnknownEvent struct {
	// CommitID is the id of the commit.
	CommitID string
}

// PageReadEvent is the response to a ReadPageEffect.
type PageReadEvent struct {
	// Page is the current page, or nil if the table did not respond.
	Page *ibisslot.Page
}

// TickEvent lets the batch check its deadline.
type TickEvent struct{}

func (IdleEvent) event()          {}
func (HandOverAckedEvent) event() {}
func (TargetFailedEvent) event()  {}
func (LeaseExpiredEvent) event()  {}
func (CommitResultEvent) event()  {}
func (CommitUnknownEvent) event() {}
func (PageReadEvent) event()      {}
func (TickEvent) event()          {}

// Effect is an action that a Batch requests from its caller. It applies to a unit only as owned under the token of its
// Transfer, since the source may own the unit again under a higher token before the outcome of the commit is known.
type Effect interface{ effect() }

// StopEffect requests that new requests for the units be held, and an IdleEvent for each unit once none of its requests is running.
type StopEffect struct {
	// Transfers are the units and their targets.
	Transfers []Transfer
}

// HandOverEffect requests that the at-most-once memory of the units be sent to their target, with the point in time since
// which the memory is complete.
type HandOverEffect struct {
	// Target is the intended new owner.
	Target ibisid.Member
	// Page is the page of the units.
	Page ibisslot.PageID
	// Sequence orders the hand-overs of the source.
	Sequence uint64
	// Transfers are the affected units.
	Transfers []Transfer
}

// CancelEffect requests a notification to a target that it may drop the memory handed over and the requests it queued.
type CancelEffect struct {
	// Target is the member that received the hand-over.
	Target ibisid.Member
	// Page is the page of the units.
	Page ibisslot.PageID
	// Sequence is that of the HandOverEffect.
	Sequence uint64
	// Transfers are the cancelled transfers.
	Transfers []Transfer
}

// CommitEffect requests a commit.
type CommitEffect struct {
	// Commit is the commit to send to the table.
	Commit ibisplatform.Commit
}

// ReadPageEffect requests the current page from the table.
type ReadPageEffect struct {
	// Page identifies the page.
	Page ibisslot.PageID
}

// ApplyPageEffect requests that the current page be applied before any later effect, so that no batch starts from an older one.
type ApplyPageEffect struct {
	// Page is the current page.
	Page *ibisslot.Page
	// EndedOverrides are the hot keys whose override ended, to be passed to Receiver.EndOverride.
	EndedOverrides []ibisslot.KeyHash
}

// ResumeEffect requests that the held requests of units that stay be run, and new ones admitted.
type ResumeEffect struct {
	// Transfers are the affected units.
	Transfers []Transfer
}

// MovedEffect requests that the held requests be forwarded to the new owners, the memory of the units be dropped and the
// page be broadcast to the other members.
type MovedEffect struct {
	// Page is the current page.
	Page *ibisslot.Page
	// Transfers are the affected units.
	Transfers []Transfer
}

// AbandonEffect requests that the held requests be answered as not run, since another member owns the units or will own them.
type AbandonEffect struct {
	// Transfers are the affected units.
	Transfers []Transfer
}

func (StopEffect) effect()      {}
func (HandOverEffect) effect()  {}
func (CancelEffect) effect()    {}
func (CommitEffect) effect()    {}
func (ReadPageEffect) effect()  {}
func (ApplyPageEffect) effect() {}
func (ResumeEffect) effect()    {}
func (MovedEffect) effect()     {}
func (AbandonEffect) effect()   {}
