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
func (k *Manager) requestMoves(moves []ibisplace.Move, now time.Time) {
	var owners []ibisid.Member
	byOwner := make(map[ibisid.Member][]ibisplace.Move)
	for _, m := range moves {
		if byOwner[m.From] == nil {
			owners = append(owners, m.From)
		}
		byOwner[m.From] = append(byOwner[m.From], m)
	}
	for _, owner := range owners {
		if owner == k.holder.Self() {
			k.planMoves(byOwner[owner])
			continue
		}
		known, ok := k.currentMember(owner)
		if !ok {
			continue
		}
		address := known.row.PeerAddress
		k.spawn(callTimeout, func(ctx context.Context) outcome {
			_ = k.call(ctx, address, "Move", MoveArgs{Moves: byOwner[owner]}, &struct{}{})
			return nil
		})
	}
	k.startMoves(now)
}

func (k *Manager) planMoves(moves []ibisplace.Move) {
	for _, m := range moves {
		if m.From == k.holder.Self() {
			k.planMove(m.Slot, m.To)
		}
	}
}

func (k *Manager) planMove(slot ibisid.Slot, target ibisid.Member) {
	id := ibisslot.PageID{
		Space:  slot.Space,
		Number: slot.Page(),
	}
	if k.plannedMoves[id] == nil {
		k.plannedMoves[id] = make(map[int]ibisid.Member)
	}
	k.plannedMoves[id][int(slot.Index)%ibisid.SlotsPerPage] = target
}

// startMoves starts a batch for each page with planned moves and no batch.
func (k *Manager) startMoves(now time.Time) {
	if _, valid := k.holder.Valid(now); !valid {
		return
	}
	for _, id := range k.pagesWithPlannedMoves() {
		if len(k.batches) >= maxBatches {
			return
		}
		page, ok := k.pages.Page(id)
		if k.batches[id] != nil || !ok || now.Before(k.nextMoveAt[id]) {
			continue
		}
		transfers := append(k.keyTransfers(page, k.plannedKeyMoves[id], now), k.transfers(page, k.plannedMoves[id], now)...)
		delete(k.plannedMoves, id)
		delete(k.plannedKeyMoves, id)
		delete(k.nextMoveAt, id)
		if len(transfers) > 0 {
			k.startBatch(page, transfers, now)
		}
	}
}

func (k *Manager) startBatch(page *ibisslot.Page, transfers []ibismove.Transfer, now time.Time) {
	k.sequence++
	batch, effects := ibismove.NewBatch(now, k.holder.Self(), page, transfers, k.sequence, k.ids, ibismove.WithFinishTimeout(finishTimeout))
	if batch.Done() {
		return
	}
	k.batches[page.ID()] = batch
	k.applyMoveEffects(page.ID(), effects, now)
}

// transfers returns the planned moves that can start now: of slots that are ready here, to members that accept slots.
func (k *Manager) transfers(page *ibisslot.Page, planned map[int]ibisid.Member, now time.Time) []ibismove.Transfer {
	var out []ibismove.Transfer
	for i := range page.Len() {
		target, ok := planned[i]
		if !ok || !k.acceptsSlots(target) {
			continue
		}
		held := k.holdings.get(slotOf(page.ID(), i))
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
func (k *Manager) acceptsSlots(m ibisid.Member) bool {
	known, ok := k.currentMember(m)
	return ok && known.row.State == ibislease.StateLive && known.row.Announcement.Weight > 0
}

// moveEvent passes an event to the batch of a page; the control lock must be held.
func (k *Manager) moveEvent(id ibisslot.PageID, event ibismove.Event, now time.Time) {
	if batch := k.batches[id]; batch != nil {
		k.applyMoveEffects(id, batch.Update(now, event), now)
	}
}

func (k *Manager) tickMoves(now time.Time) {
	for _, id := range sortedPages(k.batches) {
		if next := k.batches[id].Next(); !now.Before(next) {
			k.moveEvent(id, ibismove.TickEvent{}, now)
		}
	}
	for _, refused := range k.receiver.Expire(now) {
		k.holdings.notify(k.unitSlot(refused.Page, refused.Unit))
	}
}

// failMovesTo reports dead members to the batches as failed targets.
func (k *Manager) failMovesTo(members []ibisid.Member, now time.Time) {
	for _, id := range sortedPages(k.batches) {
		for _, m := range members {
			k.moveEvent(id, ibismove.TargetFailedEvent{Target: m}, now)
		}
	}
}

func (k *Manager) applyMoveEffects(id ibisslot.PageID, effects []ibismove.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibismove.StopEffect:
			k.stopUnits(id, e.Transfers, now)
		case ibismove.HandOverEffect:
			k.handOver(e)
		case ibismove.CancelEffect:
			k.cancelHandOver(e)
		case ibismove.CommitEffect:
			k.commitMove(id, e)
		case ibismove.ReadPageEffect:
			k.readPageForMove(id)
		case ibismove.ApplyPageEffect:
			for _, key := range e.EndedOverrides {
				k.receiver.EndOverride(e.Page, key)
			}
			k.applyPage(e.Page, now)
			k.publishPage(e.Page)
		case ibismove.ResumeEffect:
			k.resumeUnits(id, e.Transfers)
			k.nextMoveAt[id] = now.Add(moveRetryDelay)
		case ibismove.MovedEffect:
			k.counts.moves.Add(uint64(len(e.Transfers)))
		case ibismove.AbandonEffect:
			for _, t := range e.Transfers {
				k.abandon(k.unitSlot(id, t.Unit), t.Token)
			}
			k.wakeChangedSlots()
		}
	}
	if batch := k.batches[id]; batch != nil && batch.Done() {
		delete(k.batches, id)
	}
}

