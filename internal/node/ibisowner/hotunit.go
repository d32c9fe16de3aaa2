package ibisowner

import (
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

func hotUnit(key ibisslot.KeyHash) ibismove.Unit {
	return ibismove.Unit{
		Key: key,
		Hot: true,
	}
}

// unitOfSlot returns the move unit of a slot or hot key.
func unitOfSlot(slot ibisid.Slot) ibismove.Unit {
	if slot.Hot != 0 {
		return hotUnit(ibisslot.KeyHash(slot.Hot))
	}
	return ibismove.Unit{Position: int(slot.Index) % ibisid.SlotsPerPage}
}

// slotOfUnit returns the slot or hot key of a unit of the page.
func slotOfUnit(page *ibisslot.Page, unit ibismove.Unit) ibisid.Slot {
	if !unit.Hot {
		return slotOf(page.ID(), unit.Position)
	}
	slot := slotOf(page.ID(), page.Position(unit.Key))
	slot.Hot = uint64(unit.Key)
	return slot
}

// unitSlot returns the slot or hot key of a unit without the page, which may be unknown here.
func (m *Manager) unitSlot(id ibisslot.PageID, unit ibismove.Unit) ibisid.Slot {
	if !unit.Hot {
		return slotOf(id, unit.Position)
	}
	return ibisid.Slot{
		Space: id.Space,
		Index: unit.Key.Slot(max(1, m.pages.Slots(id.Space))),
		Hot:   uint64(unit.Key),
	}
}

// assignmentOf returns the assignment of a unit; for a key without an override that is the assignment of its slot.
func assignmentOf(page *ibisslot.Page, unit ibismove.Unit) ibisslot.Assignment {
	if !unit.Hot {
		return page.Slot(unit.Position)
	}
	if a, ok := page.Override(unit.Key); ok {
		return a
	}
	return page.Slot(page.Position(unit.Key))
}

// hintKey returns the identity under which a hint is kept: one key, because the owner of a hot key need not own its
// slot.
func hintKey(slot ibisid.Slot, key string) ibisid.Slot {
	slot.Hot = uint64(ibisslot.HashKey(key))
	return slot
}

// exportUnit returns the at-most-once memory of a slot or hot key that is to move. The memory of a key without an
// override is extracted from that of its slot.
func (m *Manager) exportUnit(core *ibisidempotency.Memory, slot ibisid.Slot) (ibisidempotency.Record, bool) {
	wall := ibistimer.WallTime(m.timer, m.timer.Now())
	if slot.Hot != 0 && m.holdings.get(slot) == nil {
		return core.ExportHotKey(slot, wall)
	}
	return core.Export(slot, wall)
}

// planKeyMove plans to move a hot key. If the target already owns the slot and the key, the move ends the override.
func (m *Manager) planKeyMove(space ibisid.SlotSpace, key ibisslot.KeyHash, target ibisid.Member) {
	slots := m.pages.Slots(space)
	if slots == 0 {
		return
	}
	id := ibisslot.PageID{
		Space:  space,
		Number: uint32(key.Slot(slots)) / ibisid.SlotsPerPage,
	}
	if m.plannedKeyMoves[id] == nil {
		m.plannedKeyMoves[id] = make(map[ibisslot.KeyHash]ibisid.Member)
	}
	m.plannedKeyMoves[id][key] = target
}

// pagesWithPlannedMoves returns the pages with planned moves, in order.
func (m *Manager) pagesWithPlannedMoves() []ibisslot.PageID {
	ids := slices.Concat(sortedPages(m.plannedMoves), sortedPages(m.plannedKeyMoves))
	slices.SortFunc(ids, ibisslot.PageID.Compare)
	return slices.Compact(ids)
}

// keyTransfers returns the planned moves of keys that can start now, at most one return to each slot.
func (m *Manager) keyTransfers(page *ibisslot.Page, planned map[ibisslot.KeyHash]ibisid.Member, now time.Time) []ibismove.Transfer {
	var out []ibismove.Transfer
	returning := make(map[int]bool)
	for _, key := range slices.Sorted(maps.Keys(planned)) {
		target, position := planned[key], page.Position(key)
		token, ok := m.movable(page, key, now)
		if !ok || target != m.holder.Self() && !m.acceptsSlots(target) {
			continue
		}
		if target == m.holder.Self() {
			if returning[position] || !m.canMerge(slotOfUnit(page, hotUnit(key)), now) {
				continue
			}
			returning[position] = true
		}
		out = append(out, ibismove.Transfer{
			Unit:   hotUnit(key),
			Target: target,
			Token:  token,
		})
	}
	return out
}

// movable returns the token under which the node owns the key, and whether the key can move now.
func (m *Manager) movable(page *ibisslot.Page, key ibisslot.KeyHash, now time.Time) (ibisid.Token, bool) {
	slot := slotOfUnit(page, hotUnit(key))
	if _, exists := page.Override(key); !exists {
		slot = slot.WithoutHotKey()
	}
	held := m.holdings.get(slot)
	a := assignmentOf(page, hotUnit(key))
	if held == nil || a.Owner != m.holder.Self() || held.token() != a.Token || now.Before(held.readyAt) {
		return 0, false
	}
	return a.Token, true
}

func (m *Manager) canMerge(key ibisid.Slot, now time.Time) bool {
	if m.holdings.get(key.WithoutHotKey()) == nil {
		return false
	}
	var ok bool
	m.memory.WithCore(func(core *ibisidempotency.Memory) { ok = core.CanMergeHotKey(key, ibistimer.WallTime(m.timer, now)) })
	return ok
}

// mergeReturnedKeys merges hot keys into their slots where the page shows that this node's own move returned them: the
// slot's token is one above the greater of both, so no other member owned either in between.
func (m *Manager) mergeReturnedKeys(page *ibisslot.Page) {
	id := page.ID()
	for _, key := range m.holdings.hotKeys(&id) {
		hash := ibisslot.KeyHash(key.Hot)
		if _, exists := page.Override(hash); exists {
			continue
		}
		hot, whole := m.holdings.get(key), m.holdings.get(key.WithoutHotKey())
		position := page.Position(hash)
		a := page.Slot(position)
		if whole == nil || a.Owner != m.holder.Self() || a.Token != max(whole.token(), hot.token())+1 {
			continue
		}
		m.memory.WithCore(func(core *ibisidempotency.Memory) { core.MergeHotKey(key, a.Token) })
		m.holdings.mergeKey(key, a.Token, overriddenKeys(page, position))
		m.receiver.EndOverride(page, hash)
		m.changedSlots = append(m.changedSlots, key)
	}
}

// releaseLostKeys releases the hot keys that the page assigns to another member or under another token.
func (m *Manager) releaseLostKeys(page *ibisslot.Page) {
	id := page.ID()
	for _, key := range m.holdings.hotKeys(&id) {
		a, exists := page.Override(ibisslot.KeyHash(key.Hot))
		if !exists || a.Owner != m.holder.Self() || a.Token != m.holdings.get(key).token() {
			m.release(key)
		}
	}
}

// evacuateKeys plans to move hot keys away when the node leaves or is evicted, or when the rules forbid their space
// here. The target is the owner of the slot, otherwise the least loaded member.
func (m *Manager) evacuateKeys() {
	all := m.leaving || m.evicting()
	for _, key := range m.holdings.hotKeys(nil) {
		id := ibisslot.PageID{
			Space:  key.Space,
			Number: key.Page(),
		}
		hash := ibisslot.KeyHash(key.Hot)
		_, planned := m.plannedKeyMoves[id][hash]
		stays := m.rules.Allowed(key.Space, m.config.Place) || m.keyRules.recentlyRestricted(m.document, hash, m.timer.Now())
		if planned || m.batches[id] != nil || !all && stays {
			continue
		}
		a, _ := m.pages.Locate(key.WithoutHotKey())
		target := a.Owner
		if target == m.holder.Self() || !m.acceptsSlots(target) {
			placer := m.placerWithoutSelf(ibiscoordinator.SpaceEvent{
				Space: key.Space,
				Slots: m.pages.Slots(key.Space),
			})
			var ok bool
			if target, ok = placer.ChooseOwner(key.WithoutHotKey(), a, nil); !ok {
				continue
			}
		}
		m.planKeyMove(key.Space, hash, target)
	}
}
