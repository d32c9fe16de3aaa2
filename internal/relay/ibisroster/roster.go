package ibisroster

import (
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Roster holds the members by node name. New returns one ready for use; the zero value isn't usable. It isn't safe for
// concurrent use.
type Roster struct {
	members  map[ibisid.NodeName]entry
	revision uint64
}

// entry is a member with the version of its row.
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

// Put applies a member's row unless the roster has one of the same or a newer version, and reports whether it applied it.
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

// Remove deletes a member whose row was removed at the version, unless its row has the same or a newer version, and
// reports whether it deleted one.
func (r *Roster) Remove(node ibisid.NodeName, version uint64) bool {
	known, ok := r.members[node]
	if !ok || known.version >= version {
		return false
	}
	delete(r.members, node)
	r.revision++
	return true
}

// RetainOnly deletes every member that isn't among the names of a full read as of the version, unless its row is newer.
func (r *Roster) RetainOnly(names map[ibisid.NodeName]bool, version uint64) {
	for name, known := range r.members {
		if !names[name] && known.version <= version {
			delete(r.members, name)
			r.revision++
		}
	}
}

// Revision returns a counter that grows with every change of the roster.
func (r *Roster) Revision() uint64 { return r.revision }

// Member returns the member with the node name and whether the roster has it.
func (r *Roster) Member(node ibisid.NodeName) (Member, bool) {
	e, ok := r.members[node]
	return e.member, ok
}

// ForService returns the members whose backend server belongs to the service, sorted by node name.
func (r *Roster) ForService(service ibisid.ServiceName) []Member {
	var out []Member
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[name].member
		if m.Server.Service == service && !m.Server.Incarnation.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// FirstInDomain returns the first member by node name of the failure domain that matches, and whether there is one.
func (r *Roster) FirstInDomain(domain ibisid.DomainName, match func(m Member) bool) (Member, bool) {
	var first Member
	for name, e := range r.members {
		if e.member.Place.Domain == domain && match(e.member) && (first.Node == "" || name < first.Node) {
			first = e.member
		}
	}
	return first, first.Node != ""
}

// Matching returns the members that match, in no particular order.
func (r *Roster) Matching(match func(m Member) bool) []Member {
	var out []Member
	for _, e := range r.members {
		if match(e.member) {
			out = append(out, e.member)
		}
	}
	return out
}

// Len returns the number of members.
func (r *Roster) Len() int { return len(r.members) }
