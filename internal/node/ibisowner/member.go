package ibisowner

import (
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

func (k *Manager) onMemberRow(row ibisplatform.Row) {
	k.update(func(now time.Time) { k.applyMemberRow(row, now) })
}

func (k *Manager) onDeathsRow(row ibisplatform.Row) {
	k.update(func(now time.Time) { k.applyDeathsRow(row, now) })
}

// applyMemberRow applies a member row. A greater incarnation proves that the earlier one is dead.
func (k *Manager) applyMemberRow(row ibisplatform.Row, now time.Time) {
	content, err := ibislease.DecodeRow(row.Value)
	if err != nil {
		k.log.Error("ignoring a member row that cannot be decoded", zap.String("row", row.Key), zap.Error(err))
		return
	}
	content = k.internRow(content)
	name := content.Member.Name
	old := k.members[name]
	if old != nil && old.version >= row.Version {
		return
	}
	k.members[name] = &memberState{
		row:     content,
		version: row.Version,
		changed: now,
	}
	k.directMembers.Remove(name)
	if content.Direct && content.State != ibislease.StateLeft {
		k.directMembers.Add(name)
	}
	renewal := old != nil && isRenewal(old.row, content)
	k.membersChanged = k.membersChanged || !renewal
	k.inferDeathsDue = k.inferDeathsDue || old == nil || content.State == ibislease.StateLeft
	if old != nil && old.row.Member.Incarnation < content.Member.Incarnation {
		k.markDead([]ibisid.Member{old.row.Member}, old.row.Announcement.ChecksGrants, now)
	}
	if content.State == ibislease.StateLeft {
		k.markDead([]ibisid.Member{content.Member}, content.Announcement.ChecksGrants, now)
	}
	if !renewal && content.Announcement.Service == k.service {
		k.updateCandidate(content, now)
	}
	if name == k.config.Name {
		k.updateLeaseCore(k.holder, ibislease.ReadEvent{Rows: []ibisplatform.Row{row}}, now)
	}
}

// isRenewal reports whether two rows differ in nothing but the way and the witnesses of the lease.
func isRenewal(old, next ibislease.Row) bool {
	old.Witnesses, next.Witnesses = nil, nil
	old.Direct, next.Direct = false, false
	return reflect.DeepEqual(old, next)
}

// updateCandidate reports to the coordinator whether the member may own slots.
func (k *Manager) updateCandidate(row ibislease.Row, now time.Time) {
	if _, dead := k.dead[row.Member]; dead {
		return
	}
	if row.State != ibislease.StateLive {
		k.coordinate(ibiscoordinator.LeftEvent{Members: []ibisid.Member{row.Member}}, now)
		return
	}
	k.membersStableSince = now
	k.coordinate(ibiscoordinator.LiveEvent{Candidates: []ibisplace.Candidate{{
		Member: row.Member,
		Place:  row.Place,
		Weight: row.Announcement.Weight,
		Share:  1,
	}}}, now)
}

// applyDeathsRow applies a row that lists dead members.
func (k *Manager) applyDeathsRow(row ibisplatform.Row, now time.Time) {
	deaths, err := ibislease.DecodeDeaths(row.Value)
	if err != nil {
		k.log.Error("ignoring a deaths row that cannot be decoded", zap.String("row", row.Key), zap.Error(err))
		return
	}
	k.recordDeaths(deaths.Members, now)
	if row.Key == ibislease.DeathsKey(k.config.Place.Domain, k.config.Name) {
		k.updateLeaseCore(k.holder, ibislease.ReadEvent{Rows: []ibisplatform.Row{row}}, now)
	}
}

func (k *Manager) recordDeaths(members []ibisid.Member, now time.Time) {
	var checking, others []ibisid.Member
	for _, m := range members {
		known := k.members[m.Name]
		if known != nil && known.row.Member == m && known.row.Announcement.ChecksGrants {
			checking = append(checking, m)
		} else {
			others = append(others, m)
		}
	}
	k.markDead(checking, true, now)
	k.markDead(others, false, now)
}

// markDead records members as dead for good, so that their slots may be taken over.
func (k *Manager) markDead(members []ibisid.Member, checkedGrants bool, now time.Time) {
	var fresh []ibisid.Member
	for _, m := range members {
		if _, known := k.dead[m]; known {
			continue
		}
		k.dead[m] = deadState{
			observedAt:    now,
			checkedGrants: checkedGrants,
		}
		fresh = append(fresh, m)
	}
	if len(fresh) == 0 {
		return
	}
	k.membersChanged = true
	k.counts.deaths.Add(uint64(len(fresh)))
	k.updateLeaseCore(k.witness, ibislease.DeadEvent{Members: fresh}, now)
	k.coordinate(ibiscoordinator.DiedEvent{Members: fresh}, now)
	k.failMovesTo(fresh, now)
}

// inferDeaths records the deaths of owners that left or have a later incarnation and that no deaths row lists.
func (k *Manager) inferDeaths(now time.Time) {
	if !k.inferDeathsDue {
		return
	}
	k.inferDeathsDue = false
	var gone []ibisid.Member
	for _, id := range k.ownPages() {
		if page, ok := k.pages.Page(id); ok {
			gone = k.appendSupersededOwners(page, gone)
		}
	}
	k.recordDeaths(gone, now)
}

func (k *Manager) appendSupersededOwners(page *ibisslot.Page, gone []ibisid.Member) []ibisid.Member {
	var last ibisid.Member
	for i := range page.Len() {
		owner := page.Slot(i).Owner
		if owner == last || owner.IsZero() {
			continue
		}
		last = owner
		gone = k.appendIfSuperseded(owner, gone)
	}
	for _, o := range page.Overrides() {
		gone = k.appendIfSuperseded(o.Assignment.Owner, gone)
	}
	return gone
}

// appendIfSuperseded appends an owner that left or has a later incarnation.
func (k *Manager) appendIfSuperseded(owner ibisid.Member, gone []ibisid.Member) []ibisid.Member {
	known := k.members[owner.Name]
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
func (k *Manager) currentMember(m ibisid.Member) (*memberState, bool) {
	known := k.members[m.Name]
	if known == nil || known.row.Member != m || known.row.State == ibislease.StateLeft {
		return known, false
	}
	_, dead := k.dead[m]
	return known, !dead
}

// readServer reads the latest announcement of the node's backend server.
func (k *Manager) readServer() {
	a, live := k.gate.LatestAnnouncement()
	if k.service == "" {
		k.service = a.Service
	}
	k.serving = live && a.State == ibisbackend.StateServing && a.Service == k.service
	k.announced = ibislease.Announcement{
		Service:      k.service,
		ChecksGrants: a.ChecksGrants,
		Weight:       a.Weight,
		Slots:        a.Slots,
	}
	if !k.serving {
		k.announced.Weight = 0
	}
}

// announce sets the state and the announcement that the holder writes to the member row.
func (k *Manager) announce(now time.Time) {
	state := ibislease.StateJoining
	_, valid := k.holder.Valid(now)
	row, joined := k.holder.Row()
	switch {
	case k.left:
		state = ibislease.StateLeft
	case k.leaving:
		state = ibislease.StateLeaving
	case joined && (valid || row.State == ibislease.StateLive):
		state = ibislease.StateLive
	}
	k.updateLeaseCore(k.holder, ibislease.AnnounceEvent{
		Announcement: k.announced,
		State:        state,
	}, now)
}
