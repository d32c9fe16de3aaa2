package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
)

type (
	// Coordinator assigns slots to members by committing pages to the table; it is not safe for concurrent use.
	Coordinator = ibiscoordinator.Coordinator
	// CommitIDs generates unique commit ids.
	CommitIDs = ibiscoordinator.IDs
)

const (
	// SecondCoordinatorDelay is how much later the second coordinator of a page acts than the first.
	SecondCoordinatorDelay = ibiscoordinator.SecondCoordinatorDelay
	// PageWritesPerSecond is the number of page commits per second allowed in the whole system.
	PageWritesPerSecond = ibiscoordinator.WritesPerSecond
)

// NewCoordinator returns the coordinator of a member; it reads and updates pages, the member's own view of the pages.
func NewCoordinator(
	self Member,
	pages *SlotMap,
	rules PlacementRules,
	ids CommitIDs,
	options ...CoordinatorOption,
) *Coordinator {
	return ibiscoordinator.New(self, pages, rules, ids, options...)
}

// Coordinators returns the live members that coordinate a page, at most two, the highest rank first.
func Coordinators(id PageID, live []Member) []Member { return ibiscoordinator.Coordinators(id, live) }
