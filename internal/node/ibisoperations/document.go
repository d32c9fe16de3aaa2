package ibisoperations

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisdocsync"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

const (
	// defaultWait bounds the time for which a change is followed when its request names no wait.
	defaultWait = 3 * time.Second
	// maxWait bounds the wait of one request.
	maxWait = time.Minute
)

// Document returns the document at a revision, or the current one for revision zero. It fails with ErrUnauthorized,
// ErrNotFound for a revision that has no record, or ErrUnavailable.
func (o *Operations) Document(ctx context.Context, token string, revision ibisid.Revision) (ibisoperator.Document, error) {
	if _, err := o.authorize(token); err != nil {
		return ibisoperator.Document{}, err
	}
	if revision == 0 {
		return o.currentDocument(ctx)
	}
	version, err := o.store.VersionAt(ctx, revision)
	if err != nil {
		return ibisoperator.Document{}, storeError(err)
	}
	sections, err := o.store.At(ctx, version)
	if err != nil {
		return ibisoperator.Document{}, storeError(err)
	}
	return ibisoperator.Document{
		Revision: revision,
		Sections: sections,
	}, nil
}

func (o *Operations) currentDocument(ctx context.Context) (ibisoperator.Document, error) {
	snapshot, err := o.store.Load(ctx)
	if err != nil {
		return ibisoperator.Document{}, storeError(err)
	}
	document := ibisoperator.Document{
		Revision: snapshot.Head().Revision(),
		Sections: snapshot.Sections(),
		Versions: make(map[ibisdoc.SectionName]ibisid.Revision),
	}
	for name := range document.Sections {
		document.Versions[name] = snapshot.VersionOf(name).Revision()
	}
	return document, nil
}

// Log returns the latest changes, at most limit of them, newest first. It fails with ErrUnauthorized or ErrUnavailable.
func (o *Operations) Log(ctx context.Context, token string, limit int) ([]ibisoperator.Entry, error) {
	if _, err := o.authorize(token); err != nil {
		return nil, err
	}
	records, err := o.store.Log(ctx, limit)
	if err != nil {
		return nil, storeError(err)
	}
	entries := make([]ibisoperator.Entry, len(records))
	for i, record := range records {
		entries[i] = ibisoperator.Entry{
			Revision: record.Revision(),
			At:       record.When,
			Team:     record.Team,
			Message:  record.Summary,
			Sections: slices.Sorted(maps.Keys(record.Sections)),
		}
	}
	return entries, nil
}

// Change commits new contents of sections and waits until the change is accepted or the wait of the request ends. A
// rejected change is reported in the result; an outcome that is not known fails with ErrUnavailable.
func (o *Operations) Change(ctx context.Context, token string, change ibisoperator.Change) (ibisoperator.ChangeResult, error) {
	outcome := o.store.PutDraft(ctx, token, ibissection.Draft{
		ID:           idOrNew(change.ID),
		BaseRevision: change.Base,
		Contents:     change.Sections,
		Summary:      change.Message,
	})
	return o.changeResult(ctx, outcome, change.Wait())
}

// Undo commits a new revision that reverts the change of an earlier one, and waits as Change does.
func (o *Operations) Undo(ctx context.Context, token string, undo ibisoperator.Undo) (ibisoperator.ChangeResult, error) {
	outcome := o.store.Undo(ctx, token, idOrNew(undo.ID), undo.Revision)
	return o.changeResult(ctx, outcome, undo.Wait())
}

// idOrNew returns the change ID that the operator supplied, or a new UUID.
func idOrNew(given string) string {
	if given == "" {
		return uuid.NewString()
	}
	return given
}

// changeResult converts an outcome; it follows an applied change until it is accepted or the wait is over.
func (o *Operations) changeResult(ctx context.Context, outcome ibissection.Outcome, wait time.Duration) (ibisoperator.ChangeResult, error) {
	result := ibisoperator.ChangeResult{
		Revision: outcome.Revision,
		Faults:   outcome.Faults,
		Detail:   outcome.Reason,
	}
	switch outcome.Status {
	case ibissection.StatusApplied:
		o.awaitChange(ctx, &result, wait)
	case ibissection.StatusInvalid:
		result.Status = ibisoperator.ChangeInvalid
	case ibissection.StatusConflict:
		result.Status = ibisoperator.ChangeConflict
		result.Conflicts = convertConflicts(outcome.Conflicts)
	case ibissection.StatusForbidden:
		result.Status = ibisoperator.ChangeForbidden
	default:
		return result, fmt.Errorf("%w: %s: %s", ibisoperator.ErrUnavailable, outcome.Status, outcome.Reason)
	}
	return result, nil
}

// awaitChange waits until every live failure domain has confirmed the revision, and, if the operator asked for a wait,
// until it is in force on every node.
func (o *Operations) awaitChange(ctx context.Context, result *ibisoperator.ChangeResult, wait time.Duration) {
	allNodes := wait > 0
	if wait <= 0 {
		wait = defaultWait
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWait))
	defer cancel()
	reach := o.documents.AwaitRevision(ctx, result.Revision, allNodes)
	result.NotReached = reach.UnconfirmedDomains
	result.Status = ibisoperator.ChangeAccepted
	if len(reach.UnconfirmedDomains) > 0 {
		result.Status = ibisoperator.ChangePending
		result.Detail = "committed, but not yet confirmed by every live failure domain"
		return
	}
	if allNodes && len(reach.Lagging) > 0 {
		result.Detail = laggingDetail(reach)
	}
}

func laggingDetail(reach ibisdocsync.Progress) string {
	var names []string
	for _, domain := range slices.Sorted(maps.Keys(reach.Lagging)) {
		for _, node := range reach.Lagging[domain] {
			names = append(names, string(node))
		}
	}
	return "committed, but not yet confirmed in force on " + strings.Join(names, ", ")
}

func convertConflicts(found []ibissection.Conflict) []ibisoperator.Conflict {
	out := make([]ibisoperator.Conflict, len(found))
	for i, c := range found {
		out[i] = ibisoperator.Conflict{
			Section: c.Section,
			Base:    c.Base,
			Theirs:  c.Theirs,
			Mine:    c.Yours,
			Merged:  c.Merged,
		}
	}
	return out
}

func storeError(err error) error {
	if errors.Is(err, ibissection.ErrNoRecord) {
		return fmt.Errorf("%w: %w", ibisoperator.ErrNotFound, err)
	}
	return fmt.Errorf("%w: %w", ibisoperator.ErrUnavailable, err)
}
