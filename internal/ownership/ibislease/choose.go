package ibislease

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

// WitnessCount is the number of witnesses of a member row that is not direct.
const WitnessCount = 3

// Candidate is a live node that may be a witness or a coordinator.
type Candidate struct {
	// Member is the node and its incarnation.
	Member ibisid.Member
	// Place is the region and the failure domain of the node.
	Place ibisid.Place
}

// ChooseWitnesses returns three witnesses in three failure domains, or nil if the candidates are in fewer domains.
//
// Candidates that are listed in kept are preferred; then come candidates of the own region in other failure domains, of the
// own failure domain, and of other regions.
func ChooseWitnesses(self Candidate, candidates []Candidate, kept []ibisid.Member) []ibisid.Member {
	keep := ibisset.Of(kept...)
	best := make(map[ibisid.DomainName]ranked)
	for _, c := range candidates {
		if c.Member.Name == self.Member.Name {
			continue
		}
		r := rank(self, c, keep.Has(c.Member))
		if b, ok := best[c.Place.Domain]; !ok || r.less(b) {
			best[c.Place.Domain] = r
		}
	}
	if len(best) < WitnessCount {
		return nil
	}
	order := make([]ranked, 0, len(best))
	for _, r := range best {
		order = append(order, r)
	}
	slices.SortFunc(order, ranked.compare)
	chosen := make([]ibisid.Member, 0, WitnessCount)
	for _, r := range order[:WitnessCount] {
		chosen = append(chosen, r.member)
	}
	return chosen
}

// ChooseCoordinators returns the n members that rank first for the key by rendezvous hashing, or all if there are fewer.
func ChooseCoordinators(key string, live []ibisid.Member, n int) []ibisid.Member {
	order := make([]ranked, 0, len(live))
	for _, m := range live {
		order = append(order, ranked{
			member: m,
			hash:   memberHash(key, m),
		})
	}
	slices.SortFunc(order, ranked.compare)
	chosen := make([]ibisid.Member, 0, n)
	for _, r := range order[:min(n, len(order))] {
		chosen = append(chosen, r.member)
	}
	return chosen
}

// ranked is a member with its sort key: lower tiers come first, then lower hashes.
type ranked struct {
	member ibisid.Member
	tier   int
	hash   uint64
}

// rank prefers kept witnesses, then other domains of the own region, then the own domain, then other regions.
func rank(self, c Candidate, kept bool) ranked {
	r := ranked{
		member: c.Member,
		hash:   memberHash(string(self.Member.Name), c.Member),
	}
	switch {
	case kept:
		r.tier = 0
	case c.Place.Domain == self.Place.Domain:
		r.tier = 2
	case c.Place.Region == self.Place.Region:
		r.tier = 1
	default:
		r.tier = 3
	}
	return r
}

func (r ranked) compare(o ranked) int {
	if c := cmp.Compare(r.tier, o.tier); c != 0 {
		return c
	}
	if c := cmp.Compare(r.hash, o.hash); c != 0 {
		return c
	}
	return compareMembers(r.member, o.member)
}

func (r ranked) less(o ranked) bool { return r.compare(o) < 0 }

func memberHash(key string, m ibisid.Member) uint64 {
	return xxh3.HashString(key + "\x00" + string(m.Name) + "\x00" + strconv.FormatUint(uint64(m.Incarnation), 16))
}
