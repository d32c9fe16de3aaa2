package ibisowner

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
)

// interned holds one copy of each string that many member rows repeat, to save memory.
type interned map[string]string

func (i interned) intern(s string) string {
	if known, ok := i[s]; ok {
		return known
	}
	i[s] = s
	return s
}

// internRow returns the row with strings that other rows repeat replaced by the shared copies.
func (m *Manager) internRow(r ibislease.Row) ibislease.Row {
	t := m.interned
	r.Place.Region = ibisid.RegionName(t.intern(string(r.Place.Region)))
	r.Place.Domain = ibisid.DomainName(t.intern(string(r.Place.Domain)))
	r.Announcement.Service = ibisid.ServiceName(t.intern(string(r.Announcement.Service)))
	r.State = ibislease.State(t.intern(string(r.State)))
	r.Witnesses = slices.Clip(slices.Clone(r.Witnesses))
	for i, w := range r.Witnesses {
		if known := m.members[w.Name]; known != nil {
			r.Witnesses[i].Name = known.row.Member.Name
		}
	}
	return r
}
