package ibissection

import (
	"context"
	"encoding/json"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// Draft is a change that is based on one revision of the whole document.
type Draft struct {
	// ID identifies the change; a change that is sent again with the same id and edits is not applied twice.
	ID string
	// BaseRevision is the revision that the change is based on.
	BaseRevision ibisid.Revision
	// Contents holds the new content of each section to write; a null or empty content removes the section.
	Contents ibisdoc.Sections
	// Summary describes the purpose of the change.
	Summary string
}

// PutDraft applies a draft on behalf of the token's team. Only edited sections that were changed after the draft's revision are
// conflicts.
func (s *Store) PutDraft(ctx context.Context, token string, draft Draft) Outcome {
	snapshot, err := s.Load(ctx)
	if err != nil {
		return unavailableOutcome(err)
	}
	change := Change{
		ID:      draft.ID,
		Summary: draft.Summary,
	}
	for _, name := range sortedNames(draft.Contents) {
		base, err := s.sectionVersionAt(ctx, snapshot.index[name], name, draft.BaseRevision)
		if err != nil {
			return unavailableOutcome(err)
		}
		change.Edits = append(change.Edits, Edit{
			Section: name,
			Base:    base,
			Content: removeNull(draft.Contents[name]),
		})
	}
	return s.Put(ctx, token, change)
}

// sectionVersionAt returns the version that a section had at a revision. It follows the records of the section back from the
// given version.
func (s *Store) sectionVersionAt(ctx context.Context, version Version, name ibisdoc.SectionName, revision ibisid.Revision) (Version, error) {
	for version.Revision() > revision {
		record, err := s.Record(ctx, version)
		if err != nil {
			return "", err
		}
		version = record.Sections[name].Previous
	}
	return version, nil
}

func removeNull(content json.RawMessage) json.RawMessage {
	if string(content) == "null" {
		return nil
	}
	return content
}

func unavailableOutcome(err error) Outcome {
	return Outcome{
		Status: StatusUnavailable,
		Reason: err.Error(),
	}
}
