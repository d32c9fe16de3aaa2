package ibisowner

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

var _ Gate = (*ibisgate.Gate)(nil)

// memberState is the latest known row of a member.
type memberState struct {
	row     ibislease.Row
	version ibisplatform.Version
	changed time.Time
}

// deadState is what the node keeps about a dead member.
type deadState struct {
	observedAt time.Time
	// lastAssigned is when a page last assigned a unit to the member after its death, because the writer of the page
	// had not seen the death.
	lastAssigned  time.Time
	checkedGrants bool
}

func (m *Manager) onMemberRow(row ibisplatform.Row) {
	m.update(func(now time.Time) { m.applyMemberRow(row, now) })
}

func (m *Manager) onDeathsRow(row ibisplatform.Row) {
	m.update(func(now time.Time) { m.applyDeathsRow(row, now) })
}

// applyMemberRow applies a member row. A greater incarnation proves that the earlier one is dead.
func (m *Manager) applyMemberRow(row ibisplatform.Row, now time.Time) {
	content, err := ibislease.DecodeRow(row.Value)
	if err == nil && row.Key != ibislease.RowKey(content.Member.Name) {
		err = fmt.Errorf("the row is of the member %q", content.Member.Name)
	}
	if err != nil {
		m.log.Error("ignoring a member row that cannot be decoded", zap.String("row", row.Key), zap.Error(err))
		return
	}
	content = m.internRow(content)
	name := content.Member.Name
	old := m.members[name]
	if old != nil && old.version >= row.Version {
		return
	}
	m.members[name] = &memberState{
		row:     content,
		version: row.Version,
		changed: now,
	}
	m.directMembers.Remove(name)
	if content.Direct && content.State != ibislease.StateLeft {
		m.directMembers.Add(name)
	}
	renewal := old != nil && isRenewal(old.row, content)
	m.membersChanged = m.membersChanged || !renewal
	m.inferDeathsDue = m.inferDeathsDue || old == nil || content.State == ibislease.StateLeft
	if old != nil && old.row.Member.Incarnation < content.Member.Incarnation {
		m.markDead([]ibisid.Member{old.row.Member}, old.row.Announcement.ChecksGrants, now)
	}
	if content.State == ibislease.StateLeft {
		m.markDead([]ibisid.Member{content.Member}, content.Announcement.ChecksGrants, now)
	}
	if !renewal && content.Announcement.Service == m.service {
		m.updateCandidate(content, now)
	}
	if name == m.config.Name {
		m.updateLeaseCore(m.holder, ibislease.ReadEvent{Rows: []ibisplatform.Row{row}}, now)
	}
}

// isRenewal reports whether two rows of a member differ only in whether the table or witnesses renew the lease, and in
// which witnesses.
func isRenewal(old, next ibislease.Row) bool {
	old.Witnesses, next.Witnesses = nil, nil
	old.Direct, next.Direct = false, false
	return reflect.DeepEqual(old, next)
}

// updateCandidate reports to the coordinator whether the member may own slots.
func (m *Manager) updateCandidate(row ibislease.Row, now time.Time) {
	if _, dead := m.dead[row.Member]; dead {
		return
	}
	if row.State != ibislease.StateLive {
		m.coordinate(ibiscoordinator.LeftEvent{Members: []ibisid.Member{row.Member}}, now)
		return
	}
	m.membersStableSince = now
	m.coordinate(ibiscoordinator.LiveEvent{Candidates: []ibisplace.Candidate{{
		Member: row.Member,
		Place:  row.Place,
		Weight: row.Announcement.Weight,
		Share:  1,
	}}}, now)
}

// applyDeathsRow applies a row that lists dead members.
func (m *Manager) applyDeathsRow(row ibisplatform.Row, now time.Time) {
	deaths, err := ibislease.DecodeDeaths(row.Value)
	if err != nil {
		m.log.Error("ignoring a deaths row that cannot be decoded", zap.String("row", row.Key), zap.Error(err))
		return
	}
	m.recordDeaths(deaths.Members, now)
	if row.Key == ibislease.DeathsKey(m.config.Place.Domain, m.config.Name) {
		m.updateLeaseCore(m.holder, ibislease.ReadEvent{Rows: []ibisplatform.Row{row}}, now)
	}
}

