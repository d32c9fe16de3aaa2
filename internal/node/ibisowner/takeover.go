package ibisowner

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// adopt starts the ownership of a unit. It imports the memory that the earlier owner handed over; otherwise the memory
// starts empty. After the death of an owner that handed nothing over, requests start only after the takeover wait, so
// that no request of that owner that may change state can still run.
func (m *Manager) adopt(page, old *ibisslot.Page, a ibismove.AdoptedUnit, now time.Time) {
	slot := slotOfUnit(page, a.Unit)
	id := unitIDOf(page.ID(), a.Unit)
	record, arrived := m.receivedRecords[id]
	delete(m.receivedRecords, id)
	m.memory.WithCore(func(core *ibisidempotency.Memory) {
		if a.Inherited && arrived && core.Import(record, a.Token, ibistimer.WallTime(m.timer, now)) {
			return
		}
		takeover := ibisidempotency.TakeoverLossy
		if a.Token == 1 {
			takeover = ibisidempotency.TakeoverFresh
		}
		core.Acquire(slot, a.Token, takeover, ibistimer.WallTime(m.timer, now))
	})
	ready := now
	if a.Token > 1 && !assignmentOf(page, a.Unit).HandedOver {
		m.counts.takeovers.Add(1)
		ready = m.readyAt(old, a, now)
	}
	var overrides []ibisslot.KeyHash
	if !a.Unit.Hot {
		overrides = overriddenKeys(page, a.Unit.Position)
	}
	m.holdings.put(slot, a.Token, now, ready, overrides)
	m.changedSlots = append(m.changedSlots, slot)
}

// readyAt returns the time at which the first request may run after the death of the earlier owner. An unknown owner,
// whose page this node never read, may have run requests until now.
func (m *Manager) readyAt(old *ibisslot.Page, a ibismove.AdoptedUnit, now time.Time) time.Time {
	var former ibisid.Member
	if old != nil && assignmentOf(old, a.Unit).Token+1 == a.Token {
		former = assignmentOf(old, a.Unit).Owner
	}
	wait := m.terms.TakeoverWait(m.checksGrants(former), m.deadlineBound.at(now))
	gone, dead := m.dead[former]
	switch {
	case !dead:
		return now.Add(wait)
	case gone.lastAssigned.After(gone.observedAt):
		return gone.lastAssigned.Add(wait)
	}
	return gone.observedAt.Add(wait)
}

// recordAssignmentsToDead records dead members to which the page assigns units. The owner before such a member may have
// run requests until now, however long ago the member died.
func (m *Manager) recordAssignmentsToDead(page, old *ibisslot.Page, now time.Time) {
	if len(m.dead) == 0 {
		return
	}
	note := func(a ibisslot.Assignment, unit ibismove.Unit) {
		gone, dead := m.dead[a.Owner]
		if !dead || old != nil && assignmentOf(old, unit).Token == a.Token {
			return
		}
		gone.lastAssigned = now
		m.dead[a.Owner] = gone
	}
	for i := range page.Len() {
		note(page.Slot(i), ibismove.Unit{
			Position: i,
		})
	}
	for _, o := range page.Overrides() {
		note(o.Assignment, hotUnit(o.Key))
	}
}
