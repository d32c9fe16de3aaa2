package ibissection

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Version identifies a change of the document as "REVISION-CHANGE"; it is also the version of the sections that the change
// wrote.
type Version string

// NewVersion returns the version of the given revision and change.
func NewVersion(revision ibisid.Revision, changeID string) Version {
	return Version(fmt.Sprintf("%012d-%s", revision, changeID))
}

// Revision returns the revision of the version, or zero where the version is malformed.
func (v Version) Revision() ibisid.Revision {
	digits, _, _ := strings.Cut(string(v), "-")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return ibisid.Revision(n)
}

// ChangeID returns the id of the change that made the version.
func (v Version) ChangeID() string {
	_, id, _ := strings.Cut(string(v), "-")
	return id
}

// isRecovery reports whether the version was made by Recover; such a version always has a snapshot.
func (v Version) isRecovery() bool { return strings.HasPrefix(v.ChangeID(), recoveryPrefix) }

// Head is the value of the head row.
type Head struct {
	// Version is the version of the document.
	Version Version `json:"version"`
	// Team is the team that made the change.
	Team ibisid.TeamName `json:"team"`
	// When is the time of the change by the clock of the node that committed it.
	When time.Time `json:"when"`
	// Summary describes the purpose of the change.
	Summary string `json:"summary"`
}

// Revision returns the revision of the document.
func (h Head) Revision() ibisid.Revision { return h.Version.Revision() }

// Record is one change as it is kept in the object store.
type Record struct {
	Head
	// Parent is the version before the change, empty for the first.
	Parent Version `json:"parent,omitempty"`
	// Sections maps the name of each section that the change wrote to its contents before and after.
	Sections map[ibisdoc.SectionName]SectionChange `json:"sections"`
}

// SectionChange is the content of a section before and after a change; an absent content means that the section does not
// exist.
type SectionChange struct {
	// Previous is the version of the section before the change, empty where there was none.
	Previous Version `json:"previous,omitempty"`
	// Before is the content before the change.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the content after the change.
	After json.RawMessage `json:"after,omitempty"`
}

// Index lists the version of every section.
type Index map[ibisdoc.SectionName]Version

const (
	headKey        = "doc/head"
	indexKey       = "doc/index"
	sectionPrefix  = "doc/section/"
	recordPrefix   = "doc/revision/"
	snapshotPrefix = "doc/snapshot/"
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval = 64
	// recoveryPrefix is the prefix of the id of a change that recovers the store.
	recoveryPrefix = "recover-"
)

func recordName(v Version) string { return recordPrefix + string(v) }

func snapshotName(v Version) string { return snapshotPrefix + string(v) }

// object is an object to put into the object store.
type object struct {
	name string
	body []byte
}

// Snapshot is the whole document at one revision of the table, with the versions of the rows from which it was read.
type Snapshot struct {
	head         Head
	headVersion  ibisplatform.Version
	index        Index
	indexVersion ibisplatform.Version
	sections     ibisdoc.Sections
	rowVersions  map[ibisdoc.SectionName]ibisplatform.Version
}

// Head returns the head of the document; it is zero for an empty store.
func (s *Snapshot) Head() Head { return s.head }

// Sections returns the content of every section; the caller must not modify it.
func (s *Snapshot) Sections() ibisdoc.Sections { return s.sections }

// VersionOf returns the version of a section, empty where there is none.
func (s *Snapshot) VersionOf(name ibisdoc.SectionName) Version { return s.index[name] }

// encode returns the JSON form of a value; it panics where the value has none.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("ibissection: encoding %T as JSON: %v", value, err))
	}
	return text
}

// WithoutPreviousContents returns a copy of the record without the contents before the change, the form in which nodes send it
// to each other.
func (r Record) WithoutPreviousContents() Record {
	sections := make(map[ibisdoc.SectionName]SectionChange, len(r.Sections))
	for name, change := range r.Sections {
		change.Before = nil
		sections[name] = change
	}
	r.Sections = sections
	return r
}

// Size returns the approximate size of the record in bytes without the contents before the change.
func (r Record) Size() int {
	size := recordOverheadBytes
	for name, change := range r.Sections {
		size += len(name) + len(change.Previous) + len(change.After)
	}
	return size
}

// recordOverheadBytes is the approximate size of a record without its sections.
const recordOverheadBytes = 256
