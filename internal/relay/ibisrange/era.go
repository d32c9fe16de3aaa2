package ibisrange

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// firstEra is the era of a store that has never come back from an older copy of its data. Only there does a missing page mean
// that the keys have never been divided.
const firstEra = 0

// tokenEraShift is the number of low bits of a token that count within an era.
const tokenEraShift = 32

// MaxToken is the greatest token: tokens stay exact as JSON numbers.
const MaxToken = 1<<53 - 1

// firstToken returns the lowest token that is given out in an era: it is above every token of earlier eras, including those
// that the store has lost.
func firstToken(era uint64) ibisid.Token { return ibisid.Token(era<<tokenEraShift + 1) }

// survivingPage is the page that the store had when an era began. What was committed in the seconds before is missing from it.
type survivingPage struct {
	page Page
	// version is the version of its row, zero if the row is lost.
	version uint64
}

// pageStands reports whether the page was written in the present era.
func (m *Manager) pageStands() bool { return m.pageKnown && m.page.Era == m.era }

// noticeEra begins a new era if the version is of a later one, and reports whether the version is of an earlier one. The clock
// is the reading of the store's clock in the same answer, or zero.
//
// In a new era the backend server keeps what it holds, under the lease. Nothing else is granted, moved or taken over until a
// page of the era stands.
func (m *Manager) noticeEra(version uint64, clock time.Duration) (outdated bool) {
	era := ibisstore.EraOf(version)
	if version == 0 || era < m.era {
		return version != 0
	}
	if era > m.era {
		m.beginEra(era)
	}
	if m.eraSince == 0 {
		m.eraSince = clock
	}
	return false
}

// beginEra forgets what the store said of other leases and of the own lease's row, and a commit that would have to be sent
// again.
func (m *Manager) beginEra(era uint64) {
	m.era, m.eraSince = era, 0
	m.survivor = nil
	m.peers = make(map[ibisid.NodeName]peerLease)
	m.leasesReadAt, m.leasesSeenAt = time.Time{}, 0
	m.lease.version, m.lease.eraBegan = 0, true
	m.lease.unanswered = nil
	m.dutySince = time.Time{}
	if m.pending != nil && !m.pending.sent {
		m.pending = nil
	}
}

// keepSurvivor keeps a page that was written in an earlier era; it is used like the page itself only if none is known.
func (m *Manager) keepSurvivor(page Page, version uint64) {
	if m.survivor != nil && version <= m.survivor.version {
		return
	}
	m.survivor = &survivingPage{
		page:    page,
		version: version,
	}
	if !m.pageKnown {
		m.page, m.pageVersion, m.pageKnown = page, version, true
	}
}

// needsSurvivor reports whether the page that the era began with must still be read.
func (m *Manager) needsSurvivor() bool {
	return m.era > firstEra && !m.pageStands() && m.survivor == nil
}

// keepLostPage keeps the known page as the survivor if a read shows that the store has lost the row. At a node that knows no page the
// survivor has no ranges.
func (m *Manager) keepLostPage(snapshot ibisstore.Snapshot) {
	if !m.needsSurvivor() || ibisstore.EraOf(snapshot.Version) != m.era {
		return
	}
	if !slices.ContainsFunc(snapshot.Rows, func(row ibisstore.Row) bool { return row.Key.Name == PageName }) {
		m.survivor = &survivingPage{
			page: m.page,
		}
	}
}

// heldSpans returns the run of the own backend server and what it may hold by grants that can be named, nil if that is nothing.
func (m *Manager) heldSpans(now time.Time) (*ibisroster.ServerIncarnation, [][3]uint64) {
	s := &m.server
	var spans [][3]uint64
	for _, g := range s.grants {
		if m.canName(g) && now.Before(g.until) {
			spans = append(spans, [3]uint64{uint64(g.From), uint64(g.To), uint64(g.token)})
		}
	}
	if s.ended || len(spans) == 0 {
		return nil, nil
	}
	incarnation := s.incarnation
	return &incarnation, spans
}

// holdsUnnamed reports whether the own backend server may hold keys that heldSpans leaves out, as an earlier run of the node
// granted them.
func (m *Manager) holdsUnnamed(now time.Time) bool {
	return !m.server.ended && slices.ContainsFunc(m.server.grants, func(g grantedSpan) bool {
		return !m.canName(g) && now.Before(g.until)
	})
}

