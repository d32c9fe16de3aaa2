package ibissection

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// maxSingleRowReads is the number of changed sections up to which rows are read one by one; above it, one scan reads all rows.
const maxSingleRowReads = 8

// Head reads the head of the document, which is zero for an empty store; it fails with ibisplatform.ErrUnavailable.
func (s *Store) Head(ctx context.Context) (Head, error) {
	_, head, err := s.readHead(ctx)
	return head, err
}

func (s *Store) readHead(ctx context.Context) (ibisplatform.Row, Head, error) {
	var head Head
	row, found, err := s.table.Read(ctx, headKey)
	if err != nil || !found {
		return row, head, err
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return row, head, fmt.Errorf("row %s: %w", headKey, err)
	}
	return row, head, nil
}

// Load reads the current document. Rows that did not change since the last call are not read again. It fails with
// ibisplatform.ErrUnavailable, and also where the document changes during the reads or a row is malformed.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	headRow, head, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	last := s.lastSnapshot()
	if head.Version == "" {
		return emptySnapshot(), nil
	}
	if last.headVersion == headRow.Version && last.head.Version == head.Version {
		return last, nil
	}
	next, err := s.loadSections(ctx, headRow, head, last)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cached = next
	return next, nil
}

func (s *Store) lastSnapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached == nil {
		return emptySnapshot()
	}
	return s.cached
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		index:       make(Index),
		sections:    make(ibisdoc.Sections),
		rowVersions: make(map[ibisdoc.SectionName]ibisplatform.Version),
	}
}

// loadSections reads the index and the sections that differ from the last snapshot. It fails with errConcurrentChange where the
// rows do not belong to the same revision.
func (s *Store) loadSections(ctx context.Context, headRow ibisplatform.Row, head Head, last *Snapshot) (*Snapshot, error) {
	indexRow, found, err := s.table.Read(ctx, indexKey)
	if err != nil {
		return nil, err
	}
	if !found || indexRow.CommitID != headRow.CommitID {
		return nil, errConcurrentChange
	}
	next := &Snapshot{
		head:         head,
		headVersion:  headRow.Version,
		indexVersion: indexRow.Version,
		sections:     make(ibisdoc.Sections),
		rowVersions:  make(map[ibisdoc.SectionName]ibisplatform.Version),
	}
	if err := json.Unmarshal(indexRow.Value, &next.index); err != nil {
		return nil, fmt.Errorf("row %s: %w", indexKey, err)
	}
	missing := next.reuseSections(last)
	rows, err := s.readRows(ctx, missing)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if err := next.addRow(row); err != nil {
			return nil, err
		}
	}
	if len(next.sections) != len(next.index) {
		return nil, errConcurrentChange
	}
	return next, nil
}

// reuseSections copies the sections that did not change from the last snapshot and returns the names of the others.
func (s *Snapshot) reuseSections(last *Snapshot) []ibisdoc.SectionName {
	var missing []ibisdoc.SectionName
	for _, name := range sortedNames(s.index) {
		if last.index[name] != s.index[name] {
			missing = append(missing, name)
			continue
		}
		s.sections[name] = last.sections[name]
		s.rowVersions[name] = last.rowVersions[name]
	}
	return missing
}

func (s *Store) readRows(ctx context.Context, names []ibisdoc.SectionName) ([]ibisplatform.Row, error) {
	if len(names) > maxSingleRowReads {
		return s.table.Scan(ctx, sectionPrefix)
	}
	var rows []ibisplatform.Row
	for _, name := range names {
		row, found, err := s.table.Read(ctx, sectionPrefix+string(name))
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, errConcurrentChange
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// addRow adds the content of a row. A row whose version differs from the index was changed during the reads and gives
// errConcurrentChange.
func (s *Snapshot) addRow(row ibisplatform.Row) error {
	var content sectionRow
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	name := ibisdoc.SectionName(strings.TrimPrefix(row.Key, sectionPrefix))
	if s.index[name] != content.Version {
		return errConcurrentChange
	}
	s.sections[name] = content.Content
	s.rowVersions[name] = row.Version
	return nil
}
