package ibisstore

import (
	"bytes"
	"context"
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Read returns a row and whether it stands; it fails with ErrUnavailable under a fault.
func (s *Store) Read(ctx context.Context, key string) (ibisplatform.Row, bool, error) {
	if _, err := s.begin(ctx, false); err != nil {
		return ibisplatform.Row{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return cloneRow(row), ok, nil
}

// Scan returns the rows whose keys start with the prefix, in key order; it fails with ErrUnavailable under a fault.
func (s *Store) Scan(ctx context.Context, prefix string) ([]ibisplatform.Row, error) {
	if _, err := s.begin(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []ibisplatform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, cloneRow(row))
		}
	}
	slices.SortFunc(found, func(a, b ibisplatform.Row) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Commit applies the writes if every condition holds; it fails with ErrUnavailable under a fault, and may then have taken effect.
func (s *Store) Commit(ctx context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	if err := commit.Check(); err != nil {
		return ibisplatform.CommitResult{}, err
	}
	lost, err := s.begin(ctx, true)
	if err != nil {
		return ibisplatform.CommitResult{}, err
	}
	result := s.apply(commit)
	if lost {
		return ibisplatform.CommitResult{}, errLost
	}
	return result, nil
}

func (s *Store) apply(commit ibisplatform.Commit) ibisplatform.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range commit.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			return ibisplatform.CommitResult{
				Status:   ibisplatform.CommitConflict,
				Conflict: condition.Key,
			}
		}
	}
	s.sequence++
	for _, write := range commit.Writes {
		s.write(commit.ID, write)
	}
	return ibisplatform.CommitResult{
		Status:  ibisplatform.CommitApplied,
		Version: s.sequence,
	}
}

func (s *Store) write(commitID string, write ibisplatform.Write) {
	if write.Delete {
		delete(s.rows, write.Key)
		return
	}
	s.rows[write.Key] = ibisplatform.Row{
		Key:      write.Key,
		Value:    bytes.Clone(write.Value),
		Version:  s.sequence,
		CommitID: commitID,
	}
}

func cloneRow(row ibisplatform.Row) ibisplatform.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
