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
	// minRebalanceInterval is the shortest time between two rebalances, so that one is complete before the next is planned.
	minRebalanceInterval = 3 * time.Second
)

// planHandover proposes new owners for the ranges of the own node that must move and that no backend server holds any more,
// and reports whether there were any.
func (k *Manager) planHandover(now time.Time) bool {
	if k.server.incarnation.IsZero() {
		return false
	}
	page := k.page.clone()
	changed := false
	for i, r := range page.Ranges {
		if r.Owner.Node != k.config.Node {
			continue
		}
		if to, handover, ok := k.nextOwner(page, r, now); ok {
			page.Ranges[i] = r.withOwner(to, handover)
			changed = true
		}
	}
	if changed {
		k.propose(PurposeHandover, page, nil, nil)
	}
	return changed
}

// nextOwner returns the new owner and the handover text for a range of the own node, and whether the range can move now.
func (k *Manager) nextOwner(page Page, r Range, now time.Time) (Owner, string, bool) {
	s := &k.server
	if r.Owner.Incarnation != s.incarnation {
		// The run of the backend server that owned the range has ended, as a later run listens on its port.
		if r.Owner.Incarnation.StartedAt > s.incarnation.StartedAt {
			return Owner{}, "", false
		}
		if !s.leaving && !s.ended && !k.isExcluded() {
			return Owner{
				Node:        k.config.Node,
				Incarnation: s.incarnation,
			}, "", true
		}
		to, ok := k.leastLoadedOther(page)
		return to, "", ok
	}
	silent := !now.Before(s.grantedUntil) && now.Sub(s.lastHeartbeat) > k.config.MaxGrant
	if !s.ended && !silent && !s.leaving && !k.isExcluded() && r.Next == "" {
		return Owner{}, "", false
	}
	if !s.isFree(r.Span, now) {
		return Owner{}, "", false
	}
	if r.Next != "" {
		if m, ok := k.candidate(r.Next); ok {
			return Owner{
				Node:        m.Node,
				Incarnation: m.Server.Incarnation,
			}, s.handover(r.Span), true
		}
	}
	to, ok := k.leastLoadedOther(page)
	return to, s.handover(r.Span), ok
}

// otherCandidates returns the members on other nodes that may own keys.
func (k *Manager) otherCandidates() []ibisroster.Member {
	var out []ibisroster.Member
	for _, m := range k.members {
		if m.Node != k.config.Node && k.canOwn(m) {
			out = append(out, m)
		}
	}
	return out
}

func (k *Manager) canOwn(m ibisroster.Member) bool {
	if !m.AcceptsWork() || k.excludedDomains.Has(m.Place.Domain) || !k.alive(m.Node) {
		return false
	}
	return len(k.homeRegions) == 0 || slices.Contains(k.homeRegions, m.Place.Region)
}

// candidates returns the members that may own keys, including the own node's.
func (k *Manager) candidates() []ibisroster.Member {
	out := k.otherCandidates()
	s := &k.server
	for _, m := range k.members {
		if m.Node == k.config.Node && m.Server.Incarnation == s.incarnation && !s.leaving && !s.ended && k.canOwn(m) {
			out = append(out, m)
		}
	}
	return out
}

func (k *Manager) candidate(node ibisid.NodeName) (ibisroster.Member, bool) {
	for _, m := range k.candidates() {
		if m.Node == node {
			return m, true
		}
	}
	return ibisroster.Member{}, false
}

// leastLoadedOther returns the candidate with the fewest keys on another node.
func (k *Manager) leastLoadedOther(page Page) (Owner, bool) {
	return leastLoaded(page, k.otherCandidates())
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
func (k *Manager) coordinate(now time.Time) {
	if !k.pageKnown {
		if k.readyToDivide(now) && k.rankDelayPassed(now) {
			k.proposeFirstPage()
		}
		return
	}
	page, conditions, removes := k.planTakeover()
	if len(conditions) > 0 {
		if k.rankDelayPassed(now) {
			k.propose(PurposeTakeover, page, conditions, removes)
		}
		return
	}
	page, ok := rebalance(k.page, k.candidates(), k.alive)
	if !ok || now.Sub(k.rebalancedAt) < minRebalanceInterval {
		k.dutySince = time.Time{}
		return
	}
	if k.rankDelayPassed(now) {
		k.rebalancedAt = now
		k.propose(PurposeRebalance, page, nil, nil)
	}
}

// rankDelayPassed reports whether a coordination duty has been due for rankDelay per node that ranks before this one. It
// starts the delay on the first call and resets it when the delay has passed.
func (k *Manager) rankDelayPassed(now time.Time) bool {
	if k.dutySince.IsZero() {
		k.dutySince = now
	}
	if now.Sub(k.dutySince) < time.Duration(k.rank())*rankDelay {
		return false
	}
	k.dutySince = time.Time{}
	return true
}

// readyToDivide reports whether the backend servers of the service had time to join and the leases were read afterwards, so
// that the first division includes all of them. Otherwise it makes a read of the leases due.
func (k *Manager) readyToDivide(now time.Time) bool {
	s := &k.server
	settled := s.firstHeartbeat.Add(settleHeartbeats * k.config.Heartbeat)
	if s.firstHeartbeat.IsZero() || now.Before(settled) {
		return false
	}
	if k.leasesReadAt.Before(settled) {
		k.leasesReadAt = time.Time{}
		return false
	}
	return true
}

// rank returns the number of alive nodes that rank before this one for coordination.
func (k *Manager) rank() int {
	rank := 0
	for _, m := range k.members {
		if m.Node < k.config.Node && k.alive(m.Node) {
			rank++
		}
	}
	return rank
}

func (k *Manager) proposeFirstPage() {
	owners := k.candidates()
	if len(owners) == 0 {
		return
	}
	k.propose(PurposeCreate, divideKeys(owners), nil, nil)
}

// planTakeover returns a page in which the ranges of nodes with lapsed leases have new owners, the conditions that each
// lapsed lease is unchanged, and the lease rows to remove.
func (k *Manager) planTakeover() (Page, []ibisstore.Condition, []ibisstore.Key) {
	page := k.page.clone()
	owners := k.candidates()
	var conditions []ibisstore.Condition
	var removes []ibisstore.Key
	conditioned := make(map[ibisid.NodeName]bool)
	for i, r := range page.Ranges {
		p, known := k.peers[r.Owner.Node]
		if r.Owner.Node == k.config.Node || !known || !k.lapsed(p) {
			continue
		}
		to, ok := leastLoaded(page, owners)
		if !ok {
			return page, nil, nil
		}
		page.Ranges[i] = r.withOwner(to, "")
		if conditioned[r.Owner.Node] {
			continue
		}
		conditioned[r.Owner.Node] = true
		key := k.leaseKey(r.Owner.Node)
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
