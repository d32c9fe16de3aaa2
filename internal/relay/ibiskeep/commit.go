package ibiskeep

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// pendingCommit is a commit of the page that is not settled.
type pendingCommit struct {
	id      uint64
	purpose Purpose
	commit  ibisstore.Commit
	page    Page
	sent    bool
	retryAt time.Time
}

// propose sends a new page under the conditions; the page's own version is always one.
func (k *Keeper) propose(purpose Purpose, page Page, conditions []ibisstore.Condition, removes []ibisstore.Key) {
	k.lastID++
	key := k.pageKey()
	k.pending = &pendingCommit{
		id:      k.lastID,
		purpose: purpose,
		page:    page,
		sent:    true,
		commit: ibisstore.Commit{
			Conditions: append([]ibisstore.Condition{{
				Key:     key,
				Version: k.pageRow,
			}}, conditions...),
			Writes: []ibisstore.Write{{
				Key:   key,
				Value: page.Encode(),
			}},
			Removes: removes,
		},
	}
	k.emit(CommitEffect{
		ID:      k.pending.id,
		Purpose: purpose,
		Commit:  k.pending.commit,
	})
}

func (k *Keeper) committed(e CommitEvent, now time.Time) {
	if k.lease.renewal != nil && e.ID == k.lease.renewal.id {
		k.renewed(e.Result, now)
		return
	}
	p := k.pending
	if p == nil || p.id != e.ID {
		return
	}
	switch e.Result.Outcome {
	case ibisstore.OutcomeApplied:
		k.pending = nil
		if e.Result.Version > k.pageRow {
			k.page, k.pageRow, k.pageKnown = p.page, e.Result.Version, true
		}
	case ibisstore.OutcomeConflict:
		k.pending = nil
		k.conflicted(e.Result, now)
	case ibisstore.OutcomeRefused, ibisstore.OutcomeUnknown:
		// The same commit again: either takes effect once, and until then nothing that it gives away is granted.
		p.sent = false
		p.retryAt = now.Add(retryAfter)
		if e.Result.Outcome == ibisstore.OutcomeRefused && p.purpose != PurposeHandover {
			k.pending = nil
		}
	}
}

// conflicted takes in the rows that a commit found changed.
func (k *Keeper) conflicted(result ibisstore.Result, now time.Time) {
	for _, row := range result.Rows {
		switch row.Key.Table {
		case TablePages:
			k.takePage(row)
		case TableLeases:
			k.leasesAt = time.Time{}
		}
	}
	if len(result.Rows) == 0 {
		k.pageStale = true
		k.retryRead = now
	}
}
