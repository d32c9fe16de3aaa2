package ibisowner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

func (k *Manager) onPageRow(row ibisplatform.Row) {
	k.update(func(now time.Time) {
		id, ok := k.pageIDs[row.Key]
		if !ok {
			return
		}
		page, err := ibisslot.DecodePage(id, row.Version, row.Value)
		if err != nil {
			k.log.Error("ignoring a page row that cannot be decoded", zap.String("row", row.Key), zap.Error(err))
			return
		}
		k.applyPage(page, now)
	})
}

// applyPage applies a page that is stored in the table; a version that is not newer than the known one has no effect.
func (k *Manager) applyPage(page *ibisslot.Page, now time.Time) {
	old, known := k.routes.page(page.ID())
	if known && old.Version() >= page.Version() {
		return
	}
	if known {
		if err := page.ValidateReplacement(old); err != nil {
			k.log.Error("ignoring a page that does not succeed the known one", zap.String("row", page.ID().RowKey()), zap.Error(err))
			return
		}
	}
	if page.ID().Space.Service == k.service {
		k.applyOwnPage(page, old, now)
	}
	k.routes.apply(page)
	k.hints.dropPage(page.ID())
	k.wakeChangedSlots()
}

// wakeChangedSlots wakes the requests that wait for acquired or released slots; they look up the routes again.
func (k *Manager) wakeChangedSlots() {
	for _, slot := range k.changedSlots {
		k.holdings.notify(slot)
	}
	k.changedSlots = k.changedSlots[:0]
}

func (k *Manager) applyOwnPage(page, old *ibisslot.Page, now time.Time) {
	k.coordinate(ibiscoordinator.PageReceivedEvent{Page: page}, now)
	k.recordDeaths(k.appendSupersededOwners(page, nil), now)
	k.recordAssignmentsToDead(page, old, now)
	k.joinReturnedKeys(page)
	k.releaseLostSlots(page)
	changes := k.receiver.ApplyPage(page)
	for _, a := range changes.Adopted {
		k.adopt(page, old, a, now)
	}
	for _, rejected := range changes.Rejected {
		k.dropReceivedRecord(rejected)
	}
}

// releaseLostSlots releases the slots that the page assigns to another member or under another token.
func (k *Manager) releaseLostSlots(page *ibisslot.Page) {
	for i := range page.Len() {
		slot := slotOf(page.ID(), i)
		a := page.Slot(i)
		held := k.holdings.get(slot)
		if held == nil {
			continue
		}
		if a.Owner == k.holder.Self() && a.Token == held.token() {
			k.changedSlots = append(k.changedSlots, k.holdings.setOverridden(slot, overriddenKeys(page, i))...)
			continue
		}
		k.release(slot)
	}
	k.releaseLostKeys(page)
}

func (k *Manager) release(slot ibisid.Slot) {
	k.changedSlots = append(k.changedSlots, slot)
	if k.holdings.drop(slot) {
		k.memory.WithCore(func(core *ibisidempotency.Memory) { core.Drop(slot) })
	}
}

func slotOf(id ibisslot.PageID, position int) ibisid.Slot {
	return ibisid.Slot{
		Space: id.Space,
		Index: id.First() + ibisid.SlotIndex(position),
	}
}

// coordinate passes an event to the page coordinator and applies the effects; the control lock must be held.
func (k *Manager) coordinate(event ibiscoordinator.Event, now time.Time) {
	epoch := k.epoch
	for _, effect := range k.coordinator.Update(now, event) {
		if k.epoch != epoch {
			return
		}
		switch e := effect.(type) {
		case ibiscoordinator.ReadPageEffect:
			k.readPage(e.ID)
		case ibiscoordinator.CommitEffect:
			k.commitPage(e)
		case ibiscoordinator.BroadcastPageEffect:
			k.applyPage(e.Page, now)
			k.publishPage(e.Page)
		case ibiscoordinator.MovesEffect:
			k.requestMoves(e.Moves, now)
		}
	}
}

func (k *Manager) coordinateDead(members []ibisid.Member, now time.Time) {
	if len(members) > 0 {
		k.coordinate(ibiscoordinator.DiedEvent{Members: members}, now)
	}
}

func (k *Manager) readPage(id ibisslot.PageID) {
	k.spawn(tableTimeout, func(ctx context.Context) outcome {
		row, found, err := k.read(ctx, id.RowKey())
		return func(now time.Time) {
			k.coordinate(ibiscoordinator.PageReadEvent{
				ID:     id,
				Row:    row,
				Found:  found,
				Failed: err != nil,
			}, now)
		}
	})
}

func (k *Manager) commitPage(e ibiscoordinator.CommitEffect) {
	k.spawn(tableTimeout, func(ctx context.Context) outcome {
		result, err := k.commit(ctx, e.Commit)
		return func(now time.Time) {
			if err != nil {
				k.coordinate(ibiscoordinator.CommitUnknownEvent{
					ID:       e.ID,
					CommitID: e.Commit.ID,
				}, now)
				return
			}
			k.coordinate(ibiscoordinator.CommitResultEvent{
				ID:       e.ID,
				CommitID: e.Commit.ID,
				Result:   result,
			}, now)
		}
	})
}

// publishPage publishes a page that is stored in the table to the subscribers of the rows.
func (k *Manager) publishPage(page *ibisslot.Page) {
	row := ibisplatform.Row{
		Key:     page.ID().RowKey(),
		Value:   page.Encode(),
		Version: page.Version(),
	}
	k.spawn(callTimeout, func(context.Context) outcome {
		k.rows.Publish(row)
		return nil
	})
}
