package ibisowner

import (
	"context"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// maxBatches is the number of pages whose units a node moves at once.
const maxBatches = 32

const (
	// finishTimeout bounds the wait for running requests; it is well below admitWaitTimeout, for which new requests
	// wait.
	finishTimeout = 3 * time.Second
	// moveRetryDelay is the time for which the units of a page are served again after a failed move before the next
	// attempt.
	moveRetryDelay = 2 * time.Second
)

// requestMoves asks the present owners to move their slots.
func (m *Manager) requestMoves(moves []ibisplace.Move, now time.Time) {
	var owners []ibisid.Member
	byOwner := make(map[ibisid.Member][]ibisplace.Move)
	for _, member := range moves {
		if byOwner[member.From] == nil {
			owners = append(owners, member.From)
		}
		byOwner[member.From] = append(byOwner[member.From], member)
	}
	for _, owner := range owners {
		if owner == m.holder.Self() {
			m.planMoves(byOwner[owner])
			continue
		}
		known, ok := m.currentMember(owner)
		if !ok {
			continue
		}
		address := known.row.PeerAddress
		m.spawn(callTimeout, func(ctx context.Context) outcome {
			_ = m.call(ctx, address, "Move", MoveArgs{Moves: byOwner[owner]}, &struct{}{})
			return nil
		})
	}
	m.startMoves(now)
}

func (m *Manager) planMoves(moves []ibisplace.Move) {
	for _, member := range moves {
		if member.From == m.holder.Self() {
			m.planMove(member.Slot, member.To)
		}
	}
}

func (m *Manager) planMove(slot ibisid.Slot, target ibisid.Member) {
	id := ibisslot.PageID{
		Space:  slot.Space,
		Number: slot.Page(),
	}
	if m.plannedMoves[id] == nil {
		m.plannedMoves[id] = make(map[int]ibisid.Member)
	}
	m.plannedMoves[id][int(slot.Index)%ibisid.SlotsPerPage] = target
}

// startMoves starts a batch for each page with planned moves and no batch.
func (m *Manager) startMoves(now time.Time) {
	if _, valid := m.holder.Valid(now); !valid {
		return
	}
	for _, id := range m.pagesWithPlannedMoves() {
		if len(m.batches) >= maxBatches {
			return
		}
		page, ok := m.pages.Page(id)
		if m.batches[id] != nil || !ok || now.Before(m.nextMoveAt[id]) {
			continue
		}
		transfers := append(m.keyTransfers(page, m.plannedKeyMoves[id], now), m.transfers(page, m.plannedMoves[id], now)...)
		delete(m.plannedMoves, id)
		delete(m.plannedKeyMoves, id)
		delete(m.nextMoveAt, id)
		if len(transfers) > 0 {
			m.startBatch(page, transfers, now)
		}
	}
}

func (m *Manager) startBatch(page *ibisslot.Page, transfers []ibismove.Transfer, now time.Time) {
	m.sequence++
	batch, effects := ibismove.NewBatch(now, m.holder.Self(), page, transfers, m.sequence, m.ids, ibismove.WithFinishTimeout(finishTimeout))
	if batch.Done() {
		return
	}
	m.batches[page.ID()] = batch
	m.applyMoveEffects(page.ID(), effects, now)
}

// transfers returns the planned moves that can start now: of slots that are ready here, to members that accept slots.
func (m *Manager) transfers(page *ibisslot.Page, planned map[int]ibisid.Member, now time.Time) []ibismove.Transfer {
	var out []ibismove.Transfer
	for i := range page.Len() {
		target, ok := planned[i]
		if !ok || !m.acceptsSlots(target) {
			continue
		}
		held := m.holdings.get(slotOf(page.ID(), i))
		if held == nil || held.token() != page.Slot(i).Token || now.Before(held.readyAt) {
			continue
		}
		out = append(out, ibismove.Transfer{
			Unit:   ibismove.Unit{Position: i},
			Target: target,
			Token:  held.token(),
		})
	}
	return out
}

// acceptsSlots reports whether the member may be given slots.
func (m *Manager) acceptsSlots(member ibisid.Member) bool {
	known, ok := m.currentMember(member)
	return ok && known.row.State == ibislease.StateLive && known.row.Announcement.Weight > 0
}

// moveEvent passes an event to the batch of a page; the control lock must be held.
func (m *Manager) moveEvent(id ibisslot.PageID, event ibismove.Event, now time.Time) {
	if batch := m.batches[id]; batch != nil {
		m.applyMoveEffects(id, batch.Update(now, event), now)
	}
}

func (m *Manager) tickMoves(now time.Time) {
	for _, id := range sortedPages(m.batches) {
		if next := m.batches[id].Next(); !now.Before(next) {
			m.moveEvent(id, ibismove.TickEvent{}, now)
		}
	}
	for _, refused := range m.receiver.Expire(now) {
		m.holdings.notify(m.unitSlot(refused.Page, refused.Unit))
	}
}

// failMovesTo reports dead members to the batches as failed targets.
func (m *Manager) failMovesTo(members []ibisid.Member, now time.Time) {
	for _, id := range sortedPages(m.batches) {
		for _, member := range members {
			m.moveEvent(id, ibismove.TargetFailedEvent{Target: member}, now)
		}
	}
}

func (m *Manager) applyMoveEffects(id ibisslot.PageID, effects []ibismove.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibismove.StopEffect:
			m.stopUnits(id, e.Transfers, now)
		case ibismove.HandOverEffect:
			m.handOver(e)
		case ibismove.CancelEffect:
			m.cancelHandOver(e)
		case ibismove.CommitEffect:
			m.commitMove(id, e)
		case ibismove.ReadPageEffect:
			m.readPageForMove(id)
		case ibismove.ApplyPageEffect:
			for _, key := range e.EndedOverrides {
				m.receiver.EndOverride(e.Page, key)
			}
			m.applyPage(e.Page, now)
			m.publishPage(e.Page)
		case ibismove.ResumeEffect:
			m.resumeUnits(id, e.Transfers)
			m.nextMoveAt[id] = now.Add(moveRetryDelay)
		case ibismove.MovedEffect:
			m.counts.moves.Add(uint64(len(e.Transfers)))
		case ibismove.AbandonEffect:
			for _, t := range e.Transfers {
				m.abandon(m.unitSlot(id, t.Unit), t.Token)
			}
			m.wakeChangedSlots()
		}
	}
	if batch := m.batches[id]; batch != nil && batch.Done() {
		delete(m.batches, id)
	}
}

