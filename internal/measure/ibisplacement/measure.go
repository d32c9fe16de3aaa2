package ibisplacement

import (
	"fmt"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// rounds is the number of losses and joins of one measurement.
const rounds = 10

// Result is what a measurement of a placement found.
type Result struct {
	// Initial is the greatest number of slots of a member over the mean before any change.
	Initial float64
	// Worst is the same at its worst after any change.
	Worst float64
	// JoinChurn is the mean number of slots that changed their owner at a join, in fair shares of a member.
	JoinChurn float64
	// LeaveChurn is the same for a loss.
	LeaveChurn float64
	// Commits is the mean number of pages that a loss changed.
	Commits float64
}

// Measure loses and joins members in turn, the real placement choosing the owners.
func Measure(space ibisid.SlotSpace, slots uint32, all []ibisplace.Candidate, domains int) Result {
	n := len(all)
	m := Fill(space, slots, all)
	initial := Imbalance(m, space, all)
	r := Result{
		Initial: initial,
		Worst:   initial,
	}
	fair := float64(slots) / float64(n)
	live := slices.Clone(all)
	for i := range rounds {
		gone := live[0]
		live = live[1:]
		moved, commits := leave(m, space, live, gone.Member)
		r.LeaveChurn += float64(moved) / fair / rounds
		r.Commits += float64(commits) / rounds
		r.Worst = max(r.Worst, Imbalance(m, space, live))
		live = append(live, Members(n+i, n+i+1, domains)...)
		r.JoinChurn += float64(join(m, space, live)) / fair / rounds
		r.Worst = max(r.Worst, Imbalance(m, space, live))
	}
	return r
}

// join rebalances towards the last of the live members and returns the number of slots that moved.
func join(m *ibisslot.Map, space ibisid.SlotSpace, live []ibisplace.Candidate) int {
	slots := m.Slots(space)
	placer := ibisplace.New(space, slots, live, Anywhere{})
	placer.CountLoads(m)
	moves := placer.Rebalance(m, ibisplace.NewBudget(float64(slots)), time.Unix(0, 0))
	pages := map[uint32]*ibisslot.Page{}
	for _, move := range moves {
		n := move.Slot.Page()
		if pages[n] == nil {
			pages[n], _ = m.Page(ibisslot.PageID{
				Space:  space,
				Number: n,
			})
		}
		i := int(move.Slot.Index) % ibisid.SlotsPerPage
		if pages[n].Slot(i).Owner != move.From {
			panic(fmt.Sprintf("move of slot %d from %v, who does not own it", move.Slot.Index, move.From))
		}
		pages[n].Assign(i, move.To, true)
	}
	for _, page := range pages {
		apply(m, page)
	}
	return len(moves)
}

// leave gives the slots of a lost member to the live ones and returns the numbers of slots and of pages that changed.
func leave(m *ibisslot.Map, space ibisid.SlotSpace, live []ibisplace.Candidate, gone ibisid.Member) (moved, commits int) {
	dead := func(member ibisid.Member) bool { return member == gone }
	placer := ibisplace.New(space, m.Slots(space), live, Anywhere{})
	placer.CountLoads(m)
	for _, a := range m.Affected(dead) {
		page, _ := m.Page(a.ID)
		next, changed := placer.Takeover(page, dead)
		moved += changed
		commits++
		apply(m, next)
	}
	return moved, commits
}

// apply takes a new state of a page into the map.
func apply(m *ibisslot.Map, page *ibisslot.Page) { m.Apply(page.WithVersion(page.Version() + 1)) }
