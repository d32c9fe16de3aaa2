package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
)

type (
	// Placer assigns the slots of one space to candidates; its loads include the slots that it has assigned.
	Placer = ibisplace.Placer
	// PlacementCandidate is a live member that may own slots.
	PlacementCandidate = ibisplace.Candidate
	// PlacementRules are the operators' placement rules.
	PlacementRules = ibisplace.Rules
	// SlotMove asks the owner of a slot to hand it to another member.
	SlotMove = ibisplace.Move
	// MoveBudget limits the rate of moves that balance loads.
	MoveBudget = ibisplace.Budget
)

const (
	// LoadBound is the maximum load of a member as a multiple of its fair share; the limit is never below the fair share
	// rounded up to whole slots.
	LoadBound = ibisplace.LoadBound
)

// NewPlacer returns a placer that assigns the slots of one space to the candidates, initially without load.
func NewPlacer(space SlotSpace, slots uint32, candidates []PlacementCandidate, rules PlacementRules) *Placer {
	return ibisplace.New(space, slots, candidates, rules)
}

// NewMoveBudget returns a budget of moves per minute that is initially full.
func NewMoveBudget(movesPerMinute float64) *MoveBudget { return ibisplace.NewBudget(movesPerMinute) }

// AnyPlace implements PlacementRules without restrictions: every place is allowed and has weight 1.
type AnyPlace struct{}

// Allowed always returns true.
func (AnyPlace) Allowed(SlotSpace, Place) bool { return true }

// Weight always returns 1.
func (AnyPlace) Weight(SlotSpace, Place) float64 { return 1 }
