package ibisbalancer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// MaxPeers is the greatest number of candidates that a node keeps for one service.
const MaxPeers = 32

// SelectPeers picks at most limit candidates for a node: half from its failure domain, a quarter from its region, the rest from
// other regions; what a tier cannot fill goes to the nearest tier that can. Within a tier the rendezvous hash of node and
// candidate decides, so that each backend server is kept by about the same number of nodes.
func SelectPeers(config Config, self ibisid.NodeName, all []Candidate, limit int) []Candidate {
	tiers := make([][]Candidate, tierRemote+1)
	for _, candidate := range all {
		t := min(config.tier(candidate.Place), tierRemote)
		tiers[t] = append(tiers[t], candidate)
	}
	for _, t := range tiers {
		sortByRendezvous(self, t)
	}
	quotas := []int{limit / 2, limit / 4, limit - limit/2 - limit/4}
	var picked []Candidate
	for t, quota := range quotas {
		n := min(quota, len(tiers[t]))
		picked = append(picked, tiers[t][:n]...)
		tiers[t] = tiers[t][n:]
	}
	for _, rest := range tiers {
		n := min(limit-len(picked), len(rest))
		picked = append(picked, rest[:n]...)
	}
	return picked
}

type ranked struct {
	candidate Candidate
	hash      uint64
}

func sortByRendezvous(self ibisid.NodeName, list []Candidate) {
	order := make([]ranked, len(list))
	for i, c := range list {
		order[i] = ranked{
			candidate: c,
			hash:      xxh3.HashString(string(self) + "\x00" + string(c.Node)),
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.candidate.Node, b.candidate.Node))
	})
	for i, r := range order {
		list[i] = r.candidate
	}
}
