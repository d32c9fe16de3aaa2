package ibisplace

import (
	"cmp"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

// Candidate is a live member that may own slots.
type Candidate struct {
	// Member identifies the member.
	Member ibisid.Member
	// Place is the region and failure domain of the member.
	Place ibisid.Place
	// Weight is the capacity of its backend server relative to the others, where 1 is normal.
	Weight float64
	// Share is the fraction of the weight that counts, from 0 for a domain taken out of service to 1.
	Share float64
}

// Rules are the operators' placement rules.
type Rules interface {
	// Allowed reports whether members at the place may own slots of the space or be standbys for them.
	Allowed(space ibisid.SlotSpace, place ibisid.Place) bool
	// Weight returns the factor for the weights of members at the place, where 1 is normal.
	Weight(space ibisid.SlotSpace, place ibisid.Place) float64
}

// node is an allowed candidate with its load, and the limit of its load, in slots.
type node struct {
	Candidate
	hash      uint64
	weight    float64
	fairShare float64
	limit     int
	load      int
}

// eligibleNodes returns the allowed candidates in order of their hashes.
func eligibleNodes(space ibisid.SlotSpace, candidates []Candidate, rules Rules) []node {
	nodes := make([]node, 0, len(candidates))
	for _, c := range candidates {
		if !rules.Allowed(space, c.Place) {
			continue
		}
		nodes = append(nodes, node{
			Candidate: c,
			hash:      ibisslot.MemberHash(c.Member),
			weight:    max(0, c.Weight*c.Share*rules.Weight(space, c.Place)),
		})
	}
	slices.SortFunc(nodes, func(a, b node) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Member.Name, b.Member.Name))
	})
	return nodes
}

// relativeLoad returns the load after adding slots, as a multiple of the fair share. With a fair share of zero, any load is
// higher than that of every other member.
func (n *node) relativeLoad(added int) float64 {
	if n.fairShare == 0 {
		return float64(n.load+added) * zeroShareFactor
	}
	return float64(n.load+added) / n.fairShare
}
