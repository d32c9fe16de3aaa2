package ibisnode

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ibisridge/ibisridge/internal/node/ibismetric"
	"github.com/ibisridge/ibisridge/internal/node/ibisoperations"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

// Histograms returns the histograms of the requests that the node received from callers and of its gate, in order of name
// and value; it returns nil until the node has joined.
func (n *Node) Histograms() []ibisoperator.Histogram {
	c := n.components.Load()
	if c == nil {
		return nil
	}
	var out []ibisoperator.Histogram
	all := c.router.Histograms()
	maps.Copy(all, n.gate.Histograms())
	for name, byValue := range all {
		for value, snapshot := range byValue {
			out = append(out, ibisoperator.Histogram{
				Name:      name,
				Value:     value,
				Durations: snapshot,
			})
		}
	}
	slices.SortFunc(out, func(a, b ibisoperator.Histogram) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Value, b.Value))
	})
	return out
}

// Counts returns the counters of the requests that the node received from callers; it returns nil until the node has
// joined.
func (n *Node) Counts() []ibismetric.Count {
	c := n.components.Load()
	if c == nil {
		return nil
	}
	return c.router.Counts()
}

// overview returns the view of members and slots, and whether the node has joined.
func (n *Node) overview() (ibisoperations.Overview, bool) {
	c := n.components.Load()
	if c == nil {
		return nil, false
	}
	return c.manager, true
}
