package ibisidempotency

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// ExportHotKey returns the entries of one key of a slot as the record of a hot key, and false while a request of the key
// runs. The slot stays in use; the caller must begin no request of the key until the move has committed or failed.
// Entries without a hash are copied too, since they may belong to the key.
func (m *Memory) ExportHotKey(key ibisid.Slot, now time.Time) (Record, bool) {
	m.advanceClock(now)
	s := m.slots[key.WithoutHotKey()]
	if s == nil || s.moving {
		return Record{}, false
	}
	mayBelongToKey := func(e *entry) bool { return e.hash == key.Hot || e.hash == 0 }
	for _, e := range s.entries {
		if e.hash == key.Hot && (e.phase == phaseAdmitted || e.phase == phaseSent) {
			return Record{}, false
		}
	}
	return s.export(key, func(e *entry) bool { return mayBelongToKey(e) && (e.phase == phaseDone || e.phase == phaseLost) }), true
}

// CanMergeHotKey reports whether the memory of a hot key can be merged into its slot without making other keys of the slot
// answer VerdictUnknown, that is, whether the window of a lossy takeover of the hot key has passed.
func (m *Memory) CanMergeHotKey(key ibisid.Slot, now time.Time) bool {
	hot, s := m.slots[key], m.slots[key.WithoutHotKey()]
	if hot == nil || s == nil {
		return false
	}
	return !hot.lossy || now.After(hot.lossyAt.Add(m.config.Retention+m.config.Skew+m.config.NodeSkew))
}

// MergeHotKey merges the memory of a hot key without running requests into that of its slot, and sets the slot's token. The
// newer expired ticket and the later lossy takeover of the two memories apply afterwards; where both have an entry for a
// key, the slot's entry stays. MergeHotKey does nothing where the node lacks either memory.
func (m *Memory) MergeHotKey(key ibisid.Slot, token ibisid.Token) {
	hot, s := m.slots[key], m.slots[key.WithoutHotKey()]
	if hot == nil || s == nil {
		return
	}
	for id, e := range hot.entries {
		if s.entries[id] != nil {
			continue
		}
		delete(hot.entries, id)
		e.slot = key.WithoutHotKey()
		s.entries[id] = e
	}
	s.newestExpiredTicket.raise(ticket{
		Token:    ibisid.Token(hot.newestExpiredTicket.token),
		Sequence: hot.newestExpiredTicket.sequence,
	})
	if hot.lossy {
		s.lossyToken = max(s.lossyToken, hot.lossyToken)
		if !s.lossy || hot.lossyAt.After(s.lossyAt) {
			s.lossyAt = hot.lossyAt
		}
		s.lossy = true
	}
	s.token = token
	s.ticketsIssued = 0
	m.Drop(key)
}
