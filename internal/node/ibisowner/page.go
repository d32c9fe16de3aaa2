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

func (m *Manager) onPageRow(row ibisplatform.Row) {
	m.update(func(now time.Time) {
		id, ok := m.pageIDs[row.Key]
		if !ok {
			return
		}
		page, err := ibisslot.DecodePage(id, row.Version, row.Value)
		if err != nil {
			m.log.Error("ignoring a page row that cannot be decoded", zap.String("row", row.Key), zap.Error(err))
			return
		}
		m.applyPage(page, now)
	})
}

// applyPage applies a page that is stored in the table; a version that is not newer than the known one has no effect.
func (m *Manager) applyPage(page *ibisslot.Page, now time.Time) {
	old, known := m.routes.page(page.ID())
	if known && old.Version() >= page.Version() {
		return
	}
	if known {
		if err := page.ValidateReplacement(old); err != nil {
			m.log.Error("ignoring a page that does not succeed the known one", zap.String("row", page.ID().RowKey()), zap.Error(err))
			return
		}
	}
	if page.ID().Space.Service == m.service {
		m.applyOwnPage(page, old, now)
	}
	m.routes.apply(page)
	m.hints.dropPage(page.ID())
	m.wakeChangedSlots()
}

// wakeChangedSlots wakes the requests that wait for acquired or released slots; they look up the routes again.
func (m *Manager) wakeChangedSlots() {
	for _, slot := range m.changedSlots {
		m.holdings.notify(slot)
	}
	m.changedSlots = m.changedSlots[:0]
}

func (m *Manager) applyOwnPage(page, old *ibisslot.Page, now time.Time) {
	m.coordinate(ibiscoordinator.PageReceivedEvent{Page: page}, now)
	m.recordDeaths(m.appendSupersededOwners(page, nil), now)
	m.recordAssignmentsToDead(page, old, now)
	m.mergeReturnedKeys(page)
	m.releaseLostSlots(page)
	changes := m.receiver.ApplyPage(page)
	for _, a := range changes.Adopted {
		m.adopt(page, old, a, now)
	}
	for _, rejected := range changes.Rejected {
		m.dropReceivedRecord(rejected)
	}
}

// releaseLostSlots releases the slots that the page assigns to another member or under another token.
func (m *Manager) releaseLostSlots(page *ibisslot.Page) {
	for i := range page.Len() {
		slot := slotOf(page.ID(), i)
		a := page.Slot(i)
		held := m.holdings.get(slot)
		if held == nil {
			continue
		}
		if a.Owner == m.holder.Self() && a.Token == held.token() {
			m.changedSlots = append(m.changedSlots, m.holdings.setOverridden(slot, overriddenKeys(page, i))...)
			continue
		}
		m.release(slot)
	}
	m.releaseLostKeys(page)
}

func (m *Manager) release(slot ibisid.Slot) {
	m.changedSlots = append(m.changedSlots, slot)
	if m.holdings.drop(slot) {
		m.memory.WithCore(func(core *ibisidempotency.Memory) { core.Drop(slot) })
	}
}

func slotOf(id ibisslot.PageID, position int) ibisid.Slot {
	return ibisid.Slot{
		Space: id.Space,
		Index: id.First() + ibisid.SlotIndex(position),
	}
}

// coordinate passes an event to the page coordinator and applies the effects; the control lock must be held.
func (m *Manager) coordinate(event ibiscoordinator.Event, now time.Time) {
	epoch := m.epoch
	for _, effect := range m.coordinator.Update(now, event) {
		if m.epoch != epoch {
			return
		}
		switch e := effect.(type) {
		case ibiscoordinator.ReadPageEffect:
			m.readPage(e.ID)
		case ibiscoordinator.CommitEffect:
			m.commitPage(e)
		case ibiscoordinator.BroadcastPageEffect:
			m.applyPage(e.Page, now)
			m.publishPage(e.Page)
		case ibiscoordinator.MovesEffect:
			m.requestMoves(e.Moves, now)
		}
	}
}

func (m *Manager) coordinateDead(members []ibisid.Member, now time.Time) {
	if len(members) > 0 {
		m.coordinate(ibiscoordinator.DiedEvent{Members: members}, now)
	}
}

func (m *Manager) readPage(id ibisslot.PageID) {
	m.spawn(tableTimeout, func(ctx context.Context) outcome {
		row, found, err := m.read(ctx, id.RowKey())
		return func(now time.Time) {
			m.coordinate(ibiscoordinator.PageReadEvent{
				ID:     id,
				Row:    row,
				Found:  found,
				Failed: err != nil,
			}, now)
		}
	})
}

func (m *Manager) commitPage(e ibiscoordinator.CommitEffect) {
	m.spawn(tableTimeout, func(ctx context.Context) outcome {
		result, err := m.commit(ctx, e.Commit)
		return func(now time.Time) {
			if err != nil {
				m.coordinate(ibiscoordinator.CommitUnknownEvent{
					ID:       e.ID,
					CommitID: e.Commit.ID,
				}, now)
				return
			}
			m.coordinate(ibiscoordinator.CommitResultEvent{
				ID:       e.ID,
				CommitID: e.Commit.ID,
				Result:   result,
			}, now)
		}
	})
}

// publishPage publishes a page that is stored in the table to the subscribers of the rows.
func (m *Manager) publishPage(page *ibisslot.Page) {
	row := ibisplatform.Row{
		Key:     page.ID().RowKey(),
		Value:   page.Encode(),
		Version: page.Version(),
	}
	m.spawn(callTimeout, func(context.Context) outcome {
		m.rows.Publish(row)
		return nil
	})
}
