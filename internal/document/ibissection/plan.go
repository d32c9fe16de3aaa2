package ibissection

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// planRequest is the input of the plan of a change.
type planRequest struct {
	// Snapshot is the current document.
	Snapshot *Snapshot
	// Token is the bearer token of the editor.
	Token string
	// Change is the requested change.
	Change Change
	// MinRevision is the least revision that the store must have, which is the greatest that the node has seen.
	MinRevision ibisid.Revision
	// Now is the time that the record carries.
	Now time.Time
	// Bootstrap is true for the first document of an empty store, which needs no token.
	Bootstrap bool
	// Recovered is the version to which a store with an older revision is restored, which needs no token; it is empty for any
	// other change.
	Recovered Version
}

// commitPlan is an accepted change: the objects to put first, and then the commit.
type commitPlan struct {
	version Version
	team    ibisid.TeamName
	objects []object
	commit  ibisplatform.Commit
}

// plan checks a change against one snapshot. It returns the plan to commit, or nil and the outcome that rejects the change.
func (r planRequest) plan() (*commitPlan, Outcome) {
	head := r.Snapshot.head
	rejection := Outcome{Revision: head.Revision()}
	if max(head.Revision(), r.Recovered.Revision()) < r.MinRevision {
		rejection.Status = StatusStaleStore
		rejection.Reason = fmt.Sprintf("the store stands at revision %d, but revision %d is in force", head.Revision(), r.MinRevision)
		return nil, rejection
	}
	team, reason := r.authorise()
	if reason != "" {
		rejection.Status = StatusForbidden
		rejection.Reason = reason
		return nil, rejection
	}
	if reason := r.checkEdits(); reason != "" {
		rejection.Status = StatusInvalid
		rejection.Reason = reason
		return nil, rejection
	}
	if conflicts := r.conflicts(); len(conflicts) > 0 {
		rejection.Status = StatusConflict
		rejection.Conflicts = conflicts
		rejection.Reason = "the section was changed since the editor saw it"
		return nil, rejection
	}
	return r.validateAndBuild(team)
}

// authorise returns the team of the token and the reason to reject the change, which is empty if the team owns every edited
// section. The first document and a recovery need no team.
func (r planRequest) authorise() (ibisid.TeamName, string) {
	if r.Bootstrap {
		return "", r.checkBootstrap()
	}
	if r.Recovered != "" {
		return "", r.checkRecovery()
	}
	teams := r.Snapshot.teams()
	team, found := ibisdoc.AuthenticateTeam(teams, r.Token)
	if !found {
		return "", "the token is no team's"
	}
	for _, edit := range r.Change.Edits {
		if !slices.Contains(ibisdoc.SectionOwners(teams, edit.Section), team) {
			return team, fmt.Sprintf("team %s does not own section %s", team, edit.Section)
		}
	}
	return team, ""
}

// checkBootstrap returns the reason to reject a first document, or an empty string.
func (r planRequest) checkBootstrap() string {
	if r.Snapshot.head.Version != "" {
		return "the store has a document"
	}
	if !slices.ContainsFunc(r.Change.Edits, func(e Edit) bool { return e.Section.Kind() == ibisdoc.KindTeams }) {
		return "the first document names the teams"
	}
	return ""
}

// checkRecovery returns the reason to reject a recovery, or an empty string.
func (r planRequest) checkRecovery() string {
	if r.Snapshot.head.Revision() >= r.Recovered.Revision() {
		return "the store does not stand behind that version"
	}
	return ""
}

// parent returns the version to which the change is applied.
func (r planRequest) parent() Version {
	if r.Recovered != "" {
		return r.Recovered
	}
	return r.Snapshot.head.Version
}

// teams returns the teams of the snapshot.
func (s *Snapshot) teams() map[ibisid.TeamName]ibisdoc.Team {
	teams := make(map[ibisid.TeamName]ibisdoc.Team)
	for name, text := range s.sections {
		if name.Kind() != ibisdoc.KindTeams {
			continue
		}
		var part map[ibisid.TeamName]ibisdoc.Team
		if json.Unmarshal(text, &part) == nil {
			maps.Copy(teams, part)
		}
	}
	return teams
}

