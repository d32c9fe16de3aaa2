package ibisrange

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// pendingCommit is a commit of the page whose final result is not known.
type pendingCommit struct {
	id      uint64
	purpose Purpose
	commit  ibisstore.Commit
	page    Page
	sent    bool
	retryAt time.Time
}

// propose sends a commit of a new page under the given conditions and that the page in the store is still the known version.
func (k *Manager) propose(purpose Purpose, page Page, conditions []ibisstore.Condition, removes []ibisstore.Key) {
	k.lastCommitID++
	key := k.pageKey()
	k.pending = &pendingCommit{
		id:      k.lastCommitID,
		purpose: purpose,
		page:    page,
		sent:    true,
		commit: ibisstore.Commit{
			Conditions: append([]ibisstore.Condition{{
				Key:     key,
				Version: k.pageVersion,
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

func (k *Manager) handleCommit(e CommitEvent, now time.Time) {
	if k.lease.renewal != nil && e.ID == k.lease.renewal.id {
		k.handleRenewal(e.Result, now)
		return
	}
	p := k.pending
	if p == nil || p.id != e.ID {
		return
	}
	switch e.Result.Outcome {
	case ibisstore.OutcomeApplied:
		k.pending = nil
		if e.Result.Version > k.pageVersion {
			k.page, k.pageVersion, k.pageKnown = p.page, e.Result.Version, true
		}
	case ibisstore.OutcomeConflict:
		k.pending = nil
		k.handlePageConflict(e.Result, now)
	case ibisstore.OutcomeRefused, ibisstore.OutcomeUnknown:
		// The same commit is sent again. It takes effect at most once, and while it is pending the ranges that it gives away
		// are not granted.
		p.sent = false
		p.retryAt = now.Add(retryDelay)
		if e.Result.Outcome == ibisstore.OutcomeRefused && p.purpose != PurposeHandover {
			k.pending = nil
		}
	}
}

// handlePageConflict applies the rows that the store returned because they had changed.
func (k *Manager) handlePageConflict(result ibisstore.Result, now time.Time) {
	for _, row := range result.Rows {
		switch row.Key.Table {
		case TablePages:
			k.applyPage(row)
		case TableLeases:
			k.leasesReadAt = time.Time{}
		}
	}
	if len(result.Rows) == 0 {
		k.pageStale = true
		k.readRetryAt = now
	}
}
