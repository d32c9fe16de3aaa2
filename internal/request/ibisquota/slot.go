package ibisquota

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// slotCount is the number of slots; Slots has a bit for each.
const slotCount = 64

// slot is the state of one slot.
type slot struct {
	// accounts lists the accounts of the slot.
	accounts []*account
	// share is the part of the limits that this node's buckets have, and filled its integral over time up to settledAt, in
	// seconds.
	share     float64
	filled    float64
	settledAt time.Time
	// lender is the slot's lender in the view of this node.
	lender ibisid.NodeName
	// holder is the lender that may have the own share, empty if none has, and holderRun its run.
	holder    ibisid.NodeName
	holderRun ibisid.Incarnation
	// lockedUntil is when the last delegation has certainly ended, and lastSeq its number.
	lockedUntil time.Time
	lastSeq     uint64
}

// account is the state of an account with a rate limit.
type account struct {
	Account
	slot int
	// level is the number of tokens in the bucket when the slot's integral was counted.
	level   float64
	counted float64
	// promised is the time of the last token that a refused request was told of, in Unix nanoseconds.
	promised int64
	// borrower is nil for accounts without recent requests.
	borrower *borrower
}

func slotOf(name ibisid.TenantName) int { return int(xxh3.HashString(string(name)) % slotCount) }

// rank orders members by rendezvous hashing.
func rank(node ibisid.NodeName, seed uint64) uint64 { return xxh3.HashStringSeed(string(node), seed) }

// memberSeed is the seed by which members are chosen as lenders and owners; slot n uses memberSeed+1+n.
const memberSeed = 0x51ab_77c1_0e5d_3f00

// sortByRank sorts members by their rank, highest first.
func sortByRank(members []Member) {
	ranks := make(map[ibisid.NodeName]uint64, len(members))
	for _, m := range members {
		ranks[m.Node] = rank(m.Node, memberSeed)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(ranks[b.Node], ranks[a.Node]), cmp.Compare(a.Node, b.Node))
	})
}

// assignLenders chooses the lender of each slot from the candidates, without those that don't answer.
func (q *Quota) assignLenders() {
	lenders := make([]ibisid.NodeName, 0, maxLenders)
	for _, node := range q.candidates {
		if len(lenders) == maxLenders {
			break
		}
		if peer := q.peers[node]; peer == nil || !peer.failed {
			lenders = append(lenders, node)
		}
	}
	for i := range q.slots {
		var best ibisid.NodeName
		var highest uint64
		for _, node := range lenders {
			if r := rank(node, memberSeed+1+uint64(i)); best == "" || r > highest {
				best, highest = node, r
			}
		}
		q.slots[i].lender = best
	}
}

// settleSlot counts the slot's share up to now. Delegations that have ended since are left out for all of the time: what they
// would have filled is lost, and a lender that was suspended fills nothing for them.
func (q *Quota) settleSlot(s *slot, now time.Time) {
	if passed := now.Sub(s.settledAt); passed > 0 {
		s.filled += s.share * passed.Seconds()
		s.settledAt = now
	}
}

// setShare changes the share of a slot. The buckets are cut to the capacity before and after: one that keeps what it could hold
// at an earlier share would have tokens that another lender has, too.
func (q *Quota) setShare(s *slot, share float64, now time.Time) {
	if share == s.share {
		return
	}
	if share < s.share {
		s.share = share
	}
	q.settleSlot(s, now)
	for _, a := range s.accounts {
		q.settle(a)
	}
	s.share = share
}

// settle fills the account's bucket up to the time at which its slot was settled.
func (q *Quota) settle(a *account) {
	s := &q.slots[a.slot]
	a.level += a.Rate * fillShare * (s.filled - a.counted)
	a.counted = s.filled
	a.level = min(a.level, (a.Burst+q.headroom)*s.share)
}

// updateShares recomputes the share of each slot from the own share and the delegations in force.
func (q *Quota) updateShares(now time.Time) {
	own := q.ownShare(now)
	var shares [slotCount]float64
	limit := 1 / float64(max(1, min(q.count, maxOwners)))
	q.nextExpiry = time.Time{}
	for _, node := range q.delegatorOrder {
		d := q.delegators[node]
		if at := d.endsAt(); q.nextExpiry.IsZero() || at.Before(q.nextExpiry) {
			q.nextExpiry = at
		}
		for i := range shares {
			if d.slots.Has(i) {
				// A delegator that counts fewer members than this node believes that its share is greater.
				shares[i] += min(d.share, limit)
			}
		}
	}
	for i := range q.slots {
		s := &q.slots[i]
		if s.holder == "" {
			shares[i] += own
		}
		q.setShare(s, min(1, shares[i]), now)
	}
}
