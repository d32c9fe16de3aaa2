package ibisoperations

import (
	"context"
	"fmt"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisdocsync"
	"github.com/ibisridge/ibisridge/internal/node/ibismetric"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// Overview reports the nodes and slots known to the local node.
type Overview interface {
	// Nodes returns the known nodes, in order of name.
	Nodes() []ibisoperator.NodeStatus
	// Spaces returns the number of slots of each slot space by state, in order of name.
	Spaces() []ibisoperator.SlotStatus
	// Locate returns the owner, fencing token and standbys of a key.
	Locate(slot ibisid.Slot, key string) ibisoperator.KeyPlace
}

// RequestMetrics provides the histograms and counters of the node for its status.
type RequestMetrics interface {
	// Histograms returns the histograms of the node, in order of name and value.
	Histograms() []ibisoperator.Histogram
	// Counts returns the counters of the requests that the node received from callers.
	Counts() []ibismetric.Count
}

// Drainer drains this node and declares ended members dead.
type Drainer interface {
	// Drain hands over the slots of the node and returns when no request runs any more; it fails if the context ends first.
	Drain(ctx context.Context) error
	// DeclareDead declares a member dead without its witnesses, on the operator's assurance that its process has ended.
	// It fails if this node has not joined, the member has no row, its rows change meanwhile or the table does not answer.
	DeclareDead(ctx context.Context, member ibisid.Member) error
}

// Operations implements ibisoperator.Operations for one node.
type Operations struct {
	node           ibisid.NodeName
	documents      *ibisdocsync.Replicator
	store          *ibissection.Store
	overview       func() (Overview, bool)
	requestMetrics RequestMetrics
	drainer        Drainer
}

// New returns the operations of a node; overview reports false until the node has joined.
func New(node ibisid.NodeName, documents *ibisdocsync.Replicator, store *ibissection.Store, overview func() (Overview, bool), requestMetrics RequestMetrics, drainer Drainer) *Operations {
	return &Operations{
		node:           node,
		documents:      documents,
		store:          store,
		overview:       overview,
		requestMetrics: requestMetrics,
		drainer:        drainer,
	}
}

// authorize checks a team's token and returns the document in force. It fails with ErrUnauthorized, or with
// ErrUnavailable before the first document.
func (o *Operations) authorize(token string) (*ibisdoc.Document, error) {
	doc := o.documents.Current()
	if doc == nil {
		return nil, fmt.Errorf("%w: the node has no document yet", ibisoperator.ErrUnavailable)
	}
	if _, ok := ibisdoc.AuthenticateTeam(doc.Content().Teams, token); !ok {
		return nil, fmt.Errorf("%w: the Authorization header must carry a team's token as \"Bearer TOKEN\"", ibisoperator.ErrUnauthorized)
	}
	return doc, nil
}

// Drain hands over the slots of the node and returns when no request runs any more. It fails with ErrUnauthorized, or
// with ErrUnavailable if the context ends first.
func (o *Operations) Drain(ctx context.Context, token string) error {
	if _, err := o.authorize(token); err != nil {
		return err
	}
	if err := o.drainer.Drain(ctx); err != nil {
		return fmt.Errorf("%w: drain: %w", ibisoperator.ErrUnavailable, err)
	}
	return nil
}

// DeclareDead declares a member dead on the operators' assurance that its process has ended for good, so that its slots
// can be taken over without its witnesses. If the process still runs, the member and the new owners own the slots at the same
// time, so only the team that owns the section topology may call it.
func (o *Operations) DeclareDead(ctx context.Context, token string, member ibisid.Member) error {
	doc, err := o.authorize(token)
	if err != nil {
		return err
	}
	teams := doc.Content().Teams
	team, _ := ibisdoc.AuthenticateTeam(teams, token)
	if !slices.Contains(ibisdoc.SectionOwners(teams, ibisdoc.SectionName(ibisdoc.KindTopology)), team) {
		return fmt.Errorf("%w: the team that owns the section topology may say so", ibisoperator.ErrUnauthorized)
	}
	if member.Name == "" || member.Incarnation == 0 {
		return fmt.Errorf("%w: name and incarnation must be those of the member's row", ibisoperator.ErrBadRequest)
	}
	if err := o.drainer.DeclareDead(ctx, member); err != nil {
		return fmt.Errorf("%w: %w", ibisoperator.ErrUnavailable, err)
	}
	return nil
}
