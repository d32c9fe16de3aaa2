package ibiskeep

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// settleBeats is how many heartbeats a service is given to gather before its keys are divided for the first time.
	settleBeats = 2
	// standInDelay is how long a node leaves a duty to each node that is ranked before it.
	standInDelay = 2 * time.Second
	// balanceEvery is the shortest time between two rebalances, so that one is through before the next is judged.
	balanceEvery = 3 * time.Second
)

// planHandover gives away ranges of the own backend server that must go and are free, and reports whether it did.
func (k *Keeper) planHandover(now time.Time) bool {
	if k.server.life.IsZero() {
		return false
	}
	page := k.page.clone()
	changed := false
	for i, r := range page.Ranges {
		if r.Owner.Node != k.config.Node {
			continue
		}
		if to, handover, ok := k.heirOf(page, r, now); ok {
			page.Ranges[i] = r.hand(to, handover)
			changed = true
		}
	}
	if changed {
		k.propose(PurposeHandover, page, nil, nil)
	}
	return changed
}

// heirOf returns the owner to which a range of the own node goes now, if it goes.
func (k *Keeper) heirOf(page Page, r Range, now time.Time) (Owner, string, bool) {
	s := &k.server
	if r.Owner.Life != s.life {
		// The server of the range has ended: a later one listens in its place.
		if r.Owner.Life.Born > s.life.Born {
			return Owner{}, "", false
		}
		if !s.leaving && !s.ended && !k.isOut() {
			return Owner{
				Node: k.config.Node,
				Life: s.life,
			}, "", true
		}
		to, ok := k.leastLoaded(page)
		return to, "", ok
	}
	silent := !now.Before(s.grantUntil) && now.Sub(s.lastBeat) > k.config.HoldMax
	if !s.ended && !silent && !s.leaving && !k.isOut() && r.Next == "" {
		return Owner{}, "", false
	}
	if !s.free(r.Span, now) {
		return Owner{}, "", false
	}
	if r.Next != "" {
		if m, ok := k.eligible(r.Next); ok {
			return Owner{
				Node: m.Node,
				Life: m.Server.Life,
			}, s.handover(r.Span), true
		}
	}
	to, ok := k.leastLoaded(page)
	return to, s.handover(r.Span), ok
}

// targets returns the other members that may own keys.
func (k *Keeper) targets() []ibisroster.Member {
	var out []ibisroster.Member
	for _, m := range k.members {
		if m.Node != k.config.Node && k.mayOwn(m) {
			out = append(out, m)
		}
	}
	return out
}

func (k *Keeper) mayOwn(m ibisroster.Member) bool {
	if !m.Serves() || k.out.Has(m.Place.Domain) || !k.alive(m.Node) {
		return false
	}
	return len(k.homes) == 0 || slices.Contains(k.homes, m.Place.Region)
}

// owners returns the members that may own keys, the own one too.
func (k *Keeper) owners() []ibisroster.Member {
	out := k.targets()
	s := &k.server
	for _, m := range k.members {
		if m.Node == k.config.Node && m.Server.Life == s.life && !s.leaving && !s.ended && k.mayOwn(m) {
			out = append(out, m)
		}
	}
	return out
}

func (k *Keeper) eligible(node ibisid.NodeName) (ibisroster.Member, bool) {
	for _, m := range k.owners() {
		if m.Node == node {
			return m, true
		}
	}
	return ibisroster.Member{}, false
}

// leastLoaded returns the other owner with the fewest keys.
func (k *Keeper) leastLoaded(page Page) (Owner, bool) { return fewest(page, k.targets()) }

func fewest(page Page, members []ibisroster.Member) (Owner, bool) {
	shares := page.shares()
	var best ibisroster.Member
	for _, m := range members {
		if best.Node == "" || shares[m.Node] < shares[best.Node] {
			best = m
		}
	}
	return Owner{
		Node: best.Node,
		Life: best.Server.Life,
	}, best.Node != ""
}

// coordinate does what concerns other nodes' ranges. Any node may; the commit's conditions decide, and nodes ranked
// behind wait, so that mostly one tries.
func (k *Keeper) coordinate(now time.Time) {
	if !k.pageKnown {
		if k.gathered(now) && k.myTurn(now) {
			k.create()
		}
		return
	}
	page, conditions, removes := k.planTakeover()
	if len(conditions) > 0 {
		if k.myTurn(now) {
			k.propose(PurposeTakeover, page, conditions, removes)
		}
		return
	}
	page, ok := rebalance(k.page, k.owners(), k.alive)
	if !ok || now.Sub(k.balanceAt) < balanceEvery {
		k.needSince = time.Time{}
		return
	}
	if k.myTurn(now) {
		k.balanceAt = now
		k.propose(PurposeRebalance, page, nil, nil)
	}
}

// myTurn reports whether the need for a duty has stood long enough for a node of this rank.
func (k *Keeper) myTurn(now time.Time) bool {
	if k.needSince.IsZero() {
		k.needSince = now
	}
	if now.Sub(k.needSince) < time.Duration(k.rank())*standInDelay {
		return false
	}
	k.needSince = time.Time{}
	return true
}

// gathered reports whether the service has had time to gather and the leases were read since, so that the first division
// leaves nobody out. It asks for the leases where they weren't.
func (k *Keeper) gathered(now time.Time) bool {
	s := &k.server
	settled := s.firstBeat.Add(settleBeats * k.config.Heartbeat)
	if s.firstBeat.IsZero() || now.Before(settled) {
		return false
	}
	if k.leasesAt.Before(settled) {
		k.leasesAt = time.Time{}
		return false
	}
	return true
}

// rank returns how many nodes come first in what any node may do.
func (k *Keeper) rank() int {
	rank := 0
	for _, m := range k.members {
		if m.Node < k.config.Node && k.alive(m.Node) {
			rank++
		}
	}
	return rank
}

func (k *Keeper) create() {
	owners := k.owners()
	if len(owners) == 0 {
		return
	}
	k.propose(PurposeCreate, divide(owners), nil, nil)
}

// planTakeover gives the ranges of nodes whose leases have lapsed to others, under the condition that each lease still
// stands as it lapsed.
func (k *Keeper) planTakeover() (Page, []ibisstore.Condition, []ibisstore.Key) {
	page := k.page.clone()
	owners := k.owners()
	var conditions []ibisstore.Condition
	var removes []ibisstore.Key
	done := make(map[ibisid.NodeName]bool)
	for i, r := range page.Ranges {
		p, known := k.peers[r.Owner.Node]
		if r.Owner.Node == k.config.Node || !known || !k.lapsed(p) {
			continue
		}
		to, ok := fewest(page, owners)
		if !ok {
			return page, nil, nil
		}
		page.Ranges[i] = r.hand(to, "")
		if done[r.Owner.Node] {
			continue
		}
		done[r.Owner.Node] = true
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
