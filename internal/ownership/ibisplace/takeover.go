package ibisplace

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// Takeover returns the page with new owners for the slots and hot keys of dead members, and the number of slots and keys
// that got one. Those without a candidate keep their dead owner.
func (p *Placer) Takeover(page *ibisslot.Page, dead func(ibisid.Member) bool) (*ibisslot.Page, int) {
	next, changed := page.Clone(), 0
	p.replaceDead(page, dead, func(i int, owner ibisid.Member) {
		next.Assign(i, owner, false)
		changed++
	})
	for _, o := range page.Overrides() {
		if !dead(o.Assignment.Owner) {
			continue
		}
		owner := next.Slot(page.Position(o.Key)).Owner
		if !dead(owner) {
			next.AssignKey(o.Key, owner, false)
			changed++
		}
	}
	p.fillStandbys(next)
	return next, changed
}

// Reserve adds the load of a takeover of the page that another coordinator will commit.
func (p *Placer) Reserve(page *ibisslot.Page, dead func(ibisid.Member) bool) {
	p.replaceDead(page, dead, func(int, ibisid.Member) {})
}

// replaceDead assigns new owners to the slots without a live owner.
func (p *Placer) replaceDead(page *ibisslot.Page, dead func(ibisid.Member) bool, assign func(i int, owner ibisid.Member)) {
	peers := p.peers(page)
	for i := range page.Len() {
		a := page.Slot(i)
		if !a.Owner.IsZero() && !dead(a.Owner) {
			continue
		}
		if owner, ok := p.ChooseOwner(p.slot(page, i), a, peers); ok {
			assign(i, owner)
		}
	}
}

// Targets returns a function that chooses new owners for the slots of a page, by position, for a drain. It never chooses
// the present owner. Hot keys get the targets of their slots.
func (p *Placer) Targets(page *ibisslot.Page) func(position int) (ibisid.Member, bool) {
	peers := p.peers(page)
	return func(position int) (ibisid.Member, bool) {
		return p.ChooseOwner(p.slot(page, position), page.Slot(position), peers)
	}
}
