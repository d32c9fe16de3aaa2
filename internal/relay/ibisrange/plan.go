package ibisrange

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// settleHeartbeats is the number of heartbeat intervals before the keys of a service are divided for the first time, so
	// that its backend servers can join.
	settleHeartbeats = 2
	// rankDelay is how long a node waits before a coordination duty, for each node that ranks before it.
	rankDelay = 2 * time.Second
	// maxTakeoverOwners is the greatest number of owners that one commit takes ranges over from: each has a condition and a removal,
	// and the store takes 100 entries.
	maxTakeoverOwners = 40
	// minRebalanceInterval is the shortest time between two rebalances, so that one is complete before the next is planned.
	minRebalanceInterval = 3 * time.Second
)

// proposeHandover proposes new owners for the ranges of the own node that must move and that its backend server no longer
// holds, and reports whether there were any. The commit has the lease of this run as its condition: if it is carried out late,
// after another run of the node has begun, that run may have granted the ranges again.
func (m *Manager) proposeHandover(now time.Time) bool {
	if m.server.incarnation.IsZero() || m.lease.version == 0 || m.lease.outdated {
		return false
	}
	page, changed := m.page, false
	for i, r := range page.Ranges {
		if r.Owner.Node != m.config.Node {
			continue
		}
		if to, handover, ok := m.nextOwner(page, r, now); ok {
			if !changed {
				page, changed = page.clone(), true
			}
			page.Ranges[i] = r.withOwner(to, handover, m.era)
		}
	}
	if changed {
		m.propose(PurposeHandover, page, []ibisstore.Condition{{
			Key:     m.leaseKey(m.config.Node),
			Version: m.lease.version,
		}}, nil)
	}
	return changed
}

// nextOwner returns the new owner and the handover text for a range of the own node, and whether the range can move now.
func (m *Manager) nextOwner(page Page, r Range, now time.Time) (Owner, string, bool) {
	s := &m.server
	if r.Owner.Incarnation != s.incarnation {
		if !m.hasReplaced(r.Owner.Incarnation) && !s.isFree(r.Span, now) {
			return Owner{}, "", false
		}
		if !s.draining && !s.ended && !m.isExcluded() {
			return Owner{
				Node:        m.config.Node,
				Incarnation: s.incarnation,
			}, "", true
		}
		to, ok := m.leastLoadedOther(page)
		return to, "", ok
	}
	if s.isSpent(r) && !s.hasCall(r.Span) && m.grantableUnderNewToken(r) {
		return r.Owner, s.handover(r.Span), true
	}
	serverSilent := !now.Before(s.grantedUntil) && now.Sub(s.lastContact) > m.config.MaxGrant
	if !s.ended && !serverSilent && !s.draining && !m.isExcluded() && r.Next == "" {
		return Owner{}, "", false
	}
	if !s.isFree(r.Span, now) {
		return Owner{}, "", false
	}
	if r.Next != "" {
		if member, ok := m.candidate(r.Next); ok {
			return Owner{
				Node:        member.Node,
				Incarnation: member.Server.Incarnation,
			}, s.handover(r.Span), true
		}
	}
	to, ok := m.leastLoadedOther(page)
	return to, s.handover(r.Span), ok
}

// otherCandidates returns the members on other nodes that may own keys.
func (m *Manager) otherCandidates() []ibisroster.Member {
	var out []ibisroster.Member
	for _, member := range m.members {
		if member.Node != m.config.Node && m.canOwn(member) {
			out = append(out, member)
		}
	}
	return out
}

func (m *Manager) canOwn(member ibisroster.Member) bool {
	if !member.AcceptsWork() || m.excludedDomains.Has(member.Place.Domain) || !m.alive(member.Node) {
		return false
	}
	return len(m.homeRegions) == 0 || slices.Contains(m.homeRegions, member.Place.Region)
}

// candidates returns the members that may own keys, including the own node's.
func (m *Manager) candidates() []ibisroster.Member {
	out := m.otherCandidates()
	s := &m.server
	for _, member := range m.members {
		if member.Node == m.config.Node && member.Server.Incarnation == s.incarnation && !s.draining && !s.ended && m.canOwn(member) {
			out = append(out, member)
		}
	}
	return out
}

func (m *Manager) candidate(node ibisid.NodeName) (ibisroster.Member, bool) {
	for _, member := range m.candidates() {
		if member.Node == node {
			return member, true
		}
	}
	return ibisroster.Member{}, false
}

// leastLoadedOther returns the candidate with the fewest keys among those on other nodes, and whether there is one.
func (m *Manager) leastLoadedOther(page Page) (Owner, bool) {
	return leastLoaded(page, m.otherCandidates())
}

