package ibisowner

import (
	"cmp"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// States of a lease as operators read them.
const (
	leaseHeld   = "held"
	leaseDirect = "direct"
	leaseLapsed = "lapsed"
)

// Live returns the live nodes including this one, and a generation that grows with each change. It returns nil if the
// generation equals the known one.
func (m *Manager) Live(known uint64) ([]ibismember.Node, uint64) {
	view := m.view.Load()
	if view.generation == known {
		return nil, known
	}
	live := make([]ibismember.Node, 0, len(view.byMember))
	for _, p := range view.byMember {
		live = append(live, ibismember.Node{
			Name:    p.Member.Name,
			Place:   p.Place,
			Address: p.Address,
		})
	}
	slices.SortFunc(live, func(a, b ibismember.Node) int { return cmp.Compare(a.Name, b.Name) })
	return live, view.generation
}

// Nodes returns the status of all live nodes that this node has a row of, in order of name.
func (m *Manager) Nodes() []ibisoperator.NodeStatus {
	view := m.view.Load()
	owned := m.routes.owned()
	nodes := make([]ibisoperator.NodeStatus, 0, len(view.byMember))
	for member, p := range view.byMember {
		nodes = append(nodes, ibisoperator.NodeStatus{
			Name:        member.Name,
			Incarnation: member.Incarnation,
			Region:      p.Place.Region,
			Domain:      p.Place.Domain,
			Service:     p.Service,
			Address:     p.Address,
			Slots:       owned[member],
		})
	}
	slices.SortFunc(nodes, func(a, b ibisoperator.NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	m.describeLeases(nodes)
	return nodes
}

// describeLeases sets the lease state of each node from its row, and that of this node also from its own clock.
func (m *Manager) describeLeases(nodes []ibisoperator.NodeStatus) {
	stats := m.Stats()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range nodes {
		nodes[i].Lease = leaseHeld
		known := m.members[nodes[i].Name]
		if known != nil && known.row.Direct {
			nodes[i].Lease = leaseDirect
		}
		if nodes[i].Name == m.config.Name && !stats.Valid {
			nodes[i].Lease = leaseLapsed
		}
	}
}

// Spaces returns the slot counts of each space, in order of name.
func (m *Manager) Spaces() []ibisoperator.SlotStatus {
	view := m.view.Load()
	return m.routes.spaces(func(member ibisid.Member) bool {
		_, live := view.byMember[member]
		return live
	})
}

// hotApart marks a key with an owner of its own, either because it is hot or because a rule placed it.
const hotApart = "hot"

// Locate returns the owner, token and standbys of a key.
func (m *Manager) Locate(slot ibisid.Slot, key string) ibisoperator.KeyPlace {
	a, ok := m.routes.locate(slot, key)
	if !ok {
		return ibisoperator.KeyPlace{}
	}
	place := ibisoperator.KeyPlace{
		Owner: a.Owner.Name,
		Token: a.Token,
	}
	if m.routes.hasOverride(slot, key) {
		place.Apart = hotApart
	}
	for _, standby := range a.Standbys {
		if !standby.IsZero() {
			place.Standbys = append(place.Standbys, standby.Name)
		}
	}
	return place
}

// each calls f with the assignment of every slot, page by page.
func (r *routes) each(f func(space ibisid.SlotSpace, a ibisslot.Assignment)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, space := range r.pages.Spaces() {
		for i := range r.pages.Slots(space) {
			a, _ := r.pages.Locate(ibisid.Slot{
				Space: space,
				Index: ibisid.SlotIndex(i),
			})
			f(space, a)
		}
	}
}

// owned returns the number of slots of each owner.
func (r *routes) owned() map[ibisid.Member]int {
	counts := make(map[ibisid.Member]int)
	r.each(func(_ ibisid.SlotSpace, a ibisslot.Assignment) { counts[a.Owner]++ })
	return counts
}

// spaces returns for each space the number of slots and of those with a live owner.
func (r *routes) spaces(live func(ibisid.Member) bool) []ibisoperator.SlotStatus {
	var out []ibisoperator.SlotStatus
	r.each(func(space ibisid.SlotSpace, a ibisslot.Assignment) {
		name := space.String()
		if len(out) == 0 || out[len(out)-1].Space != name {
			out = append(out, ibisoperator.SlotStatus{
				Space: name,
			})
		}
		last := &out[len(out)-1]
		last.Slots++
		if live(a.Owner) {
			last.Owned++
		}
	})
	slices.SortFunc(out, func(a, b ibisoperator.SlotStatus) int { return cmp.Compare(a.Space, b.Space) })
	return out
}
