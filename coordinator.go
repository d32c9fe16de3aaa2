package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
)

type (
	// Coordinator is the core of one member; it is not safe for concurrent use.
	Coordinator = ibiscoordinator.Coordinator
	// CommitIDs gives unique commit ids.
	CommitIDs = ibiscoordinator.IDs
)

const (
	// SecondCoordinatorDelay is how long the second coordinator of a page waits for the first.
	SecondCoordinatorDelay = ibiscoordinator.SecondCoordinatorDelay
	// PageWritesPerSecond is the budget of page commits of the whole system.
	PageWritesPerSecond = ibiscoordinator.WritesPerSecond
)

// NewCoordinator returns the coordinator of a member, which works on the member's own view of the pages.
func NewCoordinator(self Member, pages *SlotMap, rules PlacementRules, ids CommitIDs, options ...CoordinatorOption) *Coordinator {
	return ibiscoordinator.New(self, pages, rules, ids, options...)
}

// Coordinators returns the members that try to commit a page, the first in rank first.
func Coordinators(id PageID, live []Member) []Member { return ibiscoordinator.Coordinators(id, live) }
