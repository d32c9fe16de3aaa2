package ibisplace

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// Initial returns a page of a new space. Each member gets its fair share as one contiguous range of slots, so that few
// members share a page and the loss of a member requires few commits.
func (p *Placer) Initial(number uint32) *ibisslot.Page {
	page := ibisslot.NewPage(p.pageID(number), p.slots)
	first := float64(page.ID().First())
	end, next := 0.0, 0
	for i := range p.nodes {
		end += p.nodes[i].fairShare
		for ; next < page.Len() && first+float64(next)+0.5 < end; next++ {
			page.Assign(next, p.nodes[i].Member, false)
		}
	}
	p.fillStandbys(page)
	return page
}

// fillStandbys replaces the standbys of a page that are missing or no longer eligible.
func (p *Placer) fillStandbys(page *ibisslot.Page) {
	peers := p.peers(page)
	for i := range page.Len() {
		a := page.Slot(i)
		if !a.Owner.IsZero() {
			page.SetStandbys(i, p.ChooseStandbys(p.slot(page, i), a.Owner, a.Standbys, peers))
		}
	}
}

// peers returns the owners of slots of a page that are candidates, in order of their first slot.
func (p *Placer) peers(page *ibisslot.Page) []ibisid.Member {
	var peers []ibisid.Member
	seen := map[ibisid.Member]bool{}
	for i := range page.Len() {
		owner := page.Slot(i).Owner
		if _, ok := p.index[owner]; ok && !seen[owner] {
			seen[owner] = true
			peers = append(peers, owner)
		}
	}
	return peers
}

func (p *Placer) pageID(n uint32) ibisslot.PageID {
	return ibisslot.PageID{
		Space:  p.space,
		Number: n,
	}
}

func (p *Placer) slot(page *ibisslot.Page, i int) ibisid.Slot {
	return ibisid.Slot{
		Space: p.space,
		Index: page.ID().First() + ibisid.SlotIndex(i),
	}
}
