package ibislease

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// handleRows applies rows that were read. It ignores rows of a lower version than known and rows that can't be decoded, except a
// member row of another writer that a joined holder reads.
//
// Ignoring a row is safe: a commit names the versions that it relies on, so it can't take effect after a change of the row.
func (h *Holder) handleRows(e ReadEvent, now time.Time) []Effect {
	if e.Sequence != 0 && e.Sequence == h.reads {
		h.tableHeardAt = now
	}
	readEffects, dead := h.handleDeathsRow(e, now)
	if dead {
		return h.endIncarnation(h.Self().Incarnation)
	}
	var effects []Effect
	for _, row := range e.Rows {
		if row.Key == RowKey(h.Self().Name) {
			effects = append(effects, h.handleMemberRow(row, e.Sequence)...)
		}
	}
	if h.phase == phaseJoining && h.pending == nil {
		effects = append(effects, h.checkPrevious(e, now)...)
	}
	return append(readEffects, effects...)
}

// handleDeathsRow stores the version of the deaths row and reports whether the row lists this incarnation as dead.
//
// A pending commit can't take effect after a change of the deaths row, but may have done so before: the holder reads the rows
// again to find out.
func (h *Holder) handleDeathsRow(e ReadEvent, now time.Time) ([]Effect, bool) {
	for _, row := range e.Rows {
		if row.Key != h.deathsKey || row.Version <= h.deathsVersion {
			continue
		}
		deaths, err := DecodeDeaths(row.Value)
		if err != nil {
			continue
		}
		if deaths.Has(h.Self()) && h.terms.mutation != mutateReuseIncarnation {
			return nil, true
		}
		h.deathsVersion = row.Version
	}
	p := h.pending
	if p == nil || p.conclusiveRead != 0 || h.deathsVersion == p.deathsCondition {
		return nil, false
	}
	if h.terms.mutation == mutateDropPendingEarly {
		h.pending = nil
		return nil, false
	}
	effects := h.readRows(now)
	p.conclusiveRead = h.reads
	return effects, false
}

// handleMemberRow recognizes a successful commit by its id and drops a pending commit that can no longer take effect.
func (h *Holder) handleMemberRow(row ibisplatform.Row, sequence uint64) []Effect {
	p := h.pending
	switch {
	case row.Version < h.version:
		return nil
	case row.Version > h.version && p != nil && row.CommitID == p.commit.ID:
		return h.setCommitted(p.row, row.Version, p.sent)
	case row.Version > h.version:
		return h.handleForeignRow(row)
	case p != nil && p.conclusiveRead != 0 && sequence >= p.conclusiveRead:
		h.pending = nil
	}
	return nil
}

// handleForeignRow handles a row that another writer committed under the node's name.
//
// It ends the incarnation of a joined holder, whose own row is then no longer in the table, even if the new row can't be decoded.
// A joining holder takes the row as that of the previous incarnation.
func (h *Holder) handleForeignRow(row ibisplatform.Row) []Effect {
	content, err := DecodeRow(row.Value)
	if h.phase == phaseJoined {
		return h.endIncarnation(content.Member.Incarnation)
	}
	if err != nil {
		return nil
	}
	h.pending = nil
	h.version = row.Version
	h.previous = content
	h.joinAllowedAt = time.Time{}
	return nil
}

// join waits until the previous incarnation can never be valid again, probes witnesses and then commits the first row.
func (h *Holder) join(now time.Time) []Effect {
	if h.pending != nil {
		return h.resendPending(now)
	}
	if h.joinAllowedAt.IsZero() {
		if now.Before(h.nextRead) {
			return nil
		}
		return h.readRows(now)
	}
	effects := h.sendHeartbeats(now)
	if now.Before(h.nextCommit) {
		return effects
	}
	row := h.desired
	row.Witnesses = h.nextWitnesses(now)
	if h.countFresh(row.Witnesses, now) == WitnessCount {
		return append(effects, h.commit(row, now)...)
	}
	if len(row.Witnesses) > 0 && now.Sub(h.joinAllowedAt) < h.terms.Term {
		return effects
	}
	row.Witnesses = nil
	row.Direct = true
	return append(effects, h.commitDirect(row, now)...)
}

// checkPrevious allows the first commit once no previous incarnation of the node can be valid, and otherwise reports the previous
// incarnation as a suspect. Only the answer to the latest read counts.
func (h *Holder) checkPrevious(e ReadEvent, now time.Time) []Effect {
	if e.Sequence != h.reads || e.Sequence == 0 {
		return nil
	}
	previous := h.previous
	reuse := h.terms.mutation == mutateReuseIncarnation
	switch {
	case previous.Member.IsZero():
	case previous.Member.Incarnation >= h.Self().Incarnation && !reuse:
		return h.endIncarnation(previous.Member.Incarnation)
	case previous.State != StateLeft && !e.listsDead(previous):
		return []Effect{SuspectEffect{Members: []ibisid.Member{previous.Member}}}
	}
	if h.joinAllowedAt.IsZero() {
		h.joinAllowedAt = now
	}
	return nil
}

// listsDead reports whether the event has the deaths row of the member and this row lists the member.
func (e ReadEvent) listsDead(row Row) bool {
	key := DeathsKey(row.Place.Domain, row.Member.Name)
	for _, r := range e.Rows {
		if r.Key != key {
			continue
		}
		if deaths, err := DecodeDeaths(r.Value); err == nil && deaths.Has(row.Member) {
			return true
		}
	}
	return false
}
