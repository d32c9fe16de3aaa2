package ibisquota

import (
	"math"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Answer applies a request of another node and returns the reply.
func (q *Quota) Answer(request Request, now time.Time) Reply {
	q.advance(now)
	if d := request.Delegation; d != nil && !q.stopping && d.LenderRun == q.config.Incarnation {
		q.receive(request.From, request.Run, *d, now)
	}
	reply := Reply{
		Run:      q.config.Incarnation,
		Ticket:   now.UnixNano(),
		Members:  q.rosterCount,
		Stopping: q.stopping,
	}
	for _, ask := range request.Asks {
		reply.Grants = append(reply.Grants, q.grant(ask, now))
	}
	return reply
}

// receive applies a delegation, unless it is older than the latest one of the node.
func (q *Quota) receive(from ibisid.NodeName, run ibisid.Incarnation, d Delegation, now time.Time) {
	known := q.delegators[from]
	if known != nil && (run < known.run || run == known.run && d.Seq <= known.seq) {
		return
	}
	ticket := time.Unix(0, d.Ticket)
	if ticket.After(now) || d.AgeNs < 0 || !(d.Share >= 0) {
		return
	}
	// The term is counted from a time at which the delegation had certainly not been sent yet: the sender's clock may be 2%
	// slower than this one's, or faster.
	until := ticket.Add(d.AgeNs * 96 / 100).Add(delegationTerm)
	if !now.Before(until) {
		// It also replaces earlier ones, which ended before.
		d.Slots = 0
	}
	if known == nil {
		known = &received{}
		q.delegators[from] = known
		at, _ := slices.BinarySearch(q.delegatorOrder, from)
		q.delegatorOrder = slices.Insert(q.delegatorOrder, at, from)
	}
	changed := known.slots != d.Slots || known.share != d.Share
	*known = received{
		run:   run,
		seq:   d.Seq,
		share: d.Share,
		slots: d.Slots,
		until: until,
		// One that was sent before this one ends by then.
		forgetAt: now.Add(lockTerm),
	}
	if changed {
		q.updateShares(now)
	}
}

// grant lends tokens for an ask: first what is needed, then a part of what is left.
func (q *Quota) grant(ask Ask, now time.Time) Grant {
	a := q.accounts[ask.Account]
	if a == nil || q.stopping || q.slots[a.slot].share == 0 {
		return Grant{}
	}
	q.settleSlot(&q.slots[a.slot], now)
	q.settle(a)
	count := min(max(0, ask.Need), a.whole())
	a.level -= float64(count)
	if count < ask.Need {
		return Grant{
			Count:   count,
			RetryNs: q.promise(a, ask.Need-count, now),
		}
	}
	ahead := min(max(0, ask.Ahead), a.whole()/aheadDivisor)
	a.level -= float64(ahead)
	return Grant{
		Count: count + ahead,
	}
}

// whole returns the number of whole tokens in the bucket.
func (a *account) whole() int { return int(math.Floor(max(0, a.level) + epsilon)) }

// promise returns the time until a number of tokens that refused requests are told of, after those that earlier ones were told
// of. Requests told the same time would come back for one token.
func (q *Quota) promise(a *account, count int, now time.Time) time.Duration {
	perToken := float64(time.Second) / (a.Rate * fillShare * q.slots[a.slot].share)
	longest := float64(q.config.Window)
	wait := (1 - a.level) * perToken
	wait = max(wait, float64(a.promised-now.UnixNano())+perToken)
	a.promised = now.UnixNano() + int64(min(wait+float64(count-1)*perToken, longest))
	return time.Duration(max(1, min(wait, longest)))
}