func (k *Manager) stopUnits(id ibisslot.PageID, transfers []ibismove.Transfer, now time.Time) {
	var idle []ibismove.Unit
	for _, t := range transfers {
		slot := k.unitSlot(id, t.Unit)
		stop := k.holdings.stop
		if k.holdings.get(slot) != nil {
			k.memory.WithCore(func(core *ibisidempotency.Memory) { core.StopAdmission(slot) })
		} else if t.Unit.Hot {
			stop = k.holdings.stopKey
		}
		epoch := k.epoch
		later := func() {
			k.update(func(now time.Time) {
				if k.epoch == epoch {
					k.moveEvent(id, ibismove.IdleEvent{Unit: t.Unit}, now)
				}
			})
		}
		if stop(slot, later) {
			idle = append(idle, t.Unit)
		}
	}
	for _, unit := range idle {
		k.moveEvent(id, ibismove.IdleEvent{Unit: unit}, now)
	}
}

func (k *Manager) resumeUnits(id ibisslot.PageID, transfers []ibismove.Transfer) {
	for _, t := range transfers {
		slot := k.unitSlot(id, t.Unit)
		if k.holdings.resume(slot, t.Token) {
			k.memory.WithCore(func(core *ibisidempotency.Memory) { core.ResumeAdmission(slot) })
		} else if t.Unit.Hot {
			k.holdings.resumeKey(slot, t.Token)
		}
	}
}

// abandon releases a slot that the node owned under the token; a holding under a newer token stays.
func (k *Manager) abandon(slot ibisid.Slot, token ibisid.Token) {
	if held := k.holdings.get(slot); held != nil && held.token() == token {
		k.release(slot)
	}
}

func (k *Manager) commitMove(id ibisslot.PageID, e ibismove.CommitEffect) {
	k.spawn(tableTimeout, func(ctx context.Context) outcome {
		k.counts.commits.Add(1)
		result, err := k.table.Commit(ctx, e.Commit)
		return func(now time.Time) {
			if err != nil {
				k.moveEvent(id, ibismove.CommitUnknownEvent{CommitID: e.Commit.ID}, now)
				return
			}
			k.moveEvent(id, ibismove.CommitResultEvent{
				CommitID: e.Commit.ID,
				Result:   result,
			}, now)
		}
	})
}

func (k *Manager) readPageForMove(id ibisslot.PageID) {
	k.spawn(tableTimeout, func(ctx context.Context) outcome {
		k.counts.reads.Add(1)
		row, found, err := k.table.Read(ctx, id.RowKey())
		var page *ibisslot.Page
		if err == nil && found {
			page, _ = ibisslot.DecodePage(id, row.Version, row.Value)
		}
		return func(now time.Time) { k.moveEvent(id, ibismove.PageReadEvent{Page: page}, now) }
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
