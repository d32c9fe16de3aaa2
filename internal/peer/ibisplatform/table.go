package ibisplatform

import (
	"context"
	"errors"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

// ErrUnavailable reports that the platform did not answer; a commit that returns it may have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrInvalidCommit reports an invalid commit: without an ID, with two writes of one row, or above the limits of the platform.
var ErrInvalidCommit = errors.New("bad commit")

// Version is the version of a row; it only increases, also across a deletion, and zero means that the row does not exist.
type Version uint64

// Row is a row that was read from the table.
type Row struct {
	// Key is the row's key.
	Key string
	// Value is the row's content.
	Value []byte
	// Version is the version of the row.
	Version Version
	// CommitID is the ID of the commit that wrote the row.
	CommitID string
}

// Condition is the version of a row that a commit requires.
type Condition struct {
	// Key is the row's key.
	Key string
	// Version is the version that the row must have; zero requires that the row does not exist.
	Version Version
}

// Write is a change of one row.
type Write struct {
	// Key is the row's key.
	Key string
	// Value is the new content.
	Value []byte
	// Delete removes the row.
	Delete bool
}

// Commit is a set of conditional writes that take effect atomically.
type Commit struct {
	// ID is unique to the commit and is stored in every row that it writes.
	ID string
	// Conditions must all hold for the writes to take effect.
	Conditions []Condition
	// Writes are the changes, at most one per row.
	Writes []Write
}

// Check returns ErrInvalidCommit for a commit without an ID, with a write without a key, or with two writes of one row.
func (c Commit) Check() error {
	if c.ID == "" {
		return fmt.Errorf("%w: commit without an id", ErrInvalidCommit)
	}
	seen := ibisset.Of[string]()
	for _, write := range c.Writes {
		if write.Key == "" || seen.Has(write.Key) {
			return fmt.Errorf("%w: commit %s writes key %q twice or without a name", ErrInvalidCommit, c.ID, write.Key)
		}
		seen.Add(write.Key)
	}
	return nil
}

// CommitStatus is the outcome of a commit.
type CommitStatus string

const (
	// CommitApplied means that the writes took effect.
	CommitApplied CommitStatus = "applied"
	// CommitConflict means that a condition did not hold and nothing was written.
	CommitConflict CommitStatus = "conflict"
)

// CommitResult is the answer to a commit.
type CommitResult struct {
	// Status is the outcome of the commit.
	Status CommitStatus
	// Version is the new version of every written row, if the commit was applied.
	Version Version
	// Conflict is the key of the first condition that did not hold, if there was a conflict.
	Conflict string
}

// Table is the platform's transactional table.
type Table interface {
	// Read returns a row and whether it exists; it fails with ErrUnavailable.
	Read(ctx context.Context, key string) (Row, bool, error)
	// Scan returns the rows whose keys start with the prefix, in key order; it fails with ErrUnavailable.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies the writes if every condition holds; it fails with ErrUnavailable, and may then have taken effect.
	Commit(ctx context.Context, commit Commit) (CommitResult, error)
}

// ObjectStore is the platform's object store; stored objects are immutable.
type ObjectStore interface {
	// Put stores an object; it fails with ErrUnavailable.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns an object and whether it exists; it fails with ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, bool, error)
	// List returns the names that start with the prefix, in order; it fails with ErrUnavailable.
	List(ctx context.Context, prefix string) ([]string, error)
}
