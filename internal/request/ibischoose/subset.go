package ibischoose

import (
	"cmp"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// subsetSize is the greatest number of candidates of one tier that a chooser keeps: enough that the loss of a few is no
// matter, and few enough that a node's memory, its connections and the time of a choice don't grow with the fleet.
const subsetSize = 64

// Subset returns the candidates that a node's chooser keeps of a large fleet: of each distance (own failure domain, own
// region, each other region) the first of an order that differs from node to node, so that all candidates are kept by about
// as many nodes. It answers the load pattern of thousands of doors that each hold connections to thousands of servers.
func Subset(own ibisid.NodeName, place ibisid.Place, candidates []Candidate) []Candidate {
	if len(candidates) <= subsetSize {
		return candidates
	}
	type group struct {
		region ibisid.RegionName
		near   bool
	}
	groups := make(map[group][]Candidate)
	for _, c := range candidates {
		g := group{
			region: c.Place.Region,
			near:   c.Place == place,
		}
		groups[g] = append(groups[g], c)
	}
	var out []Candidate
	for _, members := range groups {
		if len(members) > subsetSize {
			rank := make(map[ibisid.NodeName]uint64, len(members))
			for _, c := range members {
				rank[c.Node] = ibisid.HashKey(string(own) + "\x00" + string(c.Node))
			}
			slices.SortFunc(members, func(a, b Candidate) int {
				return cmp.Or(cmp.Compare(rank[a.Node], rank[b.Node]), cmp.Compare(a.Node, b.Node))
			})
			members = members[:subsetSize]
		}
		out = append(out, members...)
	}
	return out
}
