package ibissection

import (
	"encoding/json"
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// Edit is the new content of one section.
type Edit struct {
	// Section is the name of the section.
	Section ibisdoc.SectionName `json:"section"`
	// Base is the version of the section that the editor edited, empty for a new section.
	Base Version `json:"base,omitempty"`
	// Content is the new content; if it is absent, the section is removed.
	Content json.RawMessage `json:"content,omitempty"`
}

// Change is a request to edit sections; its edits are applied atomically.
type Change struct {
	// ID identifies the change; a change that is sent again with the same id and edits is not applied twice.
	ID string `json:"id"`
	// Edits lists the sections to write, each at most once.
	Edits []Edit `json:"edits"`
	// Summary describes the purpose of the change.
	Summary string `json:"summary,omitempty"`
}

// fingerprint returns the id with a hash of the edits, so that two changes with the same id and different edits differ.
func (c Change) fingerprint() string {
	return fmt.Sprintf("%s.%016x", c.ID, xxh3.Hash(encode(c.Edits)))
}

// Status is the result of a change.
type Status string

const (
	// StatusApplied means that the change is committed.
	StatusApplied Status = "applied"
	// StatusInvalid means that the document would not be valid; nothing was written.
	StatusInvalid Status = "invalid"
	// StatusConflict means that the version of a section is no longer the base of the edit; nothing was written.
	StatusConflict Status = "conflict"
	// StatusForbidden means that the token is unknown or its team does not own a section; nothing was written.
	StatusForbidden Status = "forbidden"
	// StatusUnavailable means that the platform did not answer in time, or that other changes were committed first; the change
	// is not and will not be applied.
	StatusUnavailable Status = "unavailable"
	// StatusStaleStore means that the store is at an older revision than this node has seen; nothing was written.
	StatusStaleStore Status = "staleStore"
	// StatusUnknown means that the change may have been applied; sending it again with the same id resolves this.
	StatusUnknown Status = "unknown"
)

// Outcome is the answer to a request for a change.
type Outcome struct {
	// Status is the result of the change.
	Status Status `json:"status"`
	// Revision is the revision that the change made if it was applied, otherwise the revision against which it was checked.
	Revision ibisid.Revision `json:"revision,omitempty"`
	// Version is the version of the sections that were written.
	Version Version `json:"version,omitempty"`
	// Faults lists the invalid values of the document with the change.
	Faults ibisdoc.Faults `json:"faults,omitempty"`
	// Conflicts lists the sections whose version is no longer the base of the edit.
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Reason explains why the change was not applied.
	Reason string `json:"reason,omitempty"`
}

// Conflict holds the three contents of a section that two editors changed at the same time.
type Conflict struct {
	// Section is the name of the section.
	Section ibisdoc.SectionName `json:"section"`
	// Current is the current version of the section.
	Current Version `json:"current,omitempty"`
	// Base is the content that the editor edited.
	Base json.RawMessage `json:"base,omitempty"`
	// Yours is the content of the rejected edit.
	Yours json.RawMessage `json:"yours,omitempty"`
	// Theirs is the current content.
	Theirs json.RawMessage `json:"theirs,omitempty"`
	// Differences lists the paths that either side changed.
	Differences []Difference `json:"differences"`
	// Merged is the content with the changes of both sides, absent where they clash. It is a proposal: it takes effect only if
	// the editor sends it as a new change.
	Merged json.RawMessage `json:"merged,omitempty"`
}

// sectionRow is the value of a section's row.
type sectionRow struct {
	Version Version         `json:"version"`
	Content json.RawMessage `json:"content"`
}
