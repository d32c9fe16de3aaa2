package ibisstore

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that a feed can't be continued because the store dropped the changes after its position.
var ErrHistoryLost = errors.New("history of the store is lost")

// Key names a row.
type Key struct {
	// Table is the table.
	Table string
	// Part is the partition; the rows of one commit share it.
	Part string
	// Name is the key within the partition.
	Name string
}

// Row is a row as it was read.
type Row struct {
	// Key names the row.
	Key Key
	// Value is the content; nil where the row was removed.
	Value []byte
	// Version is the version of the commit that wrote the row last.
	Version uint64
	// Removed says that the row stands no more.
	Removed bool
}

// Snapshot is rows as of one moment.
type Snapshot struct {
	// Rows lists the rows by key.
	Rows []Row
	// Version is the newest version of the store at that moment.
	Version uint64
	// Clock is the store's steady clock at that moment.
	Clock time.Duration
	// Gathered says that whoever answered let changes gather already, so that the next question may follow at once.
	Gathered bool
}

// Condition is what a commit requires of a row.
type Condition struct {
	// Key names the row.
	Key Key
	// Version is the version that the row must have; zero requires that it doesn't stand.
	Version uint64
}

// Write is a new content of a row.
type Write struct {
	// Key names the row.
	Key Key
	// Value is the new content.
	Value []byte
}

// Commit is a set of changes that take effect together or not at all.
type Commit struct {
	// Conditions must all hold.
	Conditions []Condition
	// Writes are the new contents.
	Writes []Write
	// Removes are rows to be removed.
	Removes []Key
}

// Outcome is how a commit ended.
type Outcome string

const (
	// OutcomeApplied means that the changes took effect.
	OutcomeApplied Outcome = "applied"
	// OutcomeConflict means that a condition did not hold and nothing was changed.
	OutcomeConflict Outcome = "conflict"
	// OutcomeRefused means that the store turned the commit away and nothing was changed.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that no answer came: the changes may have taken effect, or may yet.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the answer to a commit.
type Result struct {
	// Outcome is how the commit ended.
	Outcome Outcome
	// Version is the version of the written rows, when applied.
	Version uint64
	// Clock is the store's steady clock when it answered, zero without an answer.
	Clock time.Duration
	// Rows are the conditioned rows as they stand, after a conflict.
	Rows []Row
	// Err says why the commit was refused or has no answer.
	Err error
}

// Store is the platform's metadata store.
type Store interface {
	// Commit applies the changes if every condition holds.
	Commit(ctx context.Context, commit Commit) Result
	// Rows returns all rows of a partition; it fails where the store doesn't answer.
	Rows(ctx context.Context, table, part string) (Snapshot, error)
	// Feed waits for changes of a table after a version and returns them; it fails with ErrHistoryLost, or where the
	// store doesn't answer.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
}
