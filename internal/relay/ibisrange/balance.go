package ibisrange

import (
	"slices"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

const (
	// initialRangesPerOwner is the number of ranges per owner in the first division: busy keys are close to one another, so
	// several narrow ranges per owner spread them over the owners.
	initialRangesPerOwner = 8
	// maxInitialRanges bounds the number of ranges in the first division. The page's row is limited to 64 KiB: 1,000
	// ranges of 13 bytes with handover texts of 25 bytes leave room for some 300 owners of 85 bytes.
	maxInitialRanges = 1000
	// minShareFraction is the fraction of a fair share below which a rebalance gives an owner more keys; a backend server
	// that has just joined has none.
	minShareFraction = 0.5
	// minRangeKeys is the smallest number of keys that a split leaves in a range, and the smallest that is worth a move.
	minRangeKeys = 128
	// maxMovesPerRebalance bounds the number of ranges that one rebalance moves.
	maxMovesPerRebalance = 16
)

// divideKeys returns the first page of an era: ranges of equal width, assigned to the owners in turn.
func divideKeys(owners []ibisroster.Member, era uint64) Page {
	n := len(owners) * rangesPerOwner(len(owners))
	page := Page{
		Era: era,
	}
	for i := range n {
		m := owners[i%len(owners)]
		page.Ranges = append(page.Ranges, Range{
			Span: Span{
				From: i * Keys / n,
				To:   (i+1)*Keys/n - 1,
			},
			Owner: Owner{
				Node:        m.Node,
				Incarnation: m.Server.Incarnation,
			},
			Token: firstToken(era),
		})
	}
	return page
}

// rangesPerOwner returns the number of ranges per owner in the first division, limited so that all fit into the page's row.
func rangesPerOwner(owners int) int {
	return max(1, min(initialRangesPerOwner, maxInitialRanges/max(1, owners)))
}

// rebalance plans moves of ranges from owners with many keys to owners with far too few, or cancels a planned move to a node
// that can no longer own keys. It plans nothing while earlier moves are in progress or an owner is not alive. It returns the
// new page and reports whether the page changed.
func rebalance(page Page, owners []ibisroster.Member, alive func(ibisid.NodeName) bool) (Page, bool) {
	allowed := make(map[ibisid.NodeName]bool)
	for _, m := range owners {
		allowed[m.Node] = true
	}
	for i, r := range page.Ranges {
		switch {
		case r.Next == "":
		case !allowed[r.Next]:
			out := page.clone()
			out.Ranges[i].Next = ""
			return out, true
		default:
			return page, false
		}
	}
	for _, r := range page.Ranges {
		if !alive(r.Owner.Node) {
			return page, false
		}
	}
	if !page.isUnbalanced(owners) {
		return page, false
	}
	out, changed := page.clone(), false
	for range maxMovesPerRebalance {
		if !out.planOneMove(owners) {
			break
		}
		changed = true
	}
	return out, changed
}

// isUnbalanced reports whether an owner has far fewer keys than a fair share.
func (p Page) isUnbalanced(owners []ibisroster.Member) bool {
	if len(owners) < 2 {
		return false
	}
	shares := p.keysByNode()
	return slices.ContainsFunc(owners, func(m ibisroster.Member) bool {
		return float64(shares[m.Node]) < minShareFraction*float64(Keys/len(owners))
	})
}

// planOneMove plans the move of one range to the owner with the fewest keys, and reports whether it planned one. The first
// move to an owner requires that it has less than minShareFraction of a fair share; further moves fill up the share.
func (p *Page) planOneMove(owners []ibisroster.Member) bool {
	if len(owners) < 2 {
		return false
	}
	shares := p.keysByNode()
	fewest, most := owners[0].Node, owners[0].Node
	for _, m := range owners {
		if shares[m.Node] < shares[fewest] {
			fewest = m.Node
		}
		if shares[m.Node] > shares[most] {
			most = m.Node
		}
	}
	fair := Keys / len(owners)
	planned := p.hasMoveTo(fewest)
	if !planned && float64(shares[fewest]) >= minShareFraction*float64(fair) {
		return false
	}
	missing := fair - shares[fewest]
	surplus := shares[most] - fair
	if missing < minRangeKeys || surplus < minRangeKeys {
		return false
	}
	return p.planMove(most, fewest, min(missing, surplus))
}

func (p *Page) hasMoveTo(node ibisid.NodeName) bool {
	for _, r := range p.Ranges {
		if r.Next == node {
			return true
		}
	}
	return false
}

// planMove plans the move of an owner's widest range of at most the given number of keys to another node. If all its ranges
// are wider, it splits the narrowest one and moves a part with that number of keys, or moves it whole if the rest would have
// fewer than minRangeKeys. It reports whether the owner had a range without a planned move.
func (p *Page) planMove(from, to ibisid.NodeName, keys int) bool {
	best := -1
	for i, r := range p.Ranges {
		if r.Owner.Node != from || r.Next != "" {
			continue
		}
		if best < 0 || betterFit(r.Width(), p.Ranges[best].Width(), keys) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r := p.Ranges[best]
	if r.Width() > keys && r.Width()-keys >= minRangeKeys {
		rest := r
		rest.From = r.From + keys
		r.To = rest.From - 1
		p.Ranges = append(p.Ranges[:best+1], append([]Range{rest}, p.Ranges[best+1:]...)...)
	}
	r.Next = to
	p.Ranges[best] = r
	return true
}

// betterFit reports whether a width is a better choice than the best one so far: the widest that has at most the given
// number of keys, or the narrowest if none has.
func betterFit(width, best, keys int) bool {
	if width <= keys {
		return best > keys || width > best
	}
	return best > keys && width < best
}
