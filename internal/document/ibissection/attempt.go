package ibissection

import (
	"context"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// attempt is the state of one change from the first plan to its outcome.
type attempt struct {
	store   *Store
	request planRequest
	team    ibisid.TeamName
	// unconfirmed is the plan whose commit was sent without an answer, nil where there is none.
	unconfirmed *commitPlan
	// headVersion is the version of the head row on which the unconfirmed commit is conditional.
	headVersion ibisplatform.Version
}

// step loads the document, resolves an unconfirmed commit, and plans and commits the change. It stops at the first failure and
// reports whether the outcome is final.
func (a *attempt) step(ctx context.Context) (Outcome, bool) {
	snapshot, err := a.store.Load(ctx)
	if err != nil {
		return a.platformFailed(err), false
	}
	if a.unconfirmed != nil {
		outcome, done, resolved := a.resolveUnconfirmed(ctx, snapshot)
		if done || !resolved {
			return outcome, done
		}
	}
	a.request.Snapshot = snapshot
	a.request.MinRevision = a.store.minRevision()
	a.request.Now = a.store.clock.Now()
	plan, rejection := a.request.plan()
	if plan == nil {
		return a.reject(ctx, rejection)
	}
	a.team = plan.team
	for _, o := range plan.objects {
		if err := a.store.objects.Put(ctx, o.name, o.body); err != nil {
			return a.platformFailed(err), false
		}
	}
	return a.commit(ctx, plan, snapshot.headVersion)
}

// platformFailed returns the outcome after a failed call to the platform: StatusUnknown where a commit is unconfirmed,
// otherwise StatusUnavailable.
func (a *attempt) platformFailed(err error) Outcome {
	outcome := Outcome{
		Status: StatusUnavailable,
		Reason: err.Error(),
	}
	if a.unconfirmed != nil {
		outcome.Status = StatusUnknown
		outcome.Version = a.unconfirmed.version
	}
	return outcome
}

func (a *attempt) commit(ctx context.Context, plan *commitPlan, headVersion ibisplatform.Version) (Outcome, bool) {
	result, err := a.store.table.Commit(ctx, plan.commit)
	switch {
	case err != nil:
		a.unconfirmed = plan
		a.headVersion = headVersion
		return a.platformFailed(err), false
	case result.Status == ibisplatform.CommitApplied:
		return plan.applied(), true
	case a.unconfirmed != nil:
		return a.platformFailed(errConcurrentChange), false
	default:
		return Outcome{
			Status: StatusUnavailable,
			Reason: "other changes kept coming first",
		}, false
	}
}

func (p *commitPlan) applied() Outcome {
	return Outcome{
		Status:   StatusApplied,
		Revision: p.version.Revision(),
		Version:  p.version,
	}
}

// resolveUnconfirmed determines whether the unconfirmed commit took effect: from the head, by sending the commit again while
// its conditions may still hold, or from the chain of records once the head has changed.
func (a *attempt) resolveUnconfirmed(ctx context.Context, snapshot *Snapshot) (outcome Outcome, done, resolved bool) {
	plan := a.unconfirmed
	if snapshot.head.Version == plan.version {
		return plan.applied(), true, true
	}
	if snapshot.headVersion == a.headVersion {
		outcome, done = a.commit(ctx, plan, a.headVersion)
		return outcome, done, false
	}
	found, err := a.store.inChain(ctx, snapshot.head.Version, plan.version)
	if err != nil {
		return a.platformFailed(err), false, false
	}
	if found {
		return plan.applied(), true, true
	}
	a.unconfirmed = nil
	return Outcome{}, false, true
}

// reject returns the rejection of a change, with the differences of its conflicts, unless the same change was applied before:
// then the request is a retry and the outcome is that of the applied change.
func (a *attempt) reject(ctx context.Context, rejection Outcome) (Outcome, bool) {
	if version, found := a.findInSnapshot(); found {
		return Outcome{
			Status:   StatusApplied,
			Revision: version.Revision(),
			Version:  version,
		}, true
	}
	if rejection.Status != StatusConflict {
		return rejection, true
	}
	version, found, err := a.findInChain(ctx)
	if err != nil {
		return a.platformFailed(err), false
	}
	if found {
		return Outcome{
			Status:   StatusApplied,
			Revision: version.Revision(),
			Version:  version,
		}, true
	}
	for i := range rejection.Conflicts {
		a.addDifferences(ctx, &rejection.Conflicts[i])
	}
	return rejection, true
}

// findInSnapshot returns the version that the change made, if it is the current version of an edited section or of the
// document.
func (a *attempt) findInSnapshot() (Version, bool) {
	id := a.request.Change.fingerprint()
	for _, edit := range a.request.Change.Edits {
		if version := a.request.Snapshot.index[edit.Section]; version.ChangeID() == id {
			return version, true
		}
	}
	if head := a.request.Snapshot.head.Version; head.ChangeID() == id {
		return head, true
	}
	return "", false
}

// findInChain searches for the change in the records of its first section since the base of the edit, or in all records since
// then where that section no longer exists. It reads at most maxRecordsSearched records.
func (a *attempt) findInChain(ctx context.Context) (Version, bool, error) {
	id := a.request.Change.fingerprint()
	edit := a.request.Change.Edits[0]
	version, exists := a.request.Snapshot.index[edit.Section]
	if !exists {
		version = a.request.Snapshot.head.Version
	}
	for range maxRecordsSearched {
		if version.Revision() <= edit.Base.Revision() {
			return "", false, nil
		}
		if version.ChangeID() == id {
			return version, true, nil
		}
		record, err := a.store.Record(ctx, version)
		if err != nil {
			return "", false, err
		}
		version = record.Parent
		if exists {
			version = record.Sections[edit.Section].Previous
		}
	}
	return "", false, nil
}

// addDifferences sets the base of a conflict and the three-way differences; where the record of the base cannot be read, the
// base is absent.
func (a *attempt) addDifferences(ctx context.Context, conflict *Conflict) {
	i := slices.IndexFunc(a.request.Change.Edits, func(e Edit) bool { return e.Section == conflict.Section })
	conflict.Base = a.store.contentAt(ctx, conflict.Section, a.request.Change.Edits[i].Base)
	conflict.Differences, conflict.Merged = Merge(conflict.Base, conflict.Yours, conflict.Theirs)
}

// contentAt returns the content that a version wrote to a section, nil where the record cannot be read.
func (s *Store) contentAt(ctx context.Context, name ibisdoc.SectionName, version Version) []byte {
	if version == "" {
		return nil
	}
	record, err := s.Record(ctx, version)
	if err != nil {
		return nil
	}
	return record.Sections[name].After
}
