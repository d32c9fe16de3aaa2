package ibisowner

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

// rules evaluates the placement rules of the document in force; the control lock must be held.
type rules struct {
	manager    *Manager
	document   *ibisdoc.Document
	placements map[ibisid.SlotSpace]ibisdoc.Placement
	counts     map[ibisid.Place]int
	generation uint64
}

// Allowed reports whether slots of the space may have owners and standbys at the place.
func (r *rules) Allowed(space ibisid.SlotSpace, place ibisid.Place) bool {
	if r.manager.document == nil {
		return false
	}
	return r.placement(space).Allows(place.Domain)
}

// Weight returns the relative weight of a backend server at the place for the space, where 1 is the default.
func (r *rules) Weight(space ibisid.SlotSpace, place ibisid.Place) float64 {
	p := r.placement(space)
	i, found := slices.BinarySearch(p.Domains, place.Domain)
	if !found {
		return 0
	}
	return p.Weights[i] / r.sharers(p, place)
}

// sharers returns the number of backend servers that divide the share which a spread rule gives to their failure domain
// or region, and 1 without a spread rule.
func (r *rules) sharers(p ibisdoc.Placement, place ibisid.Place) float64 {
	if !p.SpreadRegions && !p.SpreadDomains {
		return 1
	}
	r.refreshCounts()
	if p.SpreadDomains {
		return float64(max(1, r.counts[place]))
	}
	return float64(max(1, r.counts[ibisid.Place{Region: place.Region}]))
}

// refreshCounts counts the backend servers of each failure domain and, with an empty domain, of each region.
func (r *rules) refreshCounts() {
	view := r.manager.view.Load()
	if r.counts != nil && view.generation == r.generation {
		return
	}
	r.generation = view.generation
	r.counts = make(map[ibisid.Place]int)
	for _, p := range view.byService[r.manager.service] {
		r.counts[p.Place]++
		r.counts[ibisid.Place{Region: p.Place.Region}]++
	}
}

func (r *rules) placement(space ibisid.SlotSpace) ibisdoc.Placement {
	if r.document != r.manager.document {
		r.document = r.manager.document
		r.placements = make(map[ibisid.SlotSpace]ibisdoc.Placement)
	}
	p, ok := r.placements[space]
	if !ok {
		p = r.document.Placement(space.Service, space.Home, "")
		r.placements[space] = p
	}
	return p
}

// checksGrants reports whether the backend server of a member rejects stale grants; it is false for unknown members.
func (m *Manager) checksGrants(member ibisid.Member) bool {
	if gone, dead := m.dead[member]; dead {
		return gone.checkedGrants
	}
	known := m.members[member.Name]
	return known != nil && known.row.Member == member && known.row.Announcement.ChecksGrants && known.row.State != ibislease.StateLeft
}