// canName reports whether a grant's span and token are certain: this run gave it, and the lease hasn't lapsed since.
func (m *Manager) canName(g grantedSpan) bool {
	return g.token > 0 && !g.grantedAt.Before(m.lease.validSince)
}

// planEraPage returns the first page of the era, and whether it can be written. Every lease from before the era must have
// ended, and every node whose lease is valid must have named all that its backend server may hold.
func (m *Manager) planEraPage() (Page, bool) {
	if m.survivor == nil || m.eraSince == 0 || m.leasesSeenAt < m.eraSince+m.config.LeaseTerm+takeoverSlack || m.lease.toldEra != m.era {
		return Page{}, false
	}
	var holders []holder
	for node, p := range m.peers {
		if p.version == 0 || m.lapsed(p) {
			continue
		}
		if p.row.Era != m.era || p.row.Unnamed {
			return Page{}, false
		}
		holders = append(holders, p.row.holders(node)...)
	}
	page := m.survivor.page
	if len(page.Ranges) == 0 {
		owners := m.candidates()
		if len(owners) == 0 {
			return Page{}, false
		}
		page = divideKeys(owners, m.era)
	}
	return mergeHolders(page, holders, m.era), true
}

// proposeEraPage requests a commit of the first page of the era in place of the survivor.
func (m *Manager) proposeEraPage(page Page) {
	m.proposeAfter(m.survivor.version, PurposeEra, page, nil, nil)
}

// holder is a span that a backend server may hold, as its node has written into its lease.
type holder struct {
	Span
	owner Owner
	token ibisid.Token
}

// holders returns what the row says of the backend server beside the node; invalid spans are ignored.
func (r leaseRow) holders(node ibisid.NodeName) []holder {
	if r.Holder == nil {
		return nil
	}
	var out []holder
	for _, row := range r.Holds {
		if row[0] > row[1] || row[1] >= Keys {
			continue
		}
		out = append(out, holder{
			Span: Span{
				From: int(row[0]),
				To:   int(row[1]),
			},
			owner: Owner{
				Node:        node,
				Incarnation: *r.Holder,
			},
			token: ibisid.Token(row[2]),
		})
	}
	return out
}

// mergeHolders returns the page with every held span owned by its holder under the holder's token; of several holders the one
// with the highest token counts. The other spans keep their owners and get the first token of the era.
func mergeHolders(page Page, holders []holder, era uint64) Page {
	out := Page{
		Era: era,
	}
	slices.SortFunc(holders, func(a, b holder) int { return cmp.Compare(b.token, a.token) })
	for _, r := range page.Ranges {
		for _, span := range splitAtHolders(r.Span, holders) {
			next := r
			next.Span, next.Next = span, ""
			if i := slices.IndexFunc(holders, func(h holder) bool { return h.Overlaps(span) }); i >= 0 {
				if h := holders[i]; h.owner != r.Owner || h.token != r.Token {
					next.Owner, next.Token, next.Handover = h.owner, h.token, ""
				}
			} else {
				next.Token = firstToken(era)
			}
			out.appendRange(next)
		}
	}
	return out
}

// splitAtHolders splits a span so that each part is held as a whole or not at all by each holder.
func splitAtHolders(span Span, holders []holder) []Span {
	cuts := []int{span.From, span.To + 1}
	for _, h := range holders {
		for _, cut := range []int{h.From, h.To + 1} {
			if cut > span.From && cut <= span.To {
				cuts = append(cuts, cut)
			}
		}
	}
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	var out []Span
	for i := range cuts[1:] {
		out = append(out, Span{
			From: cuts[i],
			To:   cuts[i+1] - 1,
		})
	}
	return out
}

// appendRange appends a range, or extends the last one if it differs only in its keys.
func (p *Page) appendRange(r Range) {
	if n := len(p.Ranges); n > 0 {
		last := p.Ranges[n-1]
		last.Span = r.Span
		if last == r {
			p.Ranges[n-1].To = r.To
			return
		}
	}
	p.Ranges = append(p.Ranges, r)
}
