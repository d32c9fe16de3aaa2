package ibiskeep

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// Keys is the number of keys that a service is divided into.
const Keys = 1 << 16

// Span is a run of keys, both ends included.
type Span struct {
	// From is the first key.
	From int
	// To is the last key.
	To int
}

// Width returns the number of keys.
func (s Span) Width() int { return s.To - s.From + 1 }

// Overlaps reports whether the spans share a key.
func (s Span) Overlaps(other Span) bool { return s.From <= other.To && other.From <= s.To }

// Minus returns the parts of the span that the other one doesn't hold.
func (s Span) Minus(other Span) []Span {
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

// And returns what both spans hold, and whether that is anything.
func (s Span) And(other Span) (Span, bool) {
	return Span{
		From: max(s.From, other.From),
		To:   min(s.To, other.To),
	}, s.Overlaps(other)
}

// Owner is a backend server with the node beside it.
type Owner struct {
	// Node is the node.
	Node ibisid.NodeName `json:"node"`
	// Life is the run of the backend server.
	Life ibisroster.Life `json:"life"`
}

// Range is a span of keys with its owner.
type Range struct {
	Span
	// Owner owns the keys.
	Owner Owner
	// Token is the fencing token; it rises with every change of owner.
	Token ibisid.Token
	// Handover is what the last owner's backend server handed out when it released the keys; empty where it didn't.
	Handover string
	// Next is the node that the owner is asked to give the keys to; empty where they stay.
	Next ibisid.NodeName
}

// Page is the ranges of a service in order; together they hold every key.
type Page struct {
	// Ranges lists the ranges by key.
	Ranges []Range
}

// Find returns the range that holds the key.
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
		Ranges: slices.Clone(p.Ranges),
	}
}

// shares returns the number of keys of each node, counting those on their way for their next one.
func (p Page) shares() map[ibisid.NodeName]int {
	out := make(map[ibisid.NodeName]int)
	for _, r := range p.Ranges {
		out[r.heir()] += r.Width()
	}
	return out
}

// heir returns the node that has the range once planned moves are through.
func (r Range) heir() ibisid.NodeName {
	if r.Next != "" {
		return r.Next
	}
	return r.Owner.Node
}

// hand returns the range with a new owner.
func (r Range) hand(to Owner, handover string) Range {
	r.Owner = to
	r.Token++
	r.Handover = handover
	r.Next = ""
	return r
}
