package ibisslot

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// MaxStandbys is the greatest number of standbys of a slot.
const MaxStandbys = 2

// Assignment is the ownership of a slot or of a hot key; an assignment without an owner has the zero token.
type Assignment struct {
	// Owner is the member that owns the slot or key, zero if there is none.
	Owner ibisid.Member
	// Token is the fencing token, which increases with every change of owner.
	Token ibisid.Token
	// HandedOver reports whether the previous owner transferred its at-most-once records before the change of owner.
	HandedOver bool
	// Standbys are the standby members, in failure domains other than the owner's; an unused entry is zero.
	Standbys [MaxStandbys]ibisid.Member
}

// Override is the assignment of one hot key independently of its slot; it has no standbys.
type Override struct {
	// Key is the hash of the key.
	Key KeyHash
	// Assignment is the ownership of the key.
	Assignment Assignment
}

// PageID identifies a page by its space and its number.
type PageID struct {
	// Space is the slot space.
	Space ibisid.SlotSpace
	// Number is the position of the page in its space, starting at zero.
	Number uint32
}

// PagePrefix is the prefix of the table keys of all page rows.
const PagePrefix = "page/"

// RowKey returns the table key of the page's row.
func (id PageID) RowKey() string { return fmt.Sprintf("%s%s/%d", PagePrefix, id.Space, id.Number) }

// First returns the index of the page's first slot in its space.
func (id PageID) First() ibisid.SlotIndex {
	return ibisid.SlotIndex(id.Number * ibisid.SlotsPerPage)
}

// Compare orders pages by space and then by number, with the result of cmp.Compare.
func (id PageID) Compare(other PageID) int {
	return cmp.Or(
		cmp.Compare(id.Space.String(), other.Space.String()),
		cmp.Compare(id.Number, other.Number),
	)
}

// PageCount returns the number of pages that a space of the given number of slots has.
func PageCount(slots uint32) uint32 {
	return (slots + ibisid.SlotsPerPage - 1) / ibisid.SlotsPerPage
}

// Page holds the assignments of consecutive slots and of the hot keys within them. It is the content of one page row.
type Page struct {
	id          PageID
	version     ibisplatform.Version
	assignments []Assignment
	overrides   []Override
}

// NewPage returns a page of slots without owners and with version zero; slots is the number of slots of the whole space.
func NewPage(id PageID, slots uint32) *Page {
	return &Page{
		id:          id,
		assignments: make([]Assignment, slotsInPage(id, slots)),
	}
}

// slotsInPage returns the number of slots of the page; slots is the number of slots of the whole space.
func slotsInPage(id PageID, slots uint32) int {
	return int(min(slots-uint32(id.First()), ibisid.SlotsPerPage))
}

// ID returns the page's space and number.
func (p *Page) ID() PageID { return p.id }

// Version returns the version of the page's row, or zero if the page is not stored.
func (p *Page) Version() ibisplatform.Version { return p.version }

// Len returns the number of slots of the page.
func (p *Page) Len() int { return len(p.assignments) }

// Slot returns the assignment of the slot at position i within the page.
func (p *Page) Slot(i int) Assignment { return p.assignments[i] }

// Overrides returns the hot keys of the page in order of their hash. The caller must not modify the slice.
func (p *Page) Overrides() []Override { return p.overrides }

// Override returns the assignment of a hot key, and whether the page has an override for the key.
func (p *Page) Override(key KeyHash) (Assignment, bool) {
	i, ok := p.find(key)
	if !ok {
		return Assignment{}, false
	}
	return p.overrides[i].Assignment, true
}

// Position returns the position within the page of the slot that the key belongs to.
func (p *Page) Position(key KeyHash) int { return int(uint64(key) % uint64(len(p.assignments))) }

// HasOwner reports whether any slot or hot key of the page has an owner for which match returns true.
func (p *Page) HasOwner(match func(ibisid.Member) bool) bool {
	return slices.ContainsFunc(p.assignments, func(a Assignment) bool { return match(a.Owner) }) ||
		slices.ContainsFunc(p.overrides, func(o Override) bool { return match(o.Assignment.Owner) })
}

