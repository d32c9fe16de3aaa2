package main

import (
	"context"
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge"
)

// table is a minimal in-memory ibisridge.Table.
type table struct {
	rows    map[string]ibisridge.TableRow
	version ibisridge.TableVersion
}

var _ ibisridge.Table = (*table)(nil)

func newTable() *table { return &table{rows: map[string]ibisridge.TableRow{}} }

// Read returns a row and whether it exists.
func (t *table) Read(_ context.Context, key string) (ibisridge.TableRow, bool, error) {
	row, ok := t.rows[key]
	return row, ok, nil
}

// Scan returns the rows whose keys start with the prefix, in key order.
func (t *table) Scan(_ context.Context, prefix string) ([]ibisridge.TableRow, error) {
	var found []ibisridge.TableRow
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b ibisridge.TableRow) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Commit applies the writes if every condition holds.
func (t *table) Commit(_ context.Context, commit ibisridge.Commit) (ibisridge.CommitResult, error) {
	for _, condition := range commit.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return ibisridge.CommitResult{
				Status:   ibisridge.CommitConflict,
				Conflict: condition.Key,
			}, nil
		}
	}
	t.version++
	for _, write := range commit.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = ibisridge.TableRow{
			Key:      write.Key,
			Value:    slices.Clone(write.Value),
			Version:  t.version,
			CommitID: commit.ID,
		}
	}
	return ibisridge.CommitResult{
		Status:  ibisridge.CommitApplied,
		Version: t.version,
	}, nil
}
