package ibisowner

import (
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibispage"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

var _ Gate = (*ibisgate.Gate)(nil)

// memberState is a member row as the node knows it.
type memberState struct {
	row     ibislease.Row
	version ibisplatform.Version
	changed time.Time
}

// deadState is what is kept of a member that is dead for ever.
type deadState struct {
	seen time.Time
	// named is when a page last gave a slot to the member, after its death, because its writer had not heard of that.
	named  time.Time
	checks bool
}

func (k *Keeper) memberRow(row ibisplatform.Row) {
	k.update(func(now time.Time) { k.takeMember(row, now) })
}

func (k *Keeper) deathsRow(row ibisplatform.Row) {
	k.update(func(now time.Time) { k.takeDeaths(row, now) })
}

// takeMember takes in a member row; one of a greater incarnation tells that the earlier one is dead.
func (k *Keeper) takeMember(row ibisplatform.Row, now time.Time) {
	content, err := ibislease.DecodeRow(row.Value)
	if err != nil {
		k.log.Error("member row not understood", zap.String("row", row.Key), zap.Error(err))
		return
	}
	content = k.shared(content)
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
	k.direct.Remove(name)
	if content.Direct && content.State != ibislease.StateLeft {
		k.direct.Add(name)
	}
	renewal := old != nil && renews(old.row, content)
	k.changed = k.changed || !renewal
	k.rescan = k.rescan || old == nil || content.State == ibislease.StateLeft
	if old != nil && old.row.Member.Incarnation < content.Member.Incarnation {
		k.died([]ibisid.Member{old.row.Member}, old.row.Announcement.ChecksGrants, now)
	}
	if content.State == ibislease.StateLeft {
		k.died([]ibisid.Member{content.Member}, content.Announcement.ChecksGrants, now)
	}
	if !renewal && content.Announcement.Service == k.service {
		k.place(content, now)
	}
	if name == k.config.Name {
		k.feed(k.holder, ibislease.ReadEvent{Rows: []ibisplatform.Row{row}}, now)
	}
}

// renews reports whether a row says nothing new but that the lease stands, or which witnesses renew it.
func renews(old, next ibislease.Row) bool {
	old.Witnesses, next.Witnesses = nil, nil
	old.Direct, next.Direct = false, false
	return reflect.DeepEqual(old, next)
}

// place tells the coordinator whether the member may own slots.
func (k *Keeper) place(row ibislease.Row, now time.Time) {
	if _, dead := k.dead[row.Member]; dead {
		return
	}
	if row.State != ibislease.StateLive {
		k.coordinate(ibispage.LeftEvent{Members: []ibisid.Member{row.Member}}, now)
		return
	}
	k.quietSince = now
	k.coordinate(ibispage.LiveEvent{Candidates: []ibisplace.Candidate{{
		Member: row.Member,
		Place:  row.Place,
		Weight: row.Announcement.Weight,
		Share:  1,
	}}}, now)
}

// takeDeaths takes in a deaths row.
func (k *Keeper) takeDeaths(row ibisplatform.Row, now time.Time) {
	deaths, err := ibislease.DecodeDeaths(row.Value)
	if err != nil {
		k.log.Error("deaths row not understood", zap.String("row", row.Key), zap.Error(err))
		return
	}
	k.diedAll(deaths.Members, now)
	if row.Key == ibislease.DeathsKey(k.config.Place.Domain, k.config.Name) {
		k.feed(k.holder, ibislease.ReadEvent{Rows: []ibisplatform.Row{row}}, now)
	}
}

func (k *Keeper) diedAll(members []ibisid.Member, now time.Time) {
	var checking, others []ibisid.Member
	for _, m := range members {
		known := k.members[m.Name]
		if known != nil && known.row.Member == m && known.row.Announcement.ChecksGrants {
			checking = append(checking, m)
		} else {
			others = append(others, m)
		}
	}
	k.died(checking, true, now)
	k.died(others, false, now)
}

// died notes members that are dead for ever, whose slots may be taken over.
func (k *Keeper) died(members []ibisid.Member, checks bool, now time.Time) {
	var fresh []ibisid.Member
	for _, m := range members {
		if _, known := k.dead[m]; known {
			continue
		}
		k.dead[m] = deadState{
			seen:   now,
			checks: checks,
		}
		fresh = append(fresh, m)
	}
	if len(fresh) == 0 {
		return
	}
	k.changed = true
	k.counts.deaths.Add(uint64(len(fresh)))
	k.feed(k.witness, ibislease.DeadEvent{Members: fresh}, now)
	k.coordinate(ibispage.DiedEvent{Members: fresh}, now)
	k.targetsDied(fresh, now)
}

// inferDeaths finds owners that left, or whose name has joined anew, and that no deaths row lists.
func (k *Keeper) inferDeaths(now time.Time) {
	if !k.rescan {
		return
	}
	k.rescan = false
	var gone []ibisid.Member
	for _, id := range k.ownPages() {
		if page, ok := k.pages.Page(id); ok {
			gone = k.superseded(page, gone)
		}
	}
	k.diedAll(gone, now)
}

func (k *Keeper) superseded(page *ibisslot.Page, gone []ibisid.Member) []ibisid.Member {
	var last ibisid.Member
	for i := range page.Len() {
		owner := page.Slot(i).Owner
		if owner == last || owner.IsZero() {
			continue
		}
		last = owner
		gone = k.supersededOwner(owner, gone)
	}
	for _, o := range page.Overrides() {
		gone = k.supersededOwner(o.Assignment.Owner, gone)
	}
	return gone
}

// supersededOwner adds an owner that left, or whose name has joined anew.
func (k *Keeper) supersededOwner(owner ibisid.Member, gone []ibisid.Member) []ibisid.Member {
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

// stands reports whether the member is the current incarnation of its name, not known dead, and not gone.
func (k *Keeper) stands(m ibisid.Member) (*memberState, bool) {
	known := k.members[m.Name]
	if known == nil || known.row.Member != m || known.row.State == ibislease.StateLeft {
		return known, false
	}
	_, dead := k.dead[m]
	return known, !dead
}

// readServer follows the announcement of the node's backend server.
func (k *Keeper) readServer() {
	a, live := k.gate.Server()
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

// announce tells the holder where the node shall stand.
func (k *Keeper) announce(now time.Time) {
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
	k.feed(k.holder, ibislease.AnnounceEvent{
		Announcement: k.announced,
		State:        state,
	}, now)
}
