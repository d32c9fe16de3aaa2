package ibisoperator

import (
	"encoding/json"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// Document is a revision of the configuration document.
type Document struct {
	// Revision is the revision of the document.
	Revision ibisid.Revision `json:"revision"`
	// Sections holds the text of each section.
	Sections ibisdoc.Sections `json:"sections"`
	// Versions maps each section to the revision that last changed it.
	Versions map[ibisdoc.SectionName]ibisid.Revision `json:"versions"`
}

// Change is a request to replace or remove sections; the team of the token must own each of them.
type Change struct {
	// ID is unique to the change, so that it can be sent again if its answer was lost; the node generates one if it is empty.
	ID string `json:"id,omitempty"`
	// Base is the revision that the change is based on.
	Base ibisid.Revision `json:"base"`
	// Sections holds the new text of each changed section, null for a section to remove.
	Sections map[ibisdoc.SectionName]json.RawMessage `json:"sections"`
	// Message is the editor's reason for the change.
	Message string `json:"message,omitempty"`
	// WaitMillis is the longest time to wait until the change is in force everywhere, in milliseconds; zero for no wait.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// Wait returns WaitMillis as a duration.
func (c Change) Wait() time.Duration { return time.Duration(c.WaitMillis) * time.Millisecond }

// ChangeStatus is the outcome of a change.
type ChangeStatus string

const (
	// ChangeAccepted means that the change is in force on the watcher of every live failure domain, which is the node that
	// reads the table for the domain.
	ChangeAccepted ChangeStatus = "accepted"
	// ChangePending means that the change is committed, and that some failure domains have not yet confirmed it.
	ChangePending ChangeStatus = "pending"
	// ChangeConflict means that a section has been changed since the base; nothing was written.
	ChangeConflict ChangeStatus = "conflict"
	// ChangeInvalid means that the changed document would be invalid; nothing was written.
	ChangeInvalid ChangeStatus = "invalid"
	// ChangeForbidden means that the team does not own one of the sections; nothing was written.
	ChangeForbidden ChangeStatus = "forbidden"
)

// ChangeResult is the answer to a change.
type ChangeResult struct {
	// Status is the outcome of the change.
	Status ChangeStatus `json:"status"`
	// Revision is the revision that the change created, zero if nothing was written.
	Revision ibisid.Revision `json:"revision,omitempty"`
	// NotReached lists the failure domains that have not confirmed the change.
	NotReached []ibisid.DomainName `json:"notReached,omitempty"`
	// Faults lists the reasons why the changed document would be invalid.
	Faults ibisdoc.Faults `json:"faults,omitempty"`
	// Conflicts lists the sections that another change has modified since the base.
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail,omitempty"`
}

// Conflict is a section that two editors changed from the same base.
type Conflict struct {
	// Section is the name of the section.
	Section ibisdoc.SectionName `json:"section"`
	// Base is the text that both changes are based on.
	Base json.RawMessage `json:"base"`
	// Theirs is the current text.
	Theirs json.RawMessage `json:"theirs"`
	// Mine is the text of the rejected change.
	Mine json.RawMessage `json:"mine"`
	// Merged is the text with both changes, absent if they overlap.
	Merged json.RawMessage `json:"merged,omitempty"`
}

// Undo is a request for a new revision that reverts the change of one revision.
type Undo struct {
	// ID is unique to the undo, so that it can be sent again if its answer was lost; the node generates one if it is empty.
	ID string `json:"id,omitempty"`
	// Revision is the revision whose change is reverted.
	Revision ibisid.Revision `json:"revision"`
	// WaitMillis is the longest time to wait until the undo is in force everywhere, in milliseconds; zero for no wait.
	WaitMillis int64 `json:"waitMillis,omitempty"`
}

// Wait returns WaitMillis as a duration.
func (u Undo) Wait() time.Duration { return time.Duration(u.WaitMillis) * time.Millisecond }

// Entry is one change in the history of the document.
type Entry struct {
	// Revision is the revision that the change created.
	Revision ibisid.Revision `json:"revision"`
	// At is the time at which the change was committed.
	At time.Time `json:"at"`
	// Team is the team that made the change.
	Team ibisid.TeamName `json:"team"`
	// Message is the editor's reason for the change.
	Message string `json:"message,omitempty"`
	// Sections lists the changed sections.
	Sections []ibisdoc.SectionName `json:"sections"`
}
