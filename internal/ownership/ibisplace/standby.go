package ibisplace

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// ChooseStandbys returns the standbys of a slot. The owner and all standbys are in different failure domains. It prefers existing
// standbys that are still eligible, then owners of slots of the same page, then any candidate.
func (p *Placer) ChooseStandbys(slot ibisid.Slot, owner ibisid.Member, old [ibisslot.MaxStandbys]ibisid.Member, peers []ibisid.Member) [ibisslot.MaxStandbys]ibisid.Member {
	c := standbyChoice{placer: p}
	if i, ok := p.index[owner]; ok {
		c.domains[0] = p.nodes[i].Place.Domain
	}
	for _, m := range old {
		if i, ok := p.index[m]; ok {
			c.tryAdd(i)
		}
	}
	for !c.full() {
		i := c.bestOf(slot, peers)
		if i < 0 {
			break
		}
		c.tryAdd(i)
	}
	for k := 0; k < min(2*probeCount, len(p.nodes)) && !c.full(); k++ {
		c.tryAdd(p.probeIndex(slot, k))
	}
	return c.chosen
}

// standbyChoice collects the standbys of one slot.
type standbyChoice struct {
	placer *Placer
	// domains are the failure domains already used: first that of the owner, then those of the chosen standbys.
	domains [ibisslot.MaxStandbys + 1]ibisid.DomainName
	chosen  [ibisslot.MaxStandbys]ibisid.Member
	count   int
}

func (c *standbyChoice) full() bool { return c.count == len(c.chosen) }

func (c *standbyChoice) fits(i int) bool {
	if c.full() || c.placer.nodes[i].limit == 0 {
		return false
	}
	for _, d := range c.domains[:c.count+1] {
		if d == c.placer.nodes[i].Place.Domain {
			return false
		}
	}
	return true
}

func (c *standbyChoice) tryAdd(i int) {
	if !c.fits(i) {
		return
	}
	c.chosen[c.count] = c.placer.nodes[i].Member
	c.count++
	c.domains[c.count] = c.placer.nodes[i].Place.Domain
}

// bestOf returns the index of the fitting peer with the highest rendezvous score, or -1.
func (c *standbyChoice) bestOf(slot ibisid.Slot, peers []ibisid.Member) int {
	best, bestScore := -1, 0.0
	for _, m := range peers {
		i, ok := c.placer.index[m]
		if !ok || !c.fits(i) {
			continue
		}
		if s := c.placer.score(slot, i); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
