package ibisquota

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	// idleTime is how long the demand of an account without requests is kept.
	idleTime = 5 * time.Second
	// epsilon is a difference that comes from rounding: 63 shares of 1/63 may add up to slightly less than one.
	epsilon = 1e-6
)

// Quota is the state of one node: its own share, what it lends and what it has borrowed. New returns one ready for use. It is not
// safe for concurrent use.
type Quota struct {
	config   Config
	loanTerm time.Duration
	headroom float64
	accounts map[ibisid.TenantName]*account
	slots    [slotCount]slot
	stopping bool

	// rosterCount is the number of members, count that by which shares are computed, and shrinkTo the number that count is
	// lowered to at shrinkAt.
	rosterCount int
	count       int
	shrinkAt    time.Time
	shrinkTo    int
	// ownerSince is since when the node is known as an owner of a share; zero if it isn't one.
	ownerSince time.Time
	// candidates lists the members that may lend, preferred ones first.
	candidates []ibisid.NodeName

	// peers holds the lenders that this node talks to.
	peers map[ibisid.NodeName]*peer
	// seq is the number of the latest delegation that was sent.
	seq uint64

	// delegators holds the latest delegation of other nodes to this one, and delegatorOrder their names, sorted.
	delegators     map[ibisid.NodeName]*received
	delegatorOrder []ibisid.NodeName
	// nextExpiry is when the first of them ends, and nextCheck when the next lock or wait ends; zero if there is none.
	nextExpiry time.Time
	nextCheck  time.Time
	// tickedAt is the time of the last Tick.
	tickedAt time.Time

	// active lists the accounts with a borrower.
	active     []*account
	nextSweep  time.Time
	nextWaiter WaiterID
	effects    []Effect
}

// received is a delegation of another node.
type received struct {
	run   ibisid.Incarnation
	seq   uint64
	share float64
	slots Slots
	until time.Time
	// forgetAt is when no earlier delegation of the node can arrive in time any more.
	forgetAt time.Time
}

// endsAt returns when the delegation ends or, once it has, can be forgotten.
func (r *received) endsAt() time.Time {
	if r.slots == 0 {
		return r.forgetAt
	}
	return r.until
}

// New returns a Quota without members and accounts.
func New(config Config) *Quota {
	return &Quota{
		config:     config,
		loanTerm:   config.loanTerm(),
		headroom:   headroomShare * config.Slack,
		accounts:   make(map[ibisid.TenantName]*account),
		peers:      make(map[ibisid.NodeName]*peer),
		delegators: make(map[ibisid.NodeName]*received),
	}
}

// Accounts returns the number of accounts with a rate limit.
func (q *Quota) Accounts() int { return len(q.accounts) }

// FailedLenders returns the lenders that did not answer the last messages of this node or are stopping, sorted.
func (q *Quota) FailedLenders() []ibisid.NodeName {
	var nodes []ibisid.NodeName
	for node, p := range q.peers {
		if p.failed {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// Share returns the part of the account's limit that the node's own bucket has.
func (q *Quota) Share(name ibisid.TenantName) float64 { return q.slots[slotOf(name)].share }

// SetAccounts replaces the accounts with a rate limit. A changed limit applies at once, and the bucket of a new account starts
// empty.
func (q *Quota) SetAccounts(accounts []Account, now time.Time) []Effect {
	q.advance(now)
	for i := range q.slots {
		q.settleSlot(&q.slots[i], now)
	}
	kept := make(map[ibisid.TenantName]bool, len(accounts))
	for _, next := range accounts {
		if next.Rate <= 0 {
			continue
		}
		kept[next.Name] = true
		a := q.accounts[next.Name]
		if a == nil {
			a = &account{
				slot: slotOf(next.Name),
			}
			a.counted = q.slots[a.slot].filled
			q.accounts[next.Name] = a
			q.slots[a.slot].accounts = append(q.slots[a.slot].accounts, a)
		}
		q.settle(a)
		a.Account = next
		q.settle(a)
	}
	removed := func(a *account) bool { return !kept[a.Name] }
	for _, a := range q.active {
		if removed(a) {
			q.refuseWaiting(a.borrower, q.unavailable(a, now))
			a.borrower = nil
		}
	}
	q.active = slices.DeleteFunc(q.active, removed)
	for i := range q.slots {
		q.slots[i].accounts = slices.DeleteFunc(q.slots[i].accounts, removed)
	}
	for name := range q.accounts {
		if !kept[name] {
			delete(q.accounts, name)
		}
	}
	return q.flush(now)
}

// Stop ends lending: the node drops the delegations of others, who learn of it from its replies.
func (q *Quota) Stop(now time.Time) []Effect {
	q.advance(now)
	q.stopping = true
	clear(q.delegators)
	q.delegatorOrder = nil
	q.candidates = slices.DeleteFunc(q.candidates, func(node ibisid.NodeName) bool { return node == q.config.Node })
	q.assignLenders()
	q.updateShares(now)
	return q.flush(now)
}

// Tick sends what is due; it is to be called about every 100 ms.
func (q *Quota) Tick(now time.Time) []Effect {
	q.advance(now)
	q.tickedAt = now
	q.check(now)
	if !now.Before(q.nextSweep) {
		q.nextSweep = now.Add(idleTime)
		q.active = slices.DeleteFunc(q.active, func(a *account) bool {
			b := a.borrower
			idle := !b.asked && len(b.waiting) == 0 && now.Sub(b.demandAt) > idleTime
			if idle {
				a.borrower = nil
			}
			return idle
		})
	}
	return q.flush(now)
}

// advance ends what has ended by now.
func (q *Quota) advance(now time.Time) {
	if !q.tickedAt.IsZero() && now.Sub(q.tickedAt) > maxStall {
		q.tickedAt = now
		if !q.ownerSince.IsZero() {
			q.ownerSince = now
		}
		q.check(now)
		return
	}
	if !q.nextExpiry.IsZero() && !now.Before(q.nextExpiry) || !q.nextCheck.IsZero() && !now.Before(q.nextCheck) {
		q.check(now)
	}
}

// check ends delegations, locks and waits that have ended by now.
func (q *Quota) check(now time.Time) {
	q.delegatorOrder = slices.DeleteFunc(q.delegatorOrder, func(node ibisid.NodeName) bool {
		d := q.delegators[node]
		if !now.Before(d.until) {
			d.slots = 0
		}
		forget := d.slots == 0 && !now.Before(d.forgetAt)
		if forget {
			delete(q.delegators, node)
		}
		return forget
	})
	q.nextCheck = time.Time{}
	for i := range q.slots {
		s := &q.slots[i]
		if s.holder == "" {
			continue
		}
		if !now.Before(s.lockedUntil) {
			s.holder = ""
			continue
		}
		if q.nextCheck.IsZero() || s.lockedUntil.Before(q.nextCheck) {
			q.nextCheck = s.lockedUntil
		}
	}
	q.shrinkCount(now)
	q.updateShares(now)
}

// takeEffects returns the effects since the last call.
func (q *Quota) takeEffects() []Effect {
	effects := q.effects
	q.effects = nil
	return effects
}
