package ibisslot

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// ownerIndex lists the slots of a space by owner: those of member n are slots[starts[n]:starts[n+1]].
type ownerIndex struct {
	starts []uint32
	slots  []ibisid.SlotIndex
}

// SlotsOf returns the slots of a space that the member owns, in order. The caller must not modify the slice.
func (m *Map) SlotsOf(space ibisid.SlotSpace, owner ibisid.Member) []ibisid.SlotIndex {
	s := m.spaces[space]
	n, ok := m.members.numbers[owner]
	if s == nil || !ok {
		return nil
	}
	if s.owners == nil {
		s.owners = s.buildIndex(len(m.members.members))
	}
	if int(n)+1 >= len(s.owners.starts) {
		return nil
	}
	return s.owners.slots[s.owners.starts[n]:s.owners.starts[n+1]]
}

// buildIndex groups the slots by owner with a counting sort; members is the length of the member table.
//
// The number of slots of member n is counted in starts[n+2]. After summation starts[n+1] is where the slots of member n begin,
// and after the second pass, which increments it for each slot, where those of member n+1 begin.
func (s *spaceView) buildIndex(members int) *ownerIndex {
	starts := make([]uint32, members+2)
	s.eachSlot(func(n memberNumber, _ ibisid.SlotIndex) { starts[n+2]++ })
	for i := 1; i < len(starts); i++ {
		starts[i] += starts[i-1]
	}
	slots := make([]ibisid.SlotIndex, starts[len(starts)-1])
	s.eachSlot(func(n memberNumber, slot ibisid.SlotIndex) {
		slots[starts[n+1]] = slot
		starts[n+1]++
	})
	return &ownerIndex{
		starts: starts[:members+1],
		slots:  slots,
	}
}

// eachSlot calls f with the owner's number and the index of every slot of the stored pages.
func (s *spaceView) eachSlot(f func(memberNumber, ibisid.SlotIndex)) {
	for number, page := range s.pages {
		if page == nil {
			continue
		}
		for i, owner := range page.owners {
			f(owner, ibisid.SlotIndex(number*ibisid.SlotsPerPage+i))
		}
	}
}
