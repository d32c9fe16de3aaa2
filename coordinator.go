package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibispage"
)

type (
	// Coordinator is the core of one member; it is not safe for concurrent use.
	Coordinator = ibispage.Coordinator
	// CommitIDs gives unique commit ids.
	CommitIDs = ibispage.IDs
)

const (
	// SecondCoordinatorDelay is how long the second coordinator of a page waits for the first.
	SecondCoordinatorDelay = ibispage.SecondCoordinatorDelay
	// PageWritesPerSecond is the budget of page commits of the whole system.
	PageWritesPerSecond = ibispage.WritesPerSecond
)

// NewCoordinator returns the coordinator of a member, which works on the member's own view of the pages.
func NewCoordinator(self Member, pages *SlotMap, rules PlacementRules, ids CommitIDs, options ...CoordinatorOption) *Coordinator {
	return ibispage.New(self, pages, rules, ids, options...)
}

// Coordinators returns the members that try to commit a page, the first in rank first.
func Coordinators(id PageID, live []Member) []Member { return ibispage.Coordinators(id, live) }