func (m *Manager) recordDeaths(members []ibisid.Member, now time.Time) {
	var checking, others []ibisid.Member
	for _, member := range members {
		known := m.members[member.Name]
		if known != nil && known.row.Member == member && known.row.Announcement.ChecksGrants {
			checking = append(checking, member)
		} else {
			others = append(others, member)
		}
	}
	m.markDead(checking, true, now)
	m.markDead(others, false, now)
}

// markDead records members as dead for good, so that their slots may be taken over.
func (m *Manager) markDead(members []ibisid.Member, checkedGrants bool, now time.Time) {
	var fresh []ibisid.Member
	for _, member := range members {
		if _, known := m.dead[member]; known {
			continue
		}
		m.dead[member] = deadState{
			observedAt:    now,
			checkedGrants: checkedGrants,
		}
		fresh = append(fresh, member)
	}
	if len(fresh) == 0 {
		return
	}
	m.membersChanged = true
	m.counts.deaths.Add(uint64(len(fresh)))
	m.updateLeaseCore(m.witness, ibislease.DeadEvent{Members: fresh}, now)
	m.coordinate(ibiscoordinator.DiedEvent{Members: fresh}, now)
	m.failMovesTo(fresh, now)
}

// inferDeaths records the deaths of owners that left or have a later incarnation and that no deaths row lists.
func (m *Manager) inferDeaths(now time.Time) {
	if !m.inferDeathsDue {
		return
	}
	m.inferDeathsDue = false
	var gone []ibisid.Member
	for _, id := range m.ownPages() {
		if page, ok := m.pages.Page(id); ok {
			gone = m.appendSupersededOwners(page, gone)
		}
	}
	m.recordDeaths(gone, now)
}

func (m *Manager) appendSupersededOwners(page *ibisslot.Page, gone []ibisid.Member) []ibisid.Member {
	var last ibisid.Member
	for i := range page.Len() {
		owner := page.Slot(i).Owner
		if owner == last || owner.IsZero() {
			continue
		}
		last = owner
		gone = m.appendIfSuperseded(owner, gone)
	}
	for _, o := range page.Overrides() {
		gone = m.appendIfSuperseded(o.Assignment.Owner, gone)
	}
	return gone
}

// appendIfSuperseded appends an owner that left or has a later incarnation.
func (m *Manager) appendIfSuperseded(owner ibisid.Member, gone []ibisid.Member) []ibisid.Member {
	known := m.members[owner.Name]
	if known == nil {
		return gone
	}
	left := known.row.Member == owner && known.row.State == ibislease.StateLeft
	if (left || known.row.Member.Incarnation > owner.Incarnation) && !slices.Contains(gone, owner) {
		return append(gone, owner)
	}
	return gone
}

// currentMember returns the state of the member's name, and true if the member is the current incarnation, has not left
// and is not recorded as dead.
func (m *Manager) currentMember(member ibisid.Member) (*memberState, bool) {
	known := m.members[member.Name]
	if known == nil || known.row.Member != member || known.row.State == ibislease.StateLeft {
		return known, false
	}
	_, dead := m.dead[member]
	return known, !dead
}

// readServer reads the latest announcement of the node's backend server.
func (m *Manager) readServer() {
	a, live := m.gate.LatestAnnouncement()
	if m.service == "" {
		m.service = a.Service
	}
	m.serving = live && a.State == ibisbackend.StateServing && a.Service == m.service
	m.announced = ibislease.Announcement{
		Service:      m.service,
		ChecksGrants: a.ChecksGrants,
		Weight:       a.Weight,
		Slots:        a.Slots,
	}
	if !m.serving {
		m.announced.Weight = 0
	}
}

// announce sets the state and the announcement that the holder writes to the member row.
func (m *Manager) announce(now time.Time) {
	state := ibislease.StateJoining
	_, valid := m.holder.Valid(now)
	row, joined := m.holder.Row()
	switch {
	case m.left:
		state = ibislease.StateLeft
	case m.leaving:
		state = ibislease.StateLeaving
	case joined && (valid || row.State == ibislease.StateLive):
		state = ibislease.StateLive
	}
	m.updateLeaseCore(m.holder, ibislease.AnnounceEvent{
		Announcement: m.announced,
		State:        state,
	}, now)
}
