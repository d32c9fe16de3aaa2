package ibisrange

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// Keys is the number of keys that a service is divided into.
const Keys = 1 << 16

// Span is a contiguous range of keys, both ends included.
type Span struct {
	// From is the first key.
	From int
	// To is the last key.
	To int
}

// Width returns the number of keys in the span.
func (s Span) Width() int { return s.To - s.From + 1 }

// Overlaps reports whether the spans share a key.
func (s Span) Overlaps(other Span) bool { return s.From <= other.To && other.From <= s.To }

// Subtract returns the parts of the span that the other one doesn't contain.
func (s Span) Subtract(other Span) []Span {
	if !s.Overlaps(other) {
		return []Span{s}
	}
	var out []Span
	if s.From < other.From {
		out = append(out, Span{
			From: s.From,
			To:   other.From - 1,
		})
	}
	if other.To < s.To {
		out = append(out, Span{
			From: other.To + 1,
			To:   s.To,
		})
	}
	return out
}

// Intersect returns the keys that both spans contain, and whether there are any.
func (s Span) Intersect(other Span) (Span, bool) {
	return Span{
		From: max(s.From, other.From),
		To:   min(s.To, other.To),
	}, s.Overlaps(other)
}

// Owner is one run of a backend server and the node beside it.
type Owner struct {
	// Node is the name of the node.
	Node ibisid.NodeName `json:"node"`
	// Incarnation identifies the run of the backend server.
	Incarnation ibisroster.ServerIncarnation `json:"life"`
}

// Range is a span of keys with its owner.
type Range struct {
	Span
	// Owner owns the keys.
	Owner Owner
	// Token is the fencing token; it increases with every change of owner.
	Token ibisid.Token
	// Handover is the text that the previous owner's backend server left when it released the keys, empty if it left none.
	Handover string
	// Next is the node to which a planned move gives the range, empty if no move is planned.
	Next ibisid.NodeName
}

// Page lists the ranges of a service; together they contain every key once.
type Page struct {
	// Era is the era of the store in which the page was written.
	Era uint64
	// Ranges lists the ranges in ascending order of keys.
	Ranges []Range
}

// Find returns the range that contains the key, and whether there is one.
func (p Page) Find(key int) (Range, bool) {
	i, found := slices.BinarySearchFunc(p.Ranges, key, func(r Range, k int) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	if !found {
		return Range{}, false
	}
	return p.Ranges[i], true
}

func (p Page) clone() Page {
	return Page{
		Era:    p.Era,
		Ranges: slices.Clone(p.Ranges),
	}
}

// keysByNode returns the number of keys of each node; a range with a planned move counts for its next node.
func (p Page) keysByNode() map[ibisid.NodeName]int {
	out := make(map[ibisid.NodeName]int)
	for _, r := range p.Ranges {
		out[r.plannedNode()] += r.Width()
	}
	return out
}

// plannedNode returns the node that owns the range once planned moves are complete.
func (r Range) plannedNode() ibisid.NodeName {
	if r.Next != "" {
		return r.Next
	}
	return r.Owner.Node
}

// withOwner returns the range with a new owner, the next token and no planned move.
func (r Range) withOwner(to Owner, handover string, era uint64) Range {
	r.Owner = to
	r.Token = max(r.Token+1, firstToken(era))
	r.Handover = handover
	r.Next = ""
	return r
}
