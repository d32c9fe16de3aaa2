package ibissection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// ErrNoRecord reports that the object store holds no record of a version.
var ErrNoRecord = errors.New("no record of that version")

// Record returns the record of a version; it fails with ErrNoRecord or ibisplatform.ErrUnavailable.
func (s *Store) Record(ctx context.Context, version Version) (Record, error) {
	var record Record
	body, found, err := s.objects.Get(ctx, recordName(version))
	if err != nil {
		return record, err
	}
	if !found {
		return record, fmt.Errorf("%w: %s", ErrNoRecord, version)
	}
	if err := json.Unmarshal(body, &record); err != nil {
		return record, fmt.Errorf("object %s: %w", recordName(version), err)
	}
	return record, nil
}

// Log returns up to limit records, the latest first; it fails with ErrNoRecord or ibisplatform.ErrUnavailable.
func (s *Store) Log(ctx context.Context, limit int) ([]Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.Since(ctx, head.Version, "", limit)
}

// Since returns up to limit records, the latest first, from the version last back to the version after, whose record is not
// included. It fails with ErrNoRecord or ibisplatform.ErrUnavailable.
func (s *Store) Since(ctx context.Context, last, after Version, limit int) ([]Record, error) {
	var records []Record
	for version := last; version != "" && version != after && len(records) < limit; {
		record, err := s.Record(ctx, version)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
		version = record.Parent
	}
	return records, nil
}

// inChain reports whether a version is in the chain of records that ends at the head.
func (s *Store) inChain(ctx context.Context, head, wanted Version) (bool, error) {
	for version := head; version.Revision() >= wanted.Revision() && version != ""; {
		if version == wanted {
			return true, nil
		}
		record, err := s.Record(ctx, version)
		if err != nil {
			return false, err
		}
		version = record.Parent
	}
	return false, nil
}

// VersionAt returns the committed version of a revision; it fails with ErrNoRecord or ibisplatform.ErrUnavailable.
func (s *Store) VersionAt(ctx context.Context, revision ibisid.Revision) (Version, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return "", err
	}
	return s.versionAt(ctx, head.Version, revision)
}

// versionAt finds the version by listing the records of the revision. Where several changes attempted the revision, the parent
// of the following record is the one that was committed.
func (s *Store) versionAt(ctx context.Context, head Version, revision ibisid.Revision) (Version, error) {
	if head.Revision() == revision {
		return head, nil
	}
	if revision == 0 || revision > head.Revision() {
		return "", fmt.Errorf("%w: revision %d", ErrNoRecord, revision)
	}
	names, err := s.objects.List(ctx, recordPrefix+string(NewVersion(revision, "")))
	if err != nil {
		return "", err
	}
	if len(names) == 1 {
		return Version(strings.TrimPrefix(names[0], recordPrefix)), nil
	}
	next, err := s.versionAt(ctx, head, revision+1)
	if err != nil {
		return "", err
	}
	record, err := s.Record(ctx, next)
	return record.Parent, err
}

// At returns every section of the document at a version; it fails with ErrNoRecord or ibisplatform.ErrUnavailable.
func (s *Store) At(ctx context.Context, version Version) (ibisdoc.Sections, error) {
	var later []Record
	for version != "" {
		sections, err := s.snapshotObject(ctx, version)
		if err == nil {
			return replay(sections, later), nil
		}
		if !errors.Is(err, ErrNoRecord) {
			return nil, err
		}
		record, err := s.Record(ctx, version)
		if err != nil {
			return nil, err
		}
		later = append(later, record)
		version = record.Parent
	}
	return nil, fmt.Errorf("%w: no snapshot before it", ErrNoRecord)
}

// replay applies records, which are sorted from the latest to the earliest, to the sections of a snapshot in the order of their
// revisions.
func replay(sections ibisdoc.Sections, later []Record) ibisdoc.Sections {
	for _, record := range slices.Backward(later) {
		record.Apply(sections)
	}
	return sections
}

// snapshotObject reads the snapshot of a version. A snapshot is written with every snapshotInterval-th revision, beginning with
// revision 1, and with every recovery; for other versions ErrNoRecord is returned without a read.
func (s *Store) snapshotObject(ctx context.Context, version Version) (ibisdoc.Sections, error) {
	if version.Revision()%snapshotInterval != 1 && !version.isRecovery() {
		return nil, ErrNoRecord
	}
	body, found, err := s.objects.Get(ctx, snapshotName(version))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fmt.Errorf("%w: snapshot %s", ErrNoRecord, version)
	}
	sections := make(ibisdoc.Sections)
	if err := json.Unmarshal(body, &sections); err != nil {
		return nil, fmt.Errorf("object %s: %w", snapshotName(version), err)
	}
	return sections, nil
}

// Apply applies the changes of the record to the sections.
func (r Record) Apply(sections ibisdoc.Sections) {
	for name, change := range r.Sections {
		if len(change.After) == 0 {
			delete(sections, name)
			continue
		}
		sections[name] = change.After
	}
}

// Undo commits a new revision that restores the contents which the sections of the given revision had before it. If one of
// these sections was changed since, the outcome is a conflict.
func (s *Store) Undo(ctx context.Context, token, id string, revision ibisid.Revision) Outcome {
	version, err := s.VersionAt(ctx, revision)
	if err != nil {
		return undoFailure(err)
	}
	record, err := s.Record(ctx, version)
	if err != nil {
		return undoFailure(err)
	}
	change := Change{
		ID:      id,
		Summary: fmt.Sprintf("undo of revision %d", revision),
	}
	for _, name := range slices.Sorted(maps.Keys(record.Sections)) {
		edit := Edit{
			Section: name,
			Base:    version,
			Content: record.Sections[name].Before,
		}
		if len(record.Sections[name].After) == 0 {
			edit.Base = ""
		}
		change.Edits = append(change.Edits, edit)
	}
	return s.Put(ctx, token, change)
}

func undoFailure(err error) Outcome {
	outcome := unavailableOutcome(err)
	if errors.Is(err, ErrNoRecord) {
		outcome.Status = StatusInvalid
	}
	return outcome
}
