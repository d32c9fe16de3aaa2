package ibisowner

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/request/ibisonce"
)

// adopt takes a slot: with the memory that was handed over, else without, after the wait that guards old orders.
func (k *Keeper) adopt(page, old *ibisslot.Page, a ibismove.Adopted, now time.Time) {
	slot := unitOf(page, a.Unit)
	id := handedOf(page.ID(), a.Unit)
	record, arrived := k.handed[id]
	delete(k.handed, id)
	k.memory.Use(func(core *ibisonce.Memory) {
		if a.Inherited && arrived && core.Import(record, a.Token, ibistimer.Wall(k.timer, now)) {
			return
		}
		takeover := ibisonce.Lossy
		if a.Token == 1 {
			takeover = ibisonce.Fresh
		}
		core.Acquire(slot, a.Token, takeover, ibistimer.Wall(k.timer, now))
	})
	ready := now
	if a.Token > 1 && !assignmentOf(page, a.Unit).Handed {
		k.counts.takeovers.Add(1)
		ready = k.readyAt(old, a, now)
	}
	var away []ibisslot.KeyHash
	if !a.Unit.Hot {
		away = awayKeys(page, a.Unit.Position)
	}
	k.holdings.put(slot, a.Token, now, ready, away)
	k.changedSlots = append(k.changedSlots, slot)
}

// readyAt returns when the first request may run after the death of the earlier owner. An owner that is not known, since
// its page was never seen here, may have run orders until now.
func (k *Keeper) readyAt(old *ibisslot.Page, a ibismove.Adopted, now time.Time) time.Time {
	var former ibisid.Member
	if old != nil && assignmentOf(old, a.Unit).Token+1 == a.Token {
		former = assignmentOf(old, a.Unit).Owner
	}
	wait := k.terms.TakeoverWait(k.checksGrants(former), k.longest.at(now))
	gone, dead := k.dead[former]
	switch {
	case !dead:
		return now.Add(wait)
	case gone.named.After(gone.seen):
		return gone.named.Add(wait)
	}
	return gone.seen.Add(wait)
}

// noteNamedDead notes the dead members to which the page gives slots: the owner before them may have run orders until
// just now, however long ago they died.
func (k *Keeper) noteNamedDead(page, old *ibisslot.Page, now time.Time) {
	if len(k.dead) == 0 {
		return
	}
	note := func(a ibisslot.Assignment, unit ibismove.Unit) {
		gone, dead := k.dead[a.Owner]
		if !dead || old != nil && assignmentOf(old, unit).Token == a.Token {
			return
		}
		gone.named = now
		k.dead[a.Owner] = gone
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
