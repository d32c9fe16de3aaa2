package ibiskeep

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

const (
	// stripesPerOwner is how many ranges each owner gets at first: busy keys are close to one another, so that stripes
	// spread them over the owners.
	stripesPerOwner = 8
	// mostRanges bounds the ranges of the first division: the page's row takes 64 KiB, of which 1,000 ranges at 13 bytes and
	// their handovers at 25 leave room for some 300 owners at 85.
	mostRanges = 1000
	// leastShare is the share of a fair part below which an owner is given more: a joining server has none.
	leastShare = 0.5
	// narrowest is the smallest range that a split leaves, in keys.
	narrowest = 128
	// movesAtOnce bounds the ranges that one rebalance moves.
	movesAtOnce = 16
)

// divide gives each owner its stripes, all of one width.
func divide(owners []ibisroster.Member) Page {
	n := len(owners) * stripes(len(owners))
	var page Page
	for i := range n {
		m := owners[i%len(owners)]
		page.Ranges = append(page.Ranges, Range{
			Span: Span{
				From: i * Keys / n,
				To:   (i+1)*Keys/n - 1,
			},
			Owner: Owner{
				Node: m.Node,
				Life: m.Server.Life,
			},
			Token: 1,
		})
	}
	return page
}

// stripes returns how many ranges each of so many owners gets at first, so that the page's row can bear them all.
func stripes(owners int) int {
	return max(1, min(stripesPerOwner, mostRanges/max(1, owners)))
}

// rebalance asks owners with many keys to give some to owners that have far too few, and takes back what was asked for
// a node that can't take it any more. It waits while planned moves are on their way.
func rebalance(page Page, owners []ibisroster.Member, settled func(ibisid.NodeName) bool) (Page, bool) {
	may := make(map[ibisid.NodeName]bool)
	for _, m := range owners {
		may[m.Node] = true
	}
	out := page.clone()
	for i, r := range out.Ranges {
		switch {
		case r.Next == "":
		case !may[r.Next]:
			out.Ranges[i].Next = ""
			return out, true
		default:
			return page, false
		}
	}
	for _, r := range out.Ranges {
		if !settled(r.Owner.Node) {
			return page, false
		}
	}
	changed := false
	for range movesAtOnce {
		if !out.moveOne(owners) {
			break
		}
		changed = true
	}
	return out, changed
}

// moveOne marks one range for the owner with the fewest keys, and reports whether that was called for.
func (p *Page) moveOne(owners []ibisroster.Member) bool {
	if len(owners) < 2 {
		return false
	}
	shares := p.shares()
	few, many := owners[0].Node, owners[0].Node
	for _, m := range owners {
		if shares[m.Node] < shares[few] {
			few = m.Node
		}
		if shares[m.Node] > shares[many] {
			many = m.Node
		}
	}
	fair := Keys / len(owners)
	begun := p.marked(few)
	if !begun && float64(shares[few]) >= leastShare*float64(fair) {
		return false
	}
	missing := fair - shares[few]
	surplus := shares[many] - fair
	if missing < narrowest || surplus < narrowest {
		return false
	}
	return p.mark(many, few, min(missing, surplus))
}

func (p *Page) marked(node ibisid.NodeName) bool {
	for _, r := range p.Ranges {
		if r.Next == node {
			return true
		}
	}
	return false
}

// mark asks an owner to give its widest range that fits, or a part of its narrowest one, to another node.
func (p *Page) mark(from, to ibisid.NodeName, keys int) bool {
	best := -1
	for i, r := range p.Ranges {
		if r.Owner.Node != from || r.Next != "" {
			continue
		}
		if best < 0 || better(r.Width(), p.Ranges[best].Width(), keys) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r := p.Ranges[best]
	if r.Width() > keys && r.Width()-keys >= narrowest {
		rest := r
		rest.From = r.From + keys
		r.To = rest.From - 1
		p.Ranges = append(p.Ranges[:best+1], append([]Range{rest}, p.Ranges[best+1:]...)...)
	}
	r.Next = to
	p.Ranges[best] = r
	return true
}

// better prefers the widest range that fits, and the narrowest one where none does.
func better(width, best, keys int) bool {
	if width <= keys {
		return best > keys || width > best
	}
	return best > keys && width < best
}
