package ibisbalancer

import (
	"cmp"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// maxSubsetCandidates is the greatest number of candidates of one group of SelectSubset that a chooser keeps. It is large enough
// that the loss of a few does not matter, and small enough that a node's memory, its connections and the time of a choice do
// not grow with the fleet.
const maxSubsetCandidates = 64

// SelectSubset returns the candidates that a node's chooser keeps of a large fleet. Of each group (own failure domain, rest
// of the own region, each other region) it keeps the first maxSubsetCandidates of an order that differs by node, so that
// each candidate is kept by about the same number of nodes. It limits the connections between thousands of nodes and
// thousands of backend servers.
func SelectSubset(own ibisid.NodeName, place ibisid.Place, candidates []Candidate) []Candidate {
	if len(candidates) <= maxSubsetCandidates {
		return candidates
	}
	type group struct {
		region    ibisid.RegionName
		samePlace bool
	}
	groups := make(map[group][]Candidate)
	for _, c := range candidates {
		g := group{
			region:    c.Place.Region,
			samePlace: c.Place == place,
		}
		groups[g] = append(groups[g], c)
	}
	var out []Candidate
	for _, members := range groups {
		if len(members) > maxSubsetCandidates {
			rank := make(map[ibisid.NodeName]uint64, len(members))
			for _, c := range members {
				rank[c.Node] = ibisid.HashKey(string(own) + "\x00" + string(c.Node))
			}
			slices.SortFunc(members, func(a, b Candidate) int {
				return cmp.Or(cmp.Compare(rank[a.Node], rank[b.Node]), cmp.Compare(a.Node, b.Node))
			})
			members = members[:maxSubsetCandidates]
		}
		out = append(out, members...)
	}
	return out
}
