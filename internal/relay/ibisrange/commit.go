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

// propose requests a commit of a new page. The commit requires the given conditions, and that the page's row in the store
// still has the known version.
func (m *Manager) propose(purpose Purpose, page Page, conditions []ibisstore.Condition, removes []ibisstore.Key) {
	m.proposeAfter(m.pageVersion, purpose, page, conditions, removes)
}

// proposeAfter requests a commit of a new page in place of the one with the given version.
func (m *Manager) proposeAfter(version uint64, purpose Purpose, page Page, conditions []ibisstore.Condition, removes []ibisstore.Key) {
	m.lastCommitID++
	key := m.pageKey()
	m.pending = &pendingCommit{
		id:      m.lastCommitID,
		purpose: purpose,
		page:    page,
		sent:    true,
		commit: ibisstore.Commit{
			Conditions: append([]ibisstore.Condition{{
				Key:     key,
				Version: version,
			}}, conditions...),
			Writes: []ibisstore.Write{{
				Key:   key,
				Value: page.Encode(),
			}},
			Removes: removes,
		},
	}
	m.emit(CommitEffect{
		ID:      m.pending.id,
		Purpose: purpose,
		Commit:  m.pending.commit,
	})
}

func (m *Manager) handleCommit(e CommitEvent, now time.Time) {
	m.noticeEra(e.Result.Version, e.Result.Clock)
	if m.lease.renewal != nil && e.ID == m.lease.renewal.id {
		m.handleRenewal(e.Result, now)
		return
	}
	p := m.pending
	if p == nil || p.id != e.ID {
		return
	}
	switch e.Result.Outcome {
	case ibisstore.OutcomeApplied:
		m.pending = nil
		if p.page.Era == m.era && ibisstore.EraOf(e.Result.Version) == m.era && e.Result.Version > m.pageVersion {
			m.usePage(p.page, e.Result.Version)
		}
	case ibisstore.OutcomeConflict:
		m.pending = nil
		m.handlePageConflict(e.Result, now)
	case ibisstore.OutcomeStaleEra:
		m.pending = nil
	case ibisstore.OutcomeRefused, ibisstore.OutcomeUnknown:
		// The same commit is sent again, except for a refused one that is not a handover. It takes effect at most once, and
		// while it is pending the ranges that it gives away are not granted.
		p.sent = false
		p.retryAt = now.Add(retryDelay)
		if e.Result.Outcome == ibisstore.OutcomeRefused && p.purpose != PurposeHandover {
			m.pending = nil
		}
	}
}

// handlePageConflict applies a changed page row that the store returned, makes a read of the leases due if a lease row was
// returned, and a read of the page if the store returned no rows.
func (m *Manager) handlePageConflict(result ibisstore.Result, now time.Time) {
	for _, row := range result.Rows {
		switch row.Key.Table {
		case TablePages:
			m.applyPage(row)
		case TableLeases:
			if row.Key == m.leaseKey(m.config.Node) {
				m.lease.outdated = row.Version != m.lease.version
			} else {
				m.leasesReadAt = time.Time{}
			}
		}
	}
	if len(result.Rows) == 0 {
		m.pageStale = true
		m.readRetryAt = now
	}
}
