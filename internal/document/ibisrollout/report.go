package ibisrollout

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Report summarizes the revisions in force on a node and the nodes below it in the tree.
type Report struct {
	// Revision is the lowest revision in force on these nodes.
	Revision ibisid.Revision `json:"revision"`
	// Nodes is the number of these nodes.
	Nodes int `json:"nodes"`
	// Lagging lists some of the nodes at Revision where a greater revision is known.
	Lagging []ibisid.NodeName `json:"lagging,omitempty"`
}

// maxLagging limits the number of node names in a report.
const maxLagging = 8

func (r Report) equal(other Report) bool {
	return r.Revision == other.Revision && r.Nodes == other.Nodes && slices.Equal(r.Lagging, other.Lagging)
}

// merge returns the report of both groups of nodes together.
func (r Report) merge(other Report) Report {
	low, high := r, other
	if high.Revision < low.Revision {
		low, high = high, low
	}
	joined := Report{
		Revision: low.Revision,
		Nodes:    low.Nodes + high.Nodes,
		Lagging:  low.Lagging,
	}
	if low.Revision == high.Revision {
		joined.Lagging = slices.Concat(low.Lagging, high.Lagging)
	}
	joined.Lagging = joined.Lagging[:min(len(joined.Lagging), maxLagging)]
	return joined
}

// clearLaggingAt removes the names of lagging nodes if every node has at least the given greatest revision.
func (r Report) clearLaggingAt(greatest ibisid.Revision) Report {
	if r.Revision >= greatest {
		r.Lagging = nil
	}
	return r
}
