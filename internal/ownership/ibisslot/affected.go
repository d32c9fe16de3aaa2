package ibisslot

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// AffectedPage is a page that refers to at least one of the queried members.
type AffectedPage struct {
	// ID identifies the page.
	ID PageID
	// Owned is the number of slots and hot keys of the page that the queried members own.
	Owned int
}

// References reports whether any page in the map has a slot that the member owns or is a standby of, or a hot key that the member
// owns.
func (m *Map) References(member ibisid.Member) bool {
	_, ok := m.members.numbers[member]
	m.EachOverride(func(_ ibisid.SlotSpace, o Override) { ok = ok || o.Assignment.Owner == member })
	return ok
}

// EachOverride calls f for every hot key of the pages in the map, in order of spaces and pages.
func (m *Map) EachOverride(f func(ibisid.SlotSpace, Override)) {
	for _, space := range m.order {
		for _, v := range m.spaces[space].pages {
			if v == nil {
				continue
			}
			for _, o := range v.overrides {
				f(space, o)
			}
		}
	}
}

// Affected returns the pages that refer to a member for which match returns true, in order of spaces and page numbers.
//
// A page refers to a member that owns one of its slots or hot keys or is a standby of one of its slots.
func (m *Map) Affected(match func(ibisid.Member) bool) []AffectedPage {
	marked := make([]bool, len(m.members.members))
	for n, member := range m.members.members {
		marked[n] = n > 0 && match(member)
	}
	var out []AffectedPage
	for _, space := range m.order {
		for number, v := range m.spaces[space].pages {
			if v == nil {
				continue
			}
			owned, refers := v.countOwned(marked, match)
			if !refers {
				continue
			}
			out = append(out, AffectedPage{
				ID: PageID{
					Space:  space,
					Number: uint32(number),
				},
				Owned: owned,
			})
		}
	}
	return out
}

// countOwned returns the number of slots and hot keys that the selected members own, and whether the page refers to any of
// these members.
//
// marked selects members by their number, match selects them by name and incarnation.
func (v *pageView) countOwned(marked []bool, match func(ibisid.Member) bool) (owned int, refers bool) {
	for i, owner := range v.owners {
		if marked[owner] {
			owned++
		}
		for _, s := range v.standbys[i] {
			refers = refers || marked[s]
		}
	}
	for _, o := range v.overrides {
		if match(o.Assignment.Owner) {
			owned++
		}
	}
	return owned, refers || owned > 0
}