// checkEdits returns the reason why the edits are malformed, or an empty string.
func (r planRequest) checkEdits() string {
	if r.Change.ID == "" {
		return "a change has an id"
	}
	if len(r.Change.Edits) == 0 {
		return "a change has at least one edit"
	}
	seen := make(map[ibisdoc.SectionName]bool)
	for _, edit := range r.Change.Edits {
		if seen[edit.Section] {
			return fmt.Sprintf("section %s stands twice in the change", edit.Section)
		}
		seen[edit.Section] = true
		if len(edit.Content) > 0 && !json.Valid(edit.Content) {
			return fmt.Sprintf("the content of section %s is no JSON", edit.Section)
		}
	}
	return ""
}

// conflicts lists the sections whose version is no longer the base of the edit. The base content is not filled in, because it
// is not part of the snapshot.
func (r planRequest) conflicts() []Conflict {
	var conflicts []Conflict
	for _, edit := range r.Change.Edits {
		if current := r.Snapshot.index[edit.Section]; current != edit.Base {
			conflicts = append(conflicts, Conflict{
				Section: edit.Section,
				Current: current,
				Yours:   edit.Content,
				Theirs:  r.Snapshot.sections[edit.Section],
			})
		}
	}
	return conflicts
}

// validateAndBuild validates the whole document with the edits and returns the plan to commit.
func (r planRequest) validateAndBuild(team ibisid.TeamName) (*commitPlan, Outcome) {
	revision := r.parent().Revision() + 1
	version := NewVersion(revision, r.Change.fingerprint())
	sections := maps.Clone(r.Snapshot.sections)
	index := maps.Clone(r.Snapshot.index)
	record := Record{
		Head: Head{
			Version: version,
			Team:    team,
			When:    r.Now.UTC(),
			Summary: r.Change.Summary,
		},
		Parent:   r.parent(),
		Sections: make(map[ibisdoc.SectionName]SectionChange, len(r.Change.Edits)),
	}
	for _, edit := range r.Change.Edits {
		record.Sections[edit.Section] = SectionChange{
			Previous: index[edit.Section],
			Before:   sections[edit.Section],
			After:    compact(edit.Content),
		}
		if len(edit.Content) == 0 {
			delete(sections, edit.Section)
			delete(index, edit.Section)
			continue
		}
		sections[edit.Section] = compact(edit.Content)
		index[edit.Section] = version
	}
	if _, faults := ibisdoc.Compile(revision, sections); len(faults) > 0 {
		return nil, Outcome{
			Status:   StatusInvalid,
			Revision: r.Snapshot.head.Revision(),
			Faults:   faults,
			Reason:   "the document would not be valid",
		}
	}
	p := &commitPlan{
		version: version,
		team:    team,
		objects: []object{{
			name: recordName(version),
			body: encode(record),
		}},
		commit: r.commit(record, index),
	}
	if revision%snapshotInterval == 1 || r.Recovered != "" {
		p.objects = append(p.objects, object{
			name: snapshotName(version),
			body: encode(sections),
		})
	}
	return p, Outcome{}
}

// commit returns the commit of a change. Its conditions hold only while the head is the one against which the change was
// validated.
func (r planRequest) commit(record Record, index Index) ibisplatform.Commit {
	c := ibisplatform.Commit{
		ID: string(record.Version),
		Conditions: []ibisplatform.Condition{
			{
				Key:     headKey,
				Version: r.Snapshot.headVersion,
			},
			{
				Key:     indexKey,
				Version: r.Snapshot.indexVersion,
			},
		},
		Writes: []ibisplatform.Write{
			{
				Key:   headKey,
				Value: encode(record.Head),
			},
			{
				Key:   indexKey,
				Value: encode(index),
			},
		},
	}
	for _, name := range slices.Sorted(maps.Keys(record.Sections)) {
		c.Conditions = append(c.Conditions, ibisplatform.Condition{
			Key:     sectionPrefix + string(name),
			Version: r.Snapshot.rowVersions[name],
		})
		c.Writes = append(c.Writes, sectionWrite(name, record))
	}
	return c
}

func sectionWrite(name ibisdoc.SectionName, record Record) ibisplatform.Write {
	content := record.Sections[name].After
	write := ibisplatform.Write{
		Key:    sectionPrefix + string(name),
		Delete: len(content) == 0,
	}
	if !write.Delete {
		write.Value = encode(sectionRow{
			Version: record.Version,
			Content: content,
		})
	}
	return write
}

// compact returns the JSON text without insignificant white space, or the text itself where it is empty or not valid.
func compact(text json.RawMessage) json.RawMessage {
	var compacted bytes.Buffer
	if len(text) == 0 || json.Compact(&compacted, text) != nil {
		return text
	}
	return compacted.Bytes()
}
