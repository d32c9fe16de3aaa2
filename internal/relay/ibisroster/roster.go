package ibisroster

import (
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Roster is the members by node; the zero value is not usable, see New.
type Roster struct {
	members  map[ibisid.NodeName]entry
	revision uint64
}

type entry struct {
	member  Member
	version uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		members: make(map[ibisid.NodeName]entry),
	}
}

// Put takes a member in if its row is newer than the one known, and reports whether it was.
func (r *Roster) Put(m Member, version uint64) bool {
	if known, ok := r.members[m.Node]; ok && known.version >= version {
		return false
	}
	r.members[m.Node] = entry{
		member:  m,
		version: version,
	}
	r.revision++
	return true
}

// Remove forgets a member whose row was removed at the version, and reports whether it was known.
func (r *Roster) Remove(node ibisid.NodeName, version uint64) bool {
	known, ok := r.members[node]
	if !ok || known.version >= version {
		return false
	}
	delete(r.members, node)
	r.revision++
	return true
}

// Keep forgets every member that the list doesn't name, and was not put at a later version.
func (r *Roster) Keep(names map[ibisid.NodeName]bool, version uint64) {
	for name, known := range r.members {
		if !names[name] && known.version <= version {
			delete(r.members, name)
			r.revision++
		}
	}
}

// Revision changes with every change of the roster.
func (r *Roster) Revision() uint64 { return r.revision }

// Member returns a member and whether it is known.
func (r *Roster) Member(node ibisid.NodeName) (Member, bool) {
	e, ok := r.members[node]
	return e.member, ok
}

// Of returns the members whose backend servers belong to the service, by name.
func (r *Roster) Of(service ibisid.ServiceName) []Member {
	var out []Member
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name].member
		if m.Server.Service == service && !m.Server.Life.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// First returns the first member by name of a failure domain that the test takes.
func (r *Roster) First(domain ibisid.DomainName, takes func(m Member) bool) (Member, bool) {
	var first Member
	for name, e := range r.members {
		if e.member.Place.Domain == domain && takes(e.member) && (first.Node == "" || name < first.Node) {
			first = e.member
		}
	}
	return first, first.Node != ""
}

// Where returns the members that the test takes, in no order.
func (r *Roster) Where(takes func(m Member) bool) []Member {
	var out []Member
	for _, e := range r.members {
		if takes(e.member) {
			out = append(out, e.member)
		}
	}
	return out
}

// Len returns the number of members.
func (r *Roster) Len() int { return len(r.members) }
