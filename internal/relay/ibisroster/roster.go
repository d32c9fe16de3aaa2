package ibisroster

import (
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// Roster holds the members by node name. New returns one ready for use; the zero value isn't usable. It isn't safe for
// concurrent use.
type Roster struct {
	members  map[ibisid.NodeName]entry
	revision uint64
	// departed holds backend servers that are known to have left or to be leaving, with the era of the row that said so, since
	// the rows of a later era may come from an older copy.
	departed map[ServerIncarnation]uint64
}

// maxDeparted bounds the number of departed backend servers that are kept.
const maxDeparted = 1024

// entry is a member with the version of its row.
type entry struct {
	member  Member
	version uint64
	// overridden means that the row says that the backend server accepts work, although it is known to have left.
	overridden bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		members:  make(map[ibisid.NodeName]entry),
		departed: make(map[ServerIncarnation]uint64),
	}
}

// Put applies a member's row unless the roster has one of the same or a newer version, and reports whether it applied it. A
// backend server that has left in an earlier era of the store is draining, whatever the row says.
func (r *Roster) Put(m Member, version uint64) bool {
	known, ok := r.members[m.Node]
	if ok && known.version >= version {
		return false
	}
	era, left := r.departed[m.Server.Incarnation]
	overridden := left && era < ibisstore.EraOf(version)
	switch {
	case overridden:
		m.Server.State = StateDraining
	case m.Server.State == StateDraining:
		r.recordDeparture(m.Server.Incarnation, version)
	default:
		delete(r.departed, m.Server.Incarnation)
	}
	r.members[m.Node] = entry{
		member:     m,
		version:    version,
		overridden: overridden,
	}
	r.revision++
	return true
}

// EndCatchUp makes the roster believe the rows of the present era, as their writers have had time to write them again. Rows
// that Put has overridden are to be read again.
func (r *Roster) EndCatchUp() {
	clear(r.departed)
	for name, known := range r.members {
		if known.overridden {
			known.version = 0
			r.members[name] = known
		}
	}
}

// Remove deletes a member whose row was removed at the version, unless its row has the same or a newer version, and
// reports whether it deleted one.
func (r *Roster) Remove(node ibisid.NodeName, version uint64) bool {
	known, ok := r.members[node]
	if !ok || known.version >= version {
		return false
	}
	r.recordDeparture(known.member.Server.Incarnation, version)
	delete(r.members, node)
	r.revision++
	return true
}

// recordDeparture records that a backend server has left or is leaving, as a row of the version says. Beyond maxDeparted, all
// earlier ones are forgotten.
func (r *Roster) recordDeparture(server ServerIncarnation, version uint64) {
	if server.IsZero() {
		return
	}
	if len(r.departed) >= maxDeparted {
		clear(r.departed)
	}
	r.departed[server] = ibisstore.EraOf(version)
}

// RetainOnly deletes every member that isn't among the names of a full read as of the version, unless its row is newer or of
// an earlier era of the store: a member that joined shortly before the era began writes its row again.
func (r *Roster) RetainOnly(names map[ibisid.NodeName]bool, version uint64) {
	for name, known := range r.members {
		if !names[name] && known.version <= version && ibisstore.EraOf(known.version) == ibisstore.EraOf(version) {
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
