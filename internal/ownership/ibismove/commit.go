package ibismove

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// commitTransfers commits all transfers on top of the latest known page.
func (b *Batch) commitTransfers(now time.Time) []Effect {
	b.nextPage = b.page.Clone()
	for _, t := range b.transfers {
		t.apply(b.nextPage, b.self)
	}
	b.fencing = false
	b.deadline = now.Add(commitTimeout)
	return b.commitPage(now)
}

// fence writes the unchanged page. The new row version invalidates the condition of the earlier commit.
func (b *Batch) fence(now time.Time) []Effect {
	b.nextPage = b.page.Clone()
	b.fencing = true
	b.deadline = now.Add(commitTimeout)
	return b.commitPage(now)
}

func (b *Batch) commitPage(now time.Time) []Effect {
	key := b.page.ID().RowKey()
	b.commit = ibisplatform.Commit{
		ID: b.ids.Next(),
		Conditions: []ibisplatform.Condition{{
			Key:     key,
			Version: b.page.Version(),
		}},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: b.nextPage.Encode(),
		}},
	}
	return b.sendCommit(now)
}

func (b *Batch) sendCommit(now time.Time) []Effect {
	b.state = stateCommitting
	b.deadline = now.Add(commitTimeout)
	return []Effect{CommitEffect{Commit: b.commit}}
}

func (b *Batch) handleCommitResult(now time.Time, e CommitResultEvent) []Effect {
	if e.CommitID != b.commit.ID {
		return nil
	}
	if e.Result.Status == ibisplatform.CommitApplied {
		return b.resolve(now, b.nextPage.WithVersion(e.Result.Version))
	}
	return b.readCurrentPage(now)
}

func (b *Batch) handleCommitUnknown(now time.Time, e CommitUnknownEvent) []Effect {
	if e.CommitID != b.commit.ID || b.state != stateCommitting {
		return nil
	}
	return b.readCurrentPage(now)
}

func (b *Batch) readCurrentPage(now time.Time) []Effect {
	b.state = stateReadingPage
	b.deadline = now.Add(commitTimeout)
	return []Effect{ReadPageEffect{Page: b.page.ID()}}
}

// handlePageRead resolves the commit from the current page. While the version is unchanged, the commit may still take effect.
func (b *Batch) handlePageRead(now time.Time, page *ibisslot.Page) []Effect {
	if b.state != stateReadingPage {
		return nil
	}
	if page == nil || page.Version() <= b.page.Version() {
		b.state = stateWaitingToRetry
		b.deadline = now.Add(retryDelay)
		return nil
	}
	return b.resolve(now, page)
}

// resolve classifies the transfers by a page whose version is higher than that in the commit's condition.
func (b *Batch) resolve(now time.Time, page *ibisslot.Page) []Effect {
	var moved, lost, open []Transfer
	for _, t := range b.transfers {
		switch {
		case t.committed(page, b.self):
			moved = append(moved, t)
		case t.possible(page, b.self):
			open = append(open, t)
		default:
			lost = append(lost, t)
		}
	}
	b.page = page
	b.transfers = open
	effects := []Effect{ApplyPageEffect{
		Page:           page,
		EndedOverrides: b.endedOverrides(moved),
	}}
	if len(moved) > 0 {
		effects = append(effects, MovedEffect{
			Page:      page,
			Transfers: moved,
		})
	}
	if len(lost) > 0 {
		effects = append(effects, AbandonEffect{Transfers: lost})
	}
	return append(effects, b.continueRemaining(now)...)
}

// endedOverrides returns the hot keys among the moved units that returned to their slots.
func (b *Batch) endedOverrides(moved []Transfer) []ibisslot.KeyHash {
	var keys []ibisslot.KeyHash
	for _, t := range b.transfersTo(moved, b.self) {
		keys = append(keys, t.Unit.Key)
	}
	return keys
}

// continueRemaining commits the remaining transfers on the newer page, or cancels them if the batch was to be cancelled.
func (b *Batch) continueRemaining(now time.Time) []Effect {
	switch {
	case len(b.transfers) == 0:
		b.state = stateDone
		return nil
	case b.cancelRequested:
		return b.continueWith(now, func(Transfer) bool { return false })
	}
	return b.commitTransfers(now)
}

// abandon ends the batch after the source's lease expired.
func (b *Batch) abandon() []Effect {
	b.state = stateDone
	return []Effect{AbandonEffect{Transfers: b.transfers}}
}

// commitPending reports whether a commit was sent whose outcome is not resolved yet.
func (b *Batch) commitPending() bool { return b.state >= stateCommitting }

func (b *Batch) handleTargetFailed(now time.Time, target ibisid.Member) []Effect {
	if len(b.transfersTo(b.transfers, target)) == 0 || target == b.self {
		return nil
	}
	if b.commitPending() {
		b.cancelRequested = true
		return nil
	}
	return b.continueWith(now, func(t Transfer) bool { return t.Target != target })
}

// handleTimeout cancels the transfers of units with running requests or of targets without an acknowledgement. A commit that
// is still unresolved is resent or fenced.
func (b *Batch) handleTimeout(now time.Time) []Effect {
	switch b.state {
	case stateStopping:
		return b.continueWith(now, b.isIdle)
	case stateHandingOver:
		return b.continueWith(now, b.isAcked)
	case stateWaitingToRetry:
		if b.cancelRequested && !b.fencing {
			return b.fence(now)
		}
		return b.sendCommit(now)
	default:
		b.cancelRequested = true
		return b.readCurrentPage(now)
	}
}

// continueWith continues with the transfers for which keep returns true and cancels the others. It must not be called while a
// commit is pending.
func (b *Batch) continueWith(now time.Time, keep func(Transfer) bool) []Effect {
	var cancelled []Transfer
	for _, t := range b.transfers {
		if !keep(t) {
			cancelled = append(cancelled, t)
		}
	}
	b.transfers = slices.DeleteFunc(slices.Clone(b.transfers), func(t Transfer) bool { return !keep(t) })
	effects := b.cancelHandOvers(cancelled)
	if len(cancelled) > 0 {
		effects = append(effects, ResumeEffect{Transfers: cancelled})
	}
	if len(b.transfers) == 0 {
		b.state = stateDone
		return effects
	}
	return append(effects, b.proceed(now)...)
}

func (b *Batch) cancelHandOvers(transfers []Transfer) []Effect {
	if b.state == stateStopping {
		return nil
	}
	var effects []Effect
	for _, target := range b.remoteTargets(transfers) {
		effects = append(effects, CancelEffect{
			Target:    target,
			Page:      b.page.ID(),
			Sequence:  b.sequence,
			Transfers: b.transfersTo(transfers, target),
		})
	}
	return effects
}
