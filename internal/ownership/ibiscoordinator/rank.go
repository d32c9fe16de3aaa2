package ibiscoordinator

import (
	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	coordinatorsPerPage = 2
	notCoordinator      = -1
)

// liveMember is a live member with its hash for rendezvous scores.
type liveMember struct {
	candidate ibisplace.Candidate
	hash      uint64
}

func pageHash(id ibisslot.PageID) uint64 {
	return ibisslot.MixHashes(xxh3.HashString(id.Space.String()), uint64(id.Number))
}

// Coordinators returns the live members that coordinate a page, at most two, the highest rank first.
func Coordinators(id ibisslot.PageID, live []ibisid.Member) []ibisid.Member {
	page := pageHash(id)
	var best [coordinatorsPerPage]ibisid.Member
	var scores [coordinatorsPerPage]uint64
	for _, m := range live {
		score := ibisslot.MixHashes(ibisslot.MemberHash(m), page)
		for i := range best {
			if best[i].IsZero() || score > scores[i] {
				best[i], m = m, best[i]
				scores[i], score = score, scores[i]
			}
			if m.IsZero() {
				break
			}
		}
	}
	return best[:min(len(live), coordinatorsPerPage)]
}

// rank returns the index of the member among the coordinators of a page, or notCoordinator.
func (c *Coordinator) rank(id ibisslot.PageID) int {
	page := pageHash(id)
	own, ok := c.live[c.self]
	if !ok {
		return notCoordinator
	}
	score, before := ibisslot.MixHashes(own.hash, page), 0
	for _, hash := range c.hashes {
		if ibisslot.MixHashes(hash, page) > score {
			before++
			if before == coordinatorsPerPage {
				return notCoordinator
			}
		}
	}
	return before
}

// setLive adds or replaces a live member. It ignores dead members, about which an older event may arrive late.
func (c *Coordinator) setLive(candidate ibisplace.Candidate) {
	if c.isDead(candidate.Member) {
		return
	}
	old, known := c.live[candidate.Member]
	entry := liveMember{
		candidate: candidate,
		hash:      old.hash,
	}
	if !known {
		entry.hash = ibisslot.MemberHash(candidate.Member)
		c.hashes = append(c.hashes, entry.hash)
	}
	c.live[candidate.Member] = entry
}

// removeLive removes members and reports whether any was live.
func (c *Coordinator) removeLive(members []ibisid.Member) bool {
	before := len(c.live)
	for _, m := range members {
		delete(c.live, m)
	}
	if len(c.live) == before {
		return false
	}
	c.hashes = c.hashes[:0]
	for _, entry := range c.live {
		c.hashes = append(c.hashes, entry.hash)
	}
	return true
}

// Placer returns a placer for a space with the live members as candidates and their present loads.
func (c *Coordinator) Placer(space ibisid.SlotSpace) *ibisplace.Placer {
	candidates := make([]ibisplace.Candidate, 0, len(c.live))
	for _, entry := range c.live {
		candidate := entry.candidate
		if share, ok := c.shares[candidate.Place.Domain]; ok {
			candidate.Share = min(candidate.Share, share)
		}
		candidates = append(candidates, candidate)
	}
	p := ibisplace.New(space, c.pages.Slots(space), candidates, c.rules)
	p.CountLoads(c.pages)
	return p
}
