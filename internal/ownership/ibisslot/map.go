package ibisslot

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Map holds a node's latest version of the pages of all slot spaces. It is not safe for concurrent use.
type Map struct {
	members memberTable
	spaces  map[ibisid.SlotSpace]*spaceView
	order   []ibisid.SlotSpace
}

// spaceView holds the pages of one space; owners is nil until the first lookup by owner after a change.
type spaceView struct {
	slots  uint32
	pages  []*pageView
	owners *ownerIndex
}

// pageView is a page with its members replaced by their numbers in the member table, which takes less memory.
type pageView struct {
	version    ibisplatform.Version
	owners     []memberNumber
	standbys   [][MaxStandbys]memberNumber
	tokens     []ibisid.Token
	handedOver []bool
	overrides  []Override
}

// NewMap returns a map without spaces or pages.
func NewMap() *Map {
	return &Map{
		members: newMemberTable(),
		spaces:  map[ibisid.SlotSpace]*spaceView{},
	}
}

// AddSpace adds a space with the given number of slots, which must be a power of two; an existing space is left unchanged.
func (m *Map) AddSpace(space ibisid.SlotSpace, slots uint32) {
	if m.spaces[space] != nil {
		return
	}
	m.spaces[space] = &spaceView{
		slots: slots,
		pages: make([]*pageView, PageCount(slots)),
	}
	m.order = append(m.order, space)
	slices.SortFunc(m.order, func(a, b ibisid.SlotSpace) int {
		return PageID{Space: a}.Compare(PageID{Space: b})
	})
}

// Spaces returns the spaces of the map in order of their names. The caller must not modify the slice.
func (m *Map) Spaces() []ibisid.SlotSpace { return m.order }

// Slots returns the number of slots of a space, or zero for a space that the map doesn't have.
func (m *Map) Slots(space ibisid.SlotSpace) uint32 {
	s := m.spaces[space]
	if s == nil {
		return 0
	}
	return s.slots
}

// Fits reports whether the map has the page's space, the space has a page of this number, and the page has the right
// number of slots.
func (m *Map) Fits(p *Page) bool {
	s := m.spaces[p.id.Space]
	if s == nil || int(p.id.Number) >= len(s.pages) {
		return false
	}
	return p.Len() == slotsInPage(p.id, s.slots)
}

// Apply stores the page if it fits and has a higher version than the stored one, and reports whether it stored it.
func (m *Map) Apply(p *Page) bool {
	if !m.Fits(p) {
		return false
	}
	s := m.spaces[p.id.Space]
	old := s.pages[p.id.Number]
	if old != nil && old.version >= p.version {
		return false
	}
	s.pages[p.id.Number] = m.newView(p)
	m.releaseMembers(old)
	s.owners = nil
	return true
}

// Version returns the version of a page, or zero for a page that the map doesn't have.
func (m *Map) Version(id PageID) ibisplatform.Version {
	v := m.page(id)
	if v == nil {
		return 0
	}
	return v.version
}

// Page returns a copy of a page, and whether the map has it.
func (m *Map) Page(id PageID) (*Page, bool) {
	v := m.page(id)
	if v == nil {
		return nil, false
	}
	p := &Page{
		id:          id,
		version:     v.version,
		assignments: make([]Assignment, len(v.owners)),
		overrides:   slices.Clone(v.overrides),
	}
	for i := range p.assignments {
		p.assignments[i] = m.assignment(v, i)
	}
	return p, true
}

// Locate returns the assignment of a slot, and whether the slot has an owner.
func (m *Map) Locate(slot ibisid.Slot) (Assignment, bool) {
	v := m.page(PageID{
		Space:  slot.Space,
		Number: slot.Page(),
	})
	if v == nil {
		return Assignment{}, false
	}
	i := int(slot.Index) % ibisid.SlotsPerPage
	if i >= len(v.owners) || v.owners[i] == 0 {
		return Assignment{}, false
	}
	return m.assignment(v, i), true
}

// LocateKey returns the assignment of a key and whether the map finds one: the override of a hot key, otherwise the
// assignment of its slot if the slot has an owner.
func (m *Map) LocateKey(space ibisid.SlotSpace, key KeyHash) (Assignment, bool) {
	s := m.spaces[space]
	if s == nil {
		return Assignment{}, false
	}
	slot := uint32(key.Slot(s.slots))
	v := s.pages[slot/ibisid.SlotsPerPage]
	if v == nil {
		return Assignment{}, false
	}
	if i, ok := findOverride(v.overrides, key); ok {
		return v.overrides[i].Assignment, true
	}
	i := int(slot % ibisid.SlotsPerPage)
	return m.assignment(v, i), v.owners[i] != 0
}

func (m *Map) page(id PageID) *pageView {
	s := m.spaces[id.Space]
	if s == nil || int(id.Number) >= len(s.pages) {
		return nil
	}
	return s.pages[id.Number]
}

func (m *Map) assignment(v *pageView, i int) Assignment {
	a := Assignment{
		Owner:      m.members.get(v.owners[i]),
		Token:      v.tokens[i],
		HandedOver: v.handedOver[i],
	}
	for j, n := range v.standbys[i] {
		a.Standbys[j] = m.members.get(n)
	}
	return a
}

// newView returns the view of a page and adds references to its members, which releaseMembers removes.
func (m *Map) newView(p *Page) *pageView {
	n := len(p.assignments)
	v := &pageView{
		version:    p.version,
		owners:     make([]memberNumber, n),
		standbys:   make([][MaxStandbys]memberNumber, n),
		tokens:     make([]ibisid.Token, n),
		handedOver: make([]bool, n),
		overrides:  slices.Clone(p.overrides),
	}
	for i, a := range p.assignments {
		v.owners[i] = m.members.acquire(a.Owner)
		v.tokens[i] = a.Token
		v.handedOver[i] = a.HandedOver
		for j, s := range a.Standbys {
			v.standbys[i][j] = m.members.acquire(s)
		}
	}
	return v
}

func (m *Map) releaseMembers(v *pageView) {
	if v == nil {
		return
	}
	for i, n := range v.owners {
		m.members.release(n)
		for _, s := range v.standbys[i] {
			m.members.release(s)
		}
	}
}