// Clone returns an independent copy of the page.
func (p *Page) Clone() *Page {
	return &Page{
		id:          p.id,
		version:     p.version,
		assignments: slices.Clone(p.assignments),
		overrides:   slices.Clone(p.overrides),
	}
}

// WithVersion returns a shallow copy of the page with the given row version; it shares the assignments with the original.
func (p *Page) WithVersion(v ibisplatform.Version) *Page {
	c := *p
	c.version = v
	return &c
}

// Assign changes the owner of the slot at position i and increments its token; the caller ensures that no standby is the owner.
func (p *Page) Assign(i int, owner ibisid.Member, handedOver bool) {
	a := &p.assignments[i]
	a.Owner = owner
	a.Token++
	a.HandedOver = handedOver
}

// SetStandbys changes the standbys of the slot at position i.
func (p *Page) SetStandbys(i int, standbys [MaxStandbys]ibisid.Member) {
	p.assignments[i].Standbys = standbys
}

// AssignKey assigns a hot key to an owner and increments its token; a new override starts from the token of its slot.
func (p *Page) AssignKey(key KeyHash, owner ibisid.Member, handedOver bool) {
	i, ok := p.find(key)
	if !ok {
		p.overrides = slices.Insert(p.overrides, i, Override{
			Key:        key,
			Assignment: Assignment{Token: p.assignments[p.Position(key)].Token},
		})
	}
	a := &p.overrides[i].Assignment
	a.Owner = owner
	a.Token++
	a.HandedOver = handedOver
}

// ReleaseKey removes the override of a hot key and raises the slot's token above the key's, since the slot's assignment
// applies to the key again. The slot's owner must already own the key.
func (p *Page) ReleaseKey(key KeyHash) {
	i, ok := p.find(key)
	if !ok {
		return
	}
	slot := &p.assignments[p.Position(key)]
	slot.Token = max(slot.Token, p.overrides[i].Assignment.Token) + 1
	p.overrides = slices.Delete(p.overrides, i, i+1)
}

// ValidateReplacement returns an error if the page must not replace the older one: a token decreased, the owner or the handover
// flag changed under the same token, or the numbers of slots differ. A removed override is compared with the assignment of the
// key's slot, which applies to the key again.
func (p *Page) ValidateReplacement(old *Page) error {
	if len(p.assignments) != len(old.assignments) {
		return fmt.Errorf("page %s has %d slots, expected %d", p.id.RowKey(), len(p.assignments), len(old.assignments))
	}
	for i, a := range p.assignments {
		if !a.mayReplace(old.assignments[i]) {
			return fmt.Errorf("page %s: slot %d: ownership under token %d must not replace that under token %d",
				p.id.RowKey(), i, a.Token, old.assignments[i].Token)
		}
	}
	for _, o := range old.overrides {
		next, ok := p.Override(o.Key)
		if !ok {
			next = p.assignments[p.Position(o.Key)]
		}
		if !next.mayReplace(o.Assignment) {
			return fmt.Errorf("page %s: hot key %x: ownership under token %d must not replace that under token %d",
				p.id.RowKey(), o.Key, next.Token, o.Assignment.Token)
		}
	}
	return nil
}

// mayReplace reports whether the assignment has a higher token than the old one, or the same token, owner and handover flag.
func (a Assignment) mayReplace(old Assignment) bool {
	return a.Token > old.Token || a.Token == old.Token && a.Owner == old.Owner && a.HandedOver == old.HandedOver
}

func (p *Page) find(key KeyHash) (int, bool) { return findOverride(p.overrides, key) }

func findOverride(overrides []Override, key KeyHash) (int, bool) {
	return slices.BinarySearchFunc(overrides, key, func(o Override, k KeyHash) int { return cmp.Compare(o.Key, k) })
}