func leastLoaded(page Page, members []ibisroster.Member) (Owner, bool) {
	shares := page.keysByNode()
	var best ibisroster.Member
	for _, m := range members {
		if best.Node == "" || shares[m.Node] < shares[best.Node] {
			best = m
		}
	}
	return Owner{
		Node:        best.Node,
		Incarnation: best.Server.Incarnation,
	}, best.Node != ""
}

// coordinate divides the keys, takes over ranges of lapsed owners and rebalances. Every node may do so, as the conditions of
// its commit prevent conflicting changes; nodes of a lower rank wait, so that usually only one tries.
func (m *Manager) coordinate(now time.Time) {
	if !m.pageKnown && m.era == firstEra {
		if m.readyToDivide(now) && m.rankDelayPassed(now) {
			m.proposeFirstPage()
		}
		return
	}
	if !m.pageStands() {
		if page, ok := m.planEraPage(); ok && m.rankDelayPassed(now) {
			m.proposeEraPage(page)
		}
		return
	}
	page, conditions, removes := m.planTakeover()
	if len(conditions) > 0 {
		if m.rankDelayPassed(now) {
			m.propose(PurposeTakeover, page, conditions, removes)
		}
		return
	}
	page, ok := rebalance(m.page, m.candidates(), m.alive)
	if !ok || now.Sub(m.rebalancedAt) < minRebalanceInterval {
		m.dutySince = time.Time{}
		return
	}
	if m.rankDelayPassed(now) {
		m.rebalancedAt = now
		m.propose(PurposeRebalance, page, nil, nil)
	}
}

// rankDelayPassed reports whether a coordination duty has been due for rankDelay per node that ranks before this one. It
// starts the delay on the first call and resets it when the delay has passed.
func (m *Manager) rankDelayPassed(now time.Time) bool {
	if m.dutySince.IsZero() {
		m.dutySince = now
	}
	if now.Sub(m.dutySince) < time.Duration(m.rank())*rankDelay {
		return false
	}
	m.dutySince = time.Time{}
	return true
}

// readyToDivide reports whether the backend servers of the service have had time to join and the leases have been read since,
// so that the first division includes all of them. If only the read is missing, it makes one due.
func (m *Manager) readyToDivide(now time.Time) bool {
	s := &m.server
	settled := s.firstHeartbeat.Add(settleHeartbeats * m.config.Heartbeat)
	if s.firstHeartbeat.IsZero() || now.Before(settled) {
		return false
	}
	if m.leasesReadAt.Before(settled) {
		m.leasesReadAt = time.Time{}
		return false
	}
	return true
}

// rank returns the number of alive nodes that rank before this one for coordination.
func (m *Manager) rank() int {
	rank := 0
	for _, member := range m.members {
		if member.Node < m.config.Node && m.alive(member.Node) {
			rank++
		}
	}
	return rank
}

func (m *Manager) proposeFirstPage() {
	owners := m.candidates()
	if len(owners) == 0 {
		return
	}
	m.propose(PurposeCreate, divideKeys(owners, m.era), nil, nil)
}

// planTakeover returns a page in which the ranges of nodes with lapsed leases, maxTakeoverOwners of them at most, have new owners,
// the conditions that each lapsed lease is unchanged, and the lease rows to remove.
func (m *Manager) planTakeover() (Page, []ibisstore.Condition, []ibisstore.Key) {
	if !slices.ContainsFunc(m.page.Ranges, m.isOrphaned) {
		return m.page, nil, nil
	}
	page := m.page.clone()
	owners := m.candidates()
	var conditions []ibisstore.Condition
	var removes []ibisstore.Key
	conditioned := make(map[ibisid.NodeName]bool)
	for i, r := range page.Ranges {
		if !m.isOrphaned(r) || len(conditions) == maxTakeoverOwners && !conditioned[r.Owner.Node] {
			continue
		}
		p := m.peers[r.Owner.Node]
		to, ok := leastLoaded(page, owners)
		if !ok {
			return page, nil, nil
		}
		page.Ranges[i] = r.withOwner(to, "", m.era)
		if conditioned[r.Owner.Node] {
			continue
		}
		conditioned[r.Owner.Node] = true
		key := m.leaseKey(r.Owner.Node)
		conditions = append(conditions, ibisstore.Condition{
			Key:     key,
			Version: p.version,
		})
		if p.version != 0 {
			removes = append(removes, key)
		}
	}
	return page, conditions, removes
}

// isOrphaned reports whether the lease of the range's owner, another node, has lapsed.
func (m *Manager) isOrphaned(r Range) bool {
	p, known := m.peers[r.Owner.Node]
	return r.Owner.Node != m.config.Node && known && m.lapsed(p)
}
