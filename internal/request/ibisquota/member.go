package ibisquota

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// SetMembers replaces the members of the deployment.
func (q *Quota) SetMembers(members []Member, now time.Time) []Effect {
	q.advance(now)
	members = slices.Clone(members)
	sortByRank(members)
	q.candidates = q.candidates[:0]
	runs := make(map[ibisid.NodeName]ibisid.Incarnation, len(members))
	for _, m := range members {
		runs[m.Node] = m.Incarnation
		if lends := !m.Stopping && (m.Node != q.config.Node || !q.stopping); lends && len(q.candidates) < lenderCandidates {
			q.candidates = append(q.candidates, m.Node)
		}
	}
	q.observeCount(len(members))
	q.rosterCount = len(members)
	isOwner := slices.ContainsFunc(members[:min(len(members), maxOwners)], func(m Member) bool { return m.Node == q.config.Node })
	switch {
	case !isOwner:
		q.ownerSince = time.Time{}
	case q.ownerSince.IsZero():
		q.ownerSince = now
	}
	for i := range q.slots {
		s := &q.slots[i]
		if s.holder != "" && runs[s.holder] > s.holderRun {
			// The run that had the share has ended, since a later one has written its row.
			s.holder = ""
		}
	}
	for node, p := range q.peers {
		if _, ok := runs[node]; !ok && !q.holds(node) && p.inFlight == 0 && len(p.asking) == 0 {
			delete(q.peers, node)
		}
	}
	q.assignLenders()
	q.updateShares(now)
	return q.flush(now)
}

// holds reports whether a lender may have the own share of a slot.
func (q *Quota) holds(node ibisid.NodeName) bool {
	return slices.ContainsFunc(q.slots[:], func(s slot) bool { return s.holder == node })
}

// observeCount applies a number of members: a greater one at once, a smaller one after shrinkDelay.
func (q *Quota) observeCount(count int) {
	if count >= q.count {
		q.count = count
		q.shrinkAt, q.shrinkTo = time.Time{}, 0
		return
	}
	q.shrinkTo = max(q.shrinkTo, count)
}

// shrinkCount lowers the number of members once it has been lower for shrinkDelay.
func (q *Quota) shrinkCount(now time.Time) {
	switch {
	case q.rosterCount >= q.count:
	case q.shrinkAt.IsZero():
		q.shrinkAt, q.shrinkTo = now.Add(shrinkDelay), max(q.shrinkTo, q.rosterCount)
	case !now.Before(q.shrinkAt):
		q.count = q.shrinkTo
		q.shrinkAt, q.shrinkTo = time.Time{}, 0
	}
}

// ownShare returns the node's own share of each limit, whether or not it is delegated.
func (q *Quota) ownShare(now time.Time) float64 {
	if q.ownerSince.IsZero() || now.Before(q.ownerSince.Add(ownDelay)) || q.count == 0 {
		return 0
	}
	return 1 / float64(min(q.count, maxOwners))
}
