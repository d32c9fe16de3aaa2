package ibisplace

import (
	"math"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// underloadedShare is the fraction of its fair share below which a member receives slots even from members within their limits.
const underloadedShare = 0.75

// Budget is a token bucket that bounds the rate of rebalancing moves.
type Budget struct {
	perMinute float64
	tokens    float64
	updatedAt time.Time
}

// NewBudget returns a full budget of the given number of moves per minute.
func NewBudget(movesPerMinute float64) *Budget {
	return &Budget{
		perMinute: movesPerMinute,
		tokens:    movesPerMinute,
	}
}

// Available returns the number of moves that may start now.
func (b *Budget) Available(now time.Time) int {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.tokens = min(b.perMinute, b.tokens+b.perMinute*now.Sub(b.updatedAt).Minutes())
	}
	b.updatedAt = now
	return int(b.tokens)
}

// Spend removes moves from the budget.
func (b *Budget) Spend(moves int) { b.tokens -= float64(moves) }

// Move is a request to the owner of a slot to hand it over to another member.
type Move struct {
	// Slot is the slot to move.
	Slot ibisid.Slot
	// From is the present owner.
	From ibisid.Member
	// To is the new owner.
	To ibisid.Member
}

// Rebalance returns moves within the budget, and none if all loads are within their bounds. CountLoads must have been called.
func (p *Placer) Rebalance(m *ibisslot.Map, budget *Budget, now time.Time) []Move {
	var moves []Move
	movedFrom := make([]int, len(p.nodes))
	for range budget.Available(now) {
		to := p.leastLoadedBelowLimit()
		if to < 0 {
			break
		}
		from := p.donor(m, to)
		if from < 0 {
			break
		}
		moves = append(moves, p.move(m, from, to, movedFrom))
	}
	budget.Spend(len(moves))
	return moves
}

// move plans the move of the last slot of from that this rebalancing has not moved yet, and updates the loads. The element
// movedFrom[i] is the number of slots already moved from candidate i.
func (p *Placer) move(m *ibisslot.Map, from, to int, movedFrom []int) Move {
	slots := m.SlotsOf(p.space, p.nodes[from].Member)
	movedFrom[from]++
	p.nodes[from].load--
	p.nodes[to].load++
	return Move{
		Slot: ibisid.Slot{
			Space: p.space,
			Index: slots[len(slots)-movedFrom[from]],
		},
		From: p.nodes[from].Member,
		To:   p.nodes[to].Member,
	}
}

// leastLoadedBelowLimit returns the index of the candidate with the lowest relative load, or -1 if all are at their limits.
func (p *Placer) leastLoadedBelowLimit() int {
	best := -1
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.load < n.limit && (best < 0 || n.relativeLoad(1) < p.nodes[best].relativeLoad(1)) {
			best = i
		}
	}
	return best
}

// donor returns the index of the candidate that should release a slot, or -1 if all loads are within their bounds. It is
// the candidate with the highest relative load among those above their limits or, for an underloaded receiver, among all.
// A donor must stay at least as loaded as the receiver after the move. Ties go to the candidate whose first slot is nearest
// after a slot derived from the receiver's hash.
func (p *Placer) donor(m *ibisslot.Map, to int) int {
	receiver := &p.nodes[to]
	underloaded := receiver.load < int(receiver.fairShare*underloadedShare)
	preferredStart := uint32(receiver.hash % uint64(p.slots))
	best, bestLoad, bestDistance := -1, 0.0, uint32(math.MaxUint32)
	for i := range p.nodes {
		n := &p.nodes[i]
		if i == to || n.load == 0 || !underloaded && n.load <= n.limit || n.relativeLoad(-1) < receiver.relativeLoad(1) {
			continue
		}
		load := n.relativeLoad(0)
		if load < bestLoad {
			continue
		}
		distance := p.distance(m, n.Member, preferredStart)
		if load > bestLoad || distance < bestDistance {
			best, bestLoad, bestDistance = i, load, distance
		}
	}
	return best
}

// distance returns the cyclic distance, in slots, from start forward to the first slot of a member.
func (p *Placer) distance(m *ibisslot.Map, owner ibisid.Member, start uint32) uint32 {
	slots := m.SlotsOf(p.space, owner)
	if len(slots) == 0 {
		return math.MaxUint32
	}
	return (uint32(slots[0]) - start) & (p.slots - 1)
}
