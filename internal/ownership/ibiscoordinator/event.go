package ibiscoordinator

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Event is an input of a Coordinator.
type Event interface{ event() }

// SpaceEvent reports that a space is in use. Its pages without a row are then created.
type SpaceEvent struct {
	// Space is the slot space.
	Space ibisid.SlotSpace
	// Slots is the number of slots of the space, a power of two.
	Slots uint32
}

// LiveEvent adds or replaces live members.
type LiveEvent struct {
	// Candidates are the live members with their placement data.
	Candidates []ibisplace.Candidate
}

// LeftEvent removes members that left after handing over all their slots.
type LeftEvent struct {
	// Members are the members that left.
	Members []ibisid.Member
}

// DiedEvent removes members whose death is committed.
type DiedEvent struct {
	// Members are the dead members.
	Members []ibisid.Member
}

// DomainEvent sets the maximum fraction of its weight that counts for each member of a failure domain. Zero takes the domain
// out of service.
type DomainEvent struct {
	// Domain is the failure domain.
	Domain ibisid.DomainName
	// Share is the fraction of the weights, from 0 to 1.
	Share float64
}

// PageReceivedEvent delivers a page that another member broadcast.
type PageReceivedEvent struct {
	// Page is the received page.
	Page *ibisslot.Page
}

// PageReadEvent is the response to a ReadPageEffect.
type PageReadEvent struct {
	// ID identifies the page.
	ID ibisslot.PageID
	// Row is the row of the page; it is valid only if Found is true.
	Row ibisplatform.Row
	// Found reports whether the row exists.
	Found bool
	// Failed reports that the table did not respond.
	Failed bool
}

// CommitResultEvent is the response to a CommitEffect.
type CommitResultEvent struct {
	// ID identifies the page.
	ID ibisslot.PageID
	// CommitID is the id of the commit.
	CommitID string
	// Result is the result that the table returned.
	Result ibisplatform.CommitResult
}

// CommitUnknownEvent reports that the response to a CommitEffect was lost, so the outcome of the commit is unknown.
type CommitUnknownEvent struct {
	// ID identifies the page.
	ID ibisslot.PageID
	// CommitID is the id of the commit.
	CommitID string
}

// TickEvent lets the coordinator start the work that is due.
type TickEvent struct{}

func (SpaceEvent) event()         {}
func (LiveEvent) event()          {}
func (LeftEvent) event()          {}
func (DiedEvent) event()          {}
func (DomainEvent) event()        {}
func (PageReceivedEvent) event()  {}
func (PageReadEvent) event()      {}
func (CommitResultEvent) event()  {}
func (CommitUnknownEvent) event() {}
func (TickEvent) event()          {}

// Effect is an action that a Coordinator requests from its caller. Each read and each commit is answered by exactly one event.
type Effect interface{ effect() }

// ReadPageEffect requests the row of a page.
type ReadPageEffect struct {
	// ID identifies the page.
	ID ibisslot.PageID
}

// CommitEffect requests a commit of a page.
type CommitEffect struct {
	// ID identifies the page.
	ID ibisslot.PageID
	// Commit is the commit to send to the table.
	Commit ibisplatform.Commit
}

// BroadcastPageEffect requests that a committed page be sent to all members.
type BroadcastPageEffect struct {
	// Page is the committed page.
	Page *ibisslot.Page
}

// MovesEffect requests that owners move slots to other members.
type MovesEffect struct {
	// Moves are the requested moves.
	Moves []ibisplace.Move
}

func (ReadPageEffect) effect()      {}
func (CommitEffect) effect()        {}
func (BroadcastPageEffect) effect() {}
func (MovesEffect) effect()         {}

// IDs generates unique commit ids.
type IDs interface {
	// Next returns an id that was never used before.
	Next() string
}