func (m *Manager) stopUnits(id ibisslot.PageID, transfers []ibismove.Transfer, now time.Time) {
	var idle []ibismove.Unit
	for _, t := range transfers {
		slot := m.unitSlot(id, t.Unit)
		stop := m.holdings.stop
		if m.holdings.get(slot) != nil {
			m.memory.WithCore(func(core *ibisidempotency.Memory) { core.StopAdmission(slot) })
		} else if t.Unit.Hot {
			stop = m.holdings.stopKey
		}
		epoch := m.epoch
		later := func() {
			m.update(func(now time.Time) {
				if m.epoch == epoch {
					m.moveEvent(id, ibismove.IdleEvent{Unit: t.Unit}, now)
				}
			})
		}
		if stop(slot, later) {
			idle = append(idle, t.Unit)
		}
	}
	for _, unit := range idle {
		m.moveEvent(id, ibismove.IdleEvent{Unit: unit}, now)
	}
}

func (m *Manager) resumeUnits(id ibisslot.PageID, transfers []ibismove.Transfer) {
	for _, t := range transfers {
		slot := m.unitSlot(id, t.Unit)
		if m.holdings.resume(slot, t.Token) {
			m.memory.WithCore(func(core *ibisidempotency.Memory) { core.ResumeAdmission(slot) })
		} else if t.Unit.Hot {
			m.holdings.resumeKey(slot, t.Token)
		}
	}
}

// abandon releases a slot that the node owned under the token; a holding under a newer token stays.
func (m *Manager) abandon(slot ibisid.Slot, token ibisid.Token) {
	if held := m.holdings.get(slot); held != nil && held.token() == token {
		m.release(slot)
	}
}

func (m *Manager) commitMove(id ibisslot.PageID, e ibismove.CommitEffect) {
	m.spawn(tableTimeout, func(ctx context.Context) outcome {
		m.counts.commits.Add(1)
		result, err := m.table.Commit(ctx, e.Commit)
		return func(now time.Time) {
			if err != nil {
				m.moveEvent(id, ibismove.CommitUnknownEvent{CommitID: e.Commit.ID}, now)
				return
			}
			m.moveEvent(id, ibismove.CommitResultEvent{
				CommitID: e.Commit.ID,
				Result:   result,
			}, now)
		}
	})
}

func (m *Manager) readPageForMove(id ibisslot.PageID) {
	m.spawn(tableTimeout, func(ctx context.Context) outcome {
		m.counts.reads.Add(1)
		row, found, err := m.table.Read(ctx, id.RowKey())
		var page *ibisslot.Page
		if err == nil && found {
			page, _ = ibisslot.DecodePage(id, row.Version, row.Value)
		}
		return func(now time.Time) { m.moveEvent(id, ibismove.PageReadEvent{Page: page}, now) }
	})
}

func sortedPages[V any](m map[ibisslot.PageID]V) []ibisslot.PageID {
	ids := make([]ibisslot.PageID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, ibisslot.PageID.Compare)
	return ids
}
