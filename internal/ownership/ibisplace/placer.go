package ibisplace

import (
	"math"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	// LoadBound is the maximum load of a member as a multiple of its fair share. The limit is never below
	// the fair share rounded up to whole slots.
	LoadBound       = 1.1
	probeCount      = 16
	zeroShareFactor = 1e9
)

// Placer assigns the slots of one space to candidates. Its loads include the slots that it has assigned.
type Placer struct {
	space ibisid.SlotSpace
	slots uint32
	nodes []node
	index map[ibisid.Member]int
}

// New returns a placer for a space with the given number of slots. All loads are zero.
func New(space ibisid.SlotSpace, slots uint32, candidates []Candidate, rules Rules) *Placer {
	p := &Placer{
		space: space,
		slots: slots,
		nodes: eligibleNodes(space, candidates, rules),
		index: make(map[ibisid.Member]int, len(candidates)),
	}
	total := 0.0
	for i := range p.nodes {
		p.index[p.nodes[i].Member] = i
		total += p.nodes[i].weight
	}
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.weight == 0 {
			continue
		}
		n.fairShare = float64(slots) * n.weight / total
		n.limit = max(int(math.Ceil(n.fairShare)), int(n.fairShare*LoadBound))
	}
	return p
}

// CountLoads sets the loads from a view of the pages.
func (p *Placer) CountLoads(m *ibisslot.Map) {
	for i := range p.nodes {
		p.nodes[i].load = len(m.SlotsOf(p.space, p.nodes[i].Member))
	}
}

// Load returns the number of slots that a member owns, zero if it is not a candidate.
func (p *Placer) Load(m ibisid.Member) int {
	i, ok := p.index[m]
	if !ok {
		return 0
	}
	return p.nodes[i].load
}

// Limit returns the maximum number of slots that a member should own, zero if it is not a candidate.
func (p *Placer) Limit(m ibisid.Member) int {
	i, ok := p.index[m]
	if !ok {
		return 0
	}
	return p.nodes[i].limit
}

// ChooseOwner returns a new owner for a slot and adds the slot to its load, or false if no candidate is left. It prefers
// standbys of the slot, then owners of slots of the same page, then any candidate below its limit, then the least loaded.
func (p *Placer) ChooseOwner(slot ibisid.Slot, old ibisslot.Assignment, peers []ibisid.Member) (ibisid.Member, bool) {
	i := p.bestBelowLimit(slot, old.Standbys[:], old.Owner)
	if i < 0 {
		i = p.bestBelowLimit(slot, peers, old.Owner)
	}
	if i < 0 {
		i = p.bestProbe(slot, old.Owner)
	}
	if i < 0 {
		i = p.leastLoaded(old.Owner)
	}
	if i < 0 {
		return ibisid.Member{}, false
	}
	p.nodes[i].load++
	return p.nodes[i].Member, true
}

// bestBelowLimit returns the index of the member below its limit with the highest rendezvous score, or -1.
func (p *Placer) bestBelowLimit(slot ibisid.Slot, members []ibisid.Member, except ibisid.Member) int {
	best, bestScore := -1, 0.0
	for _, m := range members {
		i, ok := p.index[m]
		if !ok || m == except || p.nodes[i].load >= p.nodes[i].limit {
			continue
		}
		if s := p.score(slot, i); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// bestProbe tries up to probeCount candidates, selected by hash, and returns the index of the one below its limit with the
// highest rendezvous score, or -1.
func (p *Placer) bestProbe(slot ibisid.Slot, except ibisid.Member) int {
	best, bestScore := -1, 0.0
	for k := range min(probeCount, len(p.nodes)) {
		i := p.probeIndex(slot, k)
		if p.nodes[i].Member == except || p.nodes[i].load >= p.nodes[i].limit {
			continue
		}
		if s := p.score(slot, i); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func (p *Placer) leastLoaded(except ibisid.Member) int {
	best := -1
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.Member == except || n.limit == 0 {
			continue
		}
		if best < 0 || n.relativeLoad(1) < p.nodes[best].relativeLoad(1) {
			best = i
		}
	}
	return best
}

// probeIndex returns the index of the k-th candidate to try for a slot. With at most probeCount candidates, all are tried.
func (p *Placer) probeIndex(slot ibisid.Slot, k int) int {
	if len(p.nodes) <= probeCount {
		return k
	}
	return int(ibisslot.MixHashes(uint64(slot.Index), uint64(k)+1) % uint64(len(p.nodes)))
}

// score returns the weighted rendezvous score of a candidate for a slot.
func (p *Placer) score(slot ibisid.Slot, i int) float64 {
	h := ibisslot.MixHashes(p.nodes[i].hash, uint64(slot.Index))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -p.nodes[i].weight / math.Log(u)
}
