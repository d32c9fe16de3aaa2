package ibisoperations

import (
	"context"
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// maxPolledNodes is the number of nodes up to which Status asks each one for its revision; in larger systems the
// revisions come from the reports of the failure domains alone.
const maxPolledNodes = 64

// Status returns the nodes, slots, failure domains and request metrics known to the node. It fails with ErrUnauthorized,
// or with ErrUnavailable before the first document.
func (o *Operations) Status(ctx context.Context, token string) (ibisoperator.Status, error) {
	doc, err := o.authorize(token)
	if err != nil {
		return ibisoperator.Status{}, err
	}
	status := ibisoperator.Status{
		Node:       o.node,
		Revision:   doc.Revision(),
		Histograms: o.requestMetrics.Histograms(),
		Counts:     o.requestMetrics.Counts(),
	}
	if overview, ok := o.overview(); ok {
		status.Ready = !o.documents.Stale()
		status.Nodes = overview.Nodes()
		status.Slots = overview.Spaces()
	}
	o.addRevisions(ctx, status.Nodes)
	status.Domains = domainStatuses(doc, status.Nodes, o.documents.Reports(ctx))
	return status, nil
}

// addRevisions sets the revision of each node, unless there are more than maxPolledNodes.
func (o *Operations) addRevisions(ctx context.Context, nodes []ibisoperator.NodeStatus) {
	if len(nodes) > maxPolledNodes {
		return
	}
	names := make([]ibisid.NodeName, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	revisions := o.documents.Revisions(ctx, names)
	for i, n := range nodes {
		nodes[i].Revision = revisions[n.Name]
	}
}

// domainStatuses returns the failure domains of the document, each with the number of its live nodes and its latest report.
func domainStatuses(doc *ibisdoc.Document, nodes []ibisoperator.NodeStatus, reports map[ibisid.DomainName]ibisrollout.Report) []ibisoperator.DomainStatus {
	live := make(map[ibisid.DomainName]int)
	for _, n := range nodes {
		live[n.Domain]++
	}
	var out []ibisoperator.DomainStatus
	regions := doc.Content().Topology.Regions
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		for _, domain := range slices.Sorted(maps.Keys(regions[region].Domains)) {
			out = append(out, ibisoperator.DomainStatus{
				Region:   region,
				Domain:   domain,
				State:    string(doc.DomainState(domain)),
				Nodes:    live[domain],
				Revision: reports[domain].Revision,
				Lagging:  reports[domain].Lagging,
			})
		}
	}
	return out
}
