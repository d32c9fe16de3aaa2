package ibislease

import (
	"fmt"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// pendingRow is a commit that was sent and may still take effect.
type pendingRow struct {
	row         Row
	commit      ibisplatform.Commit
	baseVersion ibisplatform.Version
	// deathsCondition is the version of the deaths row that the commit requires.
	deathsCondition ibisplatform.Version
	sent            time.Time
	nextSend        time.Time
	// conclusiveRead is the sequence of the first read that began after the deaths row was seen to have changed, or zero before
	// that. Since the commit can no longer take effect, such a read shows whether it did.
	conclusiveRead uint64
}

func (h *Holder) commit(row Row, now time.Time) []Effect {
	h.commits++
	key := RowKey(h.Self().Name)
	commit := ibisplatform.Commit{
		ID: fmt.Sprintf("%s/%d/%d", h.Self().Name, h.Self().Incarnation, h.commits),
		Conditions: []ibisplatform.Condition{{
			Key:     key,
			Version: h.version,
		}},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: row.Encode(),
		}},
	}
	if h.terms.mutation != mutateIgnoreDeaths {
		commit.Conditions = append(commit.Conditions, ibisplatform.Condition{
			Key:     h.deathsKey,
			Version: h.deathsVersion,
		})
	}
	h.pending = &pendingRow{
		row:             row,
		commit:          commit,
		baseVersion:     h.version,
		deathsCondition: h.deathsVersion,
		sent:            now,
		nextSend:        now.Add(h.terms.Heartbeat),
	}
	h.nextCommit = now.Add(h.terms.Heartbeat)
	return []Effect{CommitEffect{Commit: commit}}
}

// resendPending repeats a commit without an answer; its conditions let it take effect at most once.
func (h *Holder) resendPending(now time.Time) []Effect {
	if now.Before(h.pending.nextSend) {
		return nil
	}
	h.pending.nextSend = now.Add(h.terms.Heartbeat)
	if h.pending.conclusiveRead != 0 {
		return h.readRows(now)
	}
	return []Effect{CommitEffect{Commit: h.pending.commit}}
}

// handleCommitResult applies a successful commit. A conflict may be that of a repeated copy of a successful commit, so the
// holder reads the row instead of dropping the commit.
func (h *Holder) handleCommitResult(e CommitResultEvent, now time.Time) []Effect {
	if h.pending == nil || h.pending.commit.ID != e.ID {
		return nil
	}
	h.tableHeardAt = now
	if e.Result.Status != ibisplatform.CommitApplied {
		return h.readRows(now)
	}
	return h.setCommitted(h.pending.row, e.Result.Version, h.pending.sent)
}

func (h *Holder) setCommitted(row Row, version ibisplatform.Version, committedSent time.Time) []Effect {
	joining := h.phase == phaseJoining
	h.previous = Row{}
	h.committed = row
	h.version = version
	h.committedSent = committedSent
	h.pending = nil
	h.phase = phaseJoined
	if row.State == StateLeft {
		h.phase = phaseDead
		return nil
	}
	if !joining {
		return nil
	}
	return []Effect{JoinedEffect{Row: row}}
}

func (h *Holder) readRows(now time.Time) []Effect {
	h.reads++
	h.nextRead = now.Add(h.terms.Heartbeat)
	keys := []string{RowKey(h.Self().Name), h.deathsKey}
	if !h.previous.Member.IsZero() {
		if key := DeathsKey(h.previous.Place.Domain, h.previous.Member.Name); key != keys[1] {
			keys = append(keys, key)
		}
	}
	return []Effect{ReadEffect{
		Sequence: h.reads,
		Keys:     keys,
	}}
}

func (h *Holder) endIncarnation(after ibisid.Incarnation) []Effect {
	h.phase = phaseDead
	return []Effect{RejoinEffect{After: max(after, h.Self().Incarnation)}}
}
