package ibisstore

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that a feed can't continue because the store no longer has the changes after its position.
var ErrHistoryLost = errors.New("store no longer has the changes after this position")

// Key identifies a row.
type Key struct {
	// Table is the name of the table.
	Table string
	// Partition is the partition; all rows of a commit are in the same one.
	Partition string
	// Name is the name of the row within the partition.
	Name string
}

// Row is a row at the version at which it was read.
type Row struct {
	// Key identifies the row.
	Key Key
	// Value is the content; nil if the row was removed.
	Value []byte
	// Version is the version of the last commit that wrote or removed the row, in the era in which the row was read.
	Version uint64
	// Removed reports that the row no longer exists.
	Removed bool
}

// Snapshot holds rows, or changes of rows, as of one moment.
type Snapshot struct {
	// Rows lists the rows; a full read lists them by key.
	Rows []Row
	// Version is the store's newest version at that moment.
	Version uint64
	// Clock is the reading of the store's monotonic clock at that moment.
	Clock time.Duration
	// Batched reports that the answering node has already batched the changes, so that the next request needn't be
	// delayed.
	Batched bool
	// Transfer is the time from the first to the last byte of the answer.
	Transfer time.Duration
}

// Condition is a version that a commit requires of a row.
type Condition struct {
	// Key identifies the row.
	Key Key
	// Version is the version that the row must have; zero requires that the row doesn't exist.
	Version uint64
}

// Write sets the content of a row.
type Write struct {
	// Key identifies the row.
	Key Key
	// Value is the new content.
	Value []byte
}

// Commit is a set of changes that take effect together or not at all.
type Commit struct {
	// Conditions lists the conditions, all of which must hold.
	Conditions []Condition
	// Writes lists the rows to write.
	Writes []Write
	// Removes lists the rows to remove.
	Removes []Key
}

// Outcome is the outcome of a commit.
type Outcome string

const (
	// OutcomeApplied means that the changes took effect.
	OutcomeApplied Outcome = "applied"
	// OutcomeConflict means that a condition did not hold and nothing was changed.
	OutcomeConflict Outcome = "conflict"
	// OutcomeRefused means that the store rejected the commit, or could not be reached, and nothing was changed.
	OutcomeRefused Outcome = "refused"
	// OutcomeStaleEra means that the commit was not sent, as it requires a version of an earlier era than the store's;
	// Result.Version is in the present era.
	OutcomeStaleEra Outcome = "staleEra"
	// OutcomeUnknown means that no answer arrived: the changes may have taken effect or may still do so.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the result of a commit.
type Result struct {
	// Outcome is the outcome of the commit.
	Outcome Outcome
	// Version is the version of the written rows if the commit was applied.
	Version uint64
	// Clock is the reading of the store's monotonic clock when it answered, zero without an answer.
	Clock time.Duration
	// Rows holds the current rows that the conditions name, after a conflict.
	Rows []Row
	// Err is the reason why the commit was refused or has no answer.
	Err error
}

// Store is the platform's metadata store.
type Store interface {
	// Commit applies the changes if every condition holds.
	Commit(ctx context.Context, commit Commit) Result
	// Rows returns all rows of a partition; it fails if the store doesn't answer.
	Rows(ctx context.Context, table, partition string) (Snapshot, error)
	// Feed waits up to the given time for changes of a table after a version and returns them. It fails with
	// ErrHistoryLost, or if the store doesn't answer.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
}
