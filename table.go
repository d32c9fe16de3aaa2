package ibisridge

import (
	"context"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

type (
	// Table is the platform's transactional table.
	Table = ibisplatform.Table
	// TableRow is a row of the table as it was read.
	TableRow = ibisplatform.Row
	// TableVersion orders the writes of one row; it increases with each write, even across a deletion, and
	// zero means that no row exists.
	TableVersion = ibisplatform.Version
	// Commit is a set of writes that take effect together or not at all.
	Commit = ibisplatform.Commit
	// Condition is a requirement of a commit on the version of a row.
	Condition = ibisplatform.Condition
	// Write is a change of one row.
	Write = ibisplatform.Write
	// CommitResult is the answer to a commit.
	CommitResult = ibisplatform.CommitResult
	// CommitStatus is the outcome of a commit.
	CommitStatus = ibisplatform.CommitStatus
)

const (
	// CommitApplied means that the writes took effect.
	CommitApplied = ibisplatform.CommitApplied
	// CommitConflict means that a condition did not hold and nothing was written.
	CommitConflict = ibisplatform.CommitConflict
)

var (
	// ErrUnavailable reports that the platform did not answer; a commit that returns it may have taken effect.
	ErrUnavailable = ibisplatform.ErrUnavailable
	// ErrCommitOutcomeUnknown reports a commit that may or may not have taken effect; it wraps ErrUnavailable.
	ErrCommitOutcomeUnknown = ibisplatform.ErrCommitOutcomeUnknown
	// ErrInvalidCommit reports a commit that no platform accepts: without an ID, or with two writes of one row.
	ErrInvalidCommit = ibisplatform.ErrInvalidCommit
)

// CommitAndResolve commits and, if the answer is lost, determines the outcome by reading rows back; it fails with
// ErrCommitOutcomeUnknown if the outcome can't be determined.
func CommitAndResolve(ctx context.Context, table Table, commit Commit) (CommitResult, error) {
	return ibisplatform.CommitAndResolve(ctx, table, commit)
}
