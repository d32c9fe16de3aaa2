package ibisgossip

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// NeighboursInDomain is the number of neighbours that a node chooses in its own failure domain.
	NeighboursInDomain = 3
	// NeighboursInRegion is the number of neighbours that a node chooses in other failure domains of its region.
	NeighboursInRegion = 1
	// NeighboursOutside is the number of neighbours that a node chooses in other regions.
	NeighboursOutside = 1
	// MaxNeighbours bounds the links of a node, including those that other nodes chose.
	MaxNeighbours = 24
)

// Neighbour is a node with which rows are exchanged.
type Neighbour struct {
	// Name is the node's name.
	Name ibisid.NodeName
	// Place is the region and failure domain of the node.
	Place ibisid.Place
}

// ChooseNeighbours returns the nodes to which a node opens links, by rendezvous hashing. A link carries messages both ways.
//
// Every node chooses three others in its failure domain, pseudo-randomly by hash, so that the domain is connected with a
// probability close to 1, and two in other domains, so that the domains are connected to each other.
func ChooseNeighbours(self Neighbour, live []Neighbour) []Neighbour {
	var domain, region, outside topWeighted
	domain.limit, region.limit, outside.limit = NeighboursInDomain, NeighboursInRegion, NeighboursOutside
	seed := xxh3.HashString(string(self.Name))
	for _, n := range live {
		switch {
		case n.Name == self.Name:
		case n.Place.Domain == self.Place.Domain:
			domain.add(seed, n)
		case n.Place.Region == self.Place.Region:
			region.add(seed, n)
		default:
			outside.add(seed, n)
		}
	}
	var chosen []Neighbour
	for _, list := range [][]weightedNode{domain.best, region.best, outside.best} {
		for _, w := range list {
			chosen = append(chosen, w.node)
		}
	}
	return chosen
}

type weightedNode struct {
	node   Neighbour
	weight uint64
}

// topWeighted keeps the nodes of highest weight, up to its limit.
type topWeighted struct {
	limit int
	best  []weightedNode
}

func (l *topWeighted) add(seed uint64, n Neighbour) {
	w := weightedNode{
		node:   n,
		weight: xxh3.HashStringSeed(string(n.Name), seed),
	}
	if len(l.best) == l.limit && w.weight <= l.best[l.limit-1].weight {
		return
	}
	l.best = append(l.best, w)
	slices.SortFunc(l.best, func(a, b weightedNode) int { return cmp.Compare(b.weight, a.weight) })
	l.best = l.best[:min(len(l.best), l.limit)]
}
