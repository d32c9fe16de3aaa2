package ibissection

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Clock provides the time that records and audit events carry.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// AuditEvent is one entry of the audit log: the team, the sections and the status of a change, without contents or token.
type AuditEvent struct {
	// When is the time of the answer.
	When time.Time `json:"when"`
	// Team is the team of the token, empty where no plan to commit was made, as for a token that belongs to no team.
	Team ibisid.TeamName `json:"team,omitempty"`
	// ChangeID is the id of the change.
	ChangeID string `json:"changeId"`
	// Sections lists the sections of the change.
	Sections []ibisdoc.SectionName `json:"sections"`
	// Status is the result of the change.
	Status Status `json:"status"`
	// Revision is the revision that the change made, or the revision against which it was checked.
	Revision ibisid.Revision `json:"revision"`
	// Reason explains why the change was not applied.
	Reason string `json:"reason,omitempty"`
}

// Auditor receives the entries of the audit log.
type Auditor interface {
	// Audit records one event.
	Audit(event AuditEvent)
}

// Store reads and changes the document in the platform's table and object store.
type Store struct {
	table       ibisplatform.Table
	objects     ibisplatform.ObjectStore
	clock       Clock
	auditor     Auditor
	minRevision func() ibisid.Revision

	mu     sync.Mutex
	cached *Snapshot
}

// Option configures a Store.
type Option func(*Store)

// WithAuditor sets the receiver of the audit log; by default there is none.
func WithAuditor(auditor Auditor) Option { return func(s *Store) { s.auditor = auditor } }

// WithMinRevision sets a function that returns the least revision that the store must have. While the store's revision is less,
// changes are rejected with StatusStaleStore. By default there is no such limit.
func WithMinRevision(minRevision func() ibisid.Revision) Option {
	return func(s *Store) { s.minRevision = minRevision }
}

// New returns a store over the platform's table and object store.
func New(table ibisplatform.Table, objects ibisplatform.ObjectStore, clock Clock, options ...Option) *Store {
	s := &Store{
		table:       table,
		objects:     objects,
		clock:       clock,
		minRevision: func() ibisid.Revision { return 0 },
	}
	for _, option := range options {
		option(s)
	}
	return s
}

const (
	// maxAttempts is the greatest number of times that one call plans a change or resolves its unconfirmed commit.
	maxAttempts = 8
	// maxRecordsSearched is the greatest number of records that are read to find a change in the chain.
	maxRecordsSearched = 256
)

// Put applies a change on behalf of the token's team.
func (s *Store) Put(ctx context.Context, token string, change Change) Outcome {
	return s.run(ctx, planRequest{
		Token:  token,
		Change: change,
	})
}

// Init writes the first document of an empty store. It needs no token: access to the store is sufficient.
func (s *Store) Init(ctx context.Context, id string, sections ibisdoc.Sections) Outcome {
	change := Change{
		ID:      id,
		Summary: "first document",
	}
	for _, name := range sortedNames(sections) {
		change.Edits = append(change.Edits, Edit{
			Section: name,
			Content: sections[name],
		})
	}
	return s.run(ctx, planRequest{
		Change:    change,
		Bootstrap: true,
	})
}

// Recover restores a store that was reset to an older state: it commits the sections in force as a new revision that follows
// the version in force. It needs no token: access to the store is sufficient.
func (s *Store) Recover(ctx context.Context, id string, inForce Version, sections ibisdoc.Sections) Outcome {
	snapshot, err := s.Load(ctx)
	if err != nil {
		return unavailableOutcome(err)
	}
	change := Change{
		ID:      recoveryPrefix + id,
		Summary: "recovery of the store",
	}
	for _, name := range sortedNames(sections) {
		change.Edits = append(change.Edits, Edit{
			Section: name,
			Base:    snapshot.index[name],
			Content: sections[name],
		})
	}
	for _, name := range sortedNames(snapshot.sections) {
		if _, exists := sections[name]; !exists {
			change.Edits = append(change.Edits, Edit{
				Section: name,
				Base:    snapshot.index[name],
			})
		}
	}
	return s.run(ctx, planRequest{
		Change:    change,
		Recovered: inForce,
	})
}

// run plans and commits the change until the outcome is final, up to maxAttempts times.
func (s *Store) run(ctx context.Context, request planRequest) Outcome {
	a := attempt{
		store:   s,
		request: request,
	}
	outcome := Outcome{Status: StatusUnavailable}
	for range maxAttempts {
		var done bool
		outcome, done = a.step(ctx)
		if done || ctx.Err() != nil {
			break
		}
	}
	s.audit(request, a.team, outcome)
	return outcome
}

func (s *Store) audit(request planRequest, team ibisid.TeamName, outcome Outcome) {
	if s.auditor == nil {
		return
	}
	event := AuditEvent{
		When:     s.clock.Now().UTC(),
		Team:     team,
		ChangeID: request.Change.ID,
		Status:   outcome.Status,
		Revision: outcome.Revision,
		Reason:   outcome.Reason,
	}
	for _, edit := range request.Change.Edits {
		event.Sections = append(event.Sections, edit.Section)
	}
	s.auditor.Audit(event)
}

// errConcurrentChange reports that the document was changed while its rows were read or a change was committed.
var errConcurrentChange = errors.New("the document changed while it was read")

func sortedNames[V any](m map[ibisdoc.SectionName]V) []ibisdoc.SectionName {
	names := make([]ibisdoc.SectionName, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
