package ibisplatform

import (
	"context"
	"errors"
	"fmt"
)

// ErrCommitOutcomeUnknown reports a commit that may or may not have taken effect; it wraps ErrUnavailable.
var ErrCommitOutcomeUnknown = fmt.Errorf("commit unsettled: %w", ErrUnavailable)

// CommitAndResolve commits and, if the answer is lost, determines the outcome by reading rows back; it fails with
// ErrCommitOutcomeUnknown if the outcome can't be determined.
func CommitAndResolve(ctx context.Context, table Table, commit Commit) (CommitResult, error) {
	result, err := table.Commit(ctx, commit)
	if err == nil || !errors.Is(err, ErrUnavailable) {
		return result, err
	}
	return ResolveCommit(ctx, table, commit)
}

// ResolveCommit determines the outcome of a commit whose answer was lost, and sends the commit again if that is safe. It
// fails with ErrCommitOutcomeUnknown if neither the rows nor the conditions show the outcome, and may then be called again.
func ResolveCommit(ctx context.Context, table Table, commit Commit) (CommitResult, error) {
	version, applied, err := findApplied(ctx, table, commit)
	if err != nil {
		return CommitResult{}, wrapOutcomeUnknown(err)
	}
	if applied {
		return appliedResult(version), nil
	}
	if !repeatIsNoOp(commit) {
		return CommitResult{}, ErrCommitOutcomeUnknown
	}
	result, err := table.Commit(ctx, commit)
	if err != nil {
		return CommitResult{}, wrapOutcomeUnknown(err)
	}
	if result.Status == CommitApplied {
		return result, nil
	}
	return resolveConflict(ctx, table, commit, result)
}

// resolveConflict handles a conflict of a commit that was sent again: it distinguishes a commit that never took effect from
// one that took effect when it was first sent.
func resolveConflict(ctx context.Context, table Table, commit Commit, conflict CommitResult) (CommitResult, error) {
	version, applied, err := findApplied(ctx, table, commit)
	if err != nil {
		return CommitResult{}, wrapOutcomeUnknown(err)
	}
	if applied {
		return appliedResult(version), nil
	}
	if !conflictIsPermanent(commit, conflict.Conflict) {
		return CommitResult{}, ErrCommitOutcomeUnknown
	}
	unchanged, err := anyRowUnchanged(ctx, table, commit)
	if err != nil {
		return CommitResult{}, wrapOutcomeUnknown(err)
	}
	if !unchanged {
		return CommitResult{}, ErrCommitOutcomeUnknown
	}
	return conflict, nil
}

// findApplied searches the written rows for one with the ID of the commit, and returns its version.
func findApplied(ctx context.Context, table Table, commit Commit) (Version, bool, error) {
	for _, write := range commit.Writes {
		if write.Delete {
			continue
		}
		row, ok, err := table.Read(ctx, write.Key)
		if err != nil {
			return 0, false, err
		}
		if ok && row.CommitID == commit.ID {
			return row.Version, true, nil
		}
	}
	return 0, false, nil
}

// repeatIsNoOp reports whether the commit, once applied, invalidates one of its own conditions, so that a repeat changes
// nothing. A condition that the row does not exist is not sufficient: after a deletion the repeat would be applied again.
func repeatIsNoOp(commit Commit) bool {
	for _, write := range commit.Writes {
		if version, ok := commit.conditionOn(write.Key); ok && version > 0 {
			return true
		}
	}
	return false
}

// conflictIsPermanent reports whether a failed condition can never hold again: versions only increase, but a condition that
// the row does not exist holds again after a deletion.
func conflictIsPermanent(commit Commit, key string) bool {
	version, ok := commit.conditionOn(key)
	return ok && version > 0
}

// anyRowUnchanged reports whether any written row still has the version of its condition, which proves that the commit has
// not taken effect.
func anyRowUnchanged(ctx context.Context, table Table, commit Commit) (bool, error) {
	for _, write := range commit.Writes {
		version, ok := commit.conditionOn(write.Key)
		if !ok || version == 0 {
			continue
		}
		row, exists, err := table.Read(ctx, write.Key)
		if err != nil {
			return false, err
		}
		if exists && row.Version == version {
			return true, nil
		}
	}
	return false, nil
}

func (c Commit) conditionOn(key string) (Version, bool) {
	for _, condition := range c.Conditions {
		if condition.Key == key {
			return condition.Version, true
		}
	}
	return 0, false
}

func appliedResult(version Version) CommitResult {
	return CommitResult{
		Status:  CommitApplied,
		Version: version,
	}
}

// wrapOutcomeUnknown adds ErrCommitOutcomeUnknown to an error that is ErrUnavailable, and returns any other error unchanged.
func wrapOutcomeUnknown(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return fmt.Errorf("%w: %w", ErrCommitOutcomeUnknown, err)
	}
	return err
}
