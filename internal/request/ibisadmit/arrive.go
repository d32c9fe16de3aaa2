package ibisadmit

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

func (g *Gate) arrive(e ArriveEvent, now time.Time) {
	if g.draining {
		g.refuse(e.ID, ReasonDraining, 0)
		return
	}
	if g.domainOut {
		g.refuse(e.ID, ReasonDomainOut, 0)
		return
	}
	if g.slowAndBusy(now) {
		g.refuse(e.ID, ReasonSlow, slowRetryAfter)
		return
	}
	key := queueKey{
		class:          e.Class,
		tenantPriority: g.tenantPriority(e),
		call:           e.Call,
	}
	if e.Call {
		key.callPriority = e.CallPriority
	}
	q := g.queue(key)
	q.demand.add(e, now)
	tenant := g.config.Policy.Tenants[e.Tenant]
	wait := g.estimateWait(q, q.ahead(e.Tenant, tenant.weight()), now)
	if g.wouldMiss(q, e.Deadline, wait, now) {
		g.refuse(e.ID, ReasonDeadline, max(wait, minRetryAfter))
		return
	}
	if g.wouldMiss(q, e.Target, wait, now) {
		key.late = true
		q = g.queue(key)
		wait = g.estimateWait(q, q.ahead(e.Tenant, tenant.weight()), now)
		if g.shouldRefuseLate(q, e.Deadline, wait, now) {
			g.refuse(e.ID, ReasonTarget, max(wait, minRetryAfter))
			return
		}
	}
	if q.length >= q.policy.queueLength() && !g.makeRoom(q, e, tenant.weight(), now) {
		g.refuse(e.ID, ReasonQueueFull, max(wait, minRetryAfter))
		return
	}
	if delay := g.rateDelay(e, now); delay > 0 {
		g.refuse(e.ID, ReasonRate, delay)
		return
	}
	if delay := g.callDelay(e.Class); delay > 0 {
		g.refuse(e.ID, ReasonCalls, delay)
		return
	}
	if q.length == 0 {
		q.waitingSince = now
	}
	q.push(waitingRequest{
		id:       e.ID,
		tenant:   e.Tenant,
		deadline: e.Deadline,
		target:   e.Target,
	}, tenant.weight())
}

// tenantPriority returns the priority of a request's tenant, none if it is that of the class or the class decides.
func (g *Gate) tenantPriority(e ArriveEvent) ibisset.Option[int] {
	if !e.HasPriority || e.Priority == g.config.Policy.Classes[e.Class].Priority {
		return ibisset.None[int]()
	}
	return ibisset.Some(e.Priority)
}

// shouldRefuseLate reports whether to refuse a request that will miss its target instead of queueing it. That is so if it
// would also miss its deadline, or would wait longer than it runs while no class of lower priority can yield slots to it.
// A request refused at once can still be served elsewhere or later, and the room goes to requests that are not late yet.
func (g *Gate) shouldRefuseLate(q *classQueue, deadline time.Time, wait time.Duration, now time.Time) bool {
	if g.wouldMiss(q, deadline, wait, now) {
		return true
	}
	return wait > g.timing(q.name).expectedHeadTime(now) && !g.hasLowerPriorityWork(q)
}

// hasLowerPriorityWork reports whether requests of a class of lower priority run or wait.
func (g *Gate) hasLowerPriorityWork(q *classQueue) bool {
	for _, other := range g.queues {
		if other.priority() < q.priority() && (other.length > 0 || other.running > 0) {
			return true
		}
	}
	return false
}

// makeRoom refuses the newest waiting request of the tenant that uses the most of the queue for its weight. It reports false
// if that is not more than the tenant of the new request would use with it.
func (g *Gate) makeRoom(q *classQueue, e ArriveEvent, weight float64, now time.Time) bool {
	w, ok := q.displace(e.Tenant, weight)
	if !ok {
		return false
	}
	wait := g.estimateWait(q, q.length, now)
	g.refuse(w.id, ReasonQueueFull, max(wait, minRetryAfter))
	return true
}

// rateDelay takes one token of the tenant's rate limit and returns zero, or returns the time until a token is available.
func (g *Gate) rateDelay(e ArriveEvent, now time.Time) time.Duration {
	limit := g.rates[e.Tenant]
	if limit == nil || limit.AllowN(now, 1) {
		return 0
	}
	missing := 1 - limit.TokensAt(now)
	return max(minRetryAfter, time.Duration(missing/float64(limit.Limit())*float64(time.Second)))
}

// wouldMiss reports whether the head of the answer is expected after due if the request waits for the given time. It is false
// for a zero due, which means that there is no such limit.
func (g *Gate) wouldMiss(q *classQueue, due time.Time, wait time.Duration, now time.Time) bool {
	if due.IsZero() {
		return false
	}
	return now.Add(wait + g.timing(q.name).expectedHeadTime(now)).After(due)
}

// estimateWait returns the time until a request of the queue gets a slot if ahead requests of the queue run before it.
func (g *Gate) estimateWait(q *classQueue, ahead int, now time.Time) time.Duration {
	limit := g.slotLimit(now)
	wait, totalAhead := 0.0, ahead
	// heldAbove counts the slots held by classes with a higher priority than the current queue; waiting requests of these
	// classes take the slots over as requests end. heldEqual counts the slots held by the queues of the same priority up to
	// the current one.
	heldAbove, heldEqual, priority := 0, 0, 0
	for i, other := range g.queues {
		if i == 0 || other.priority() != priority {
			heldAbove, heldEqual, priority = heldAbove+heldEqual, 0, other.priority()
		}
		heldEqual += other.running
		if other == q {
			slots := max(1, min(limit-heldAbove, g.classBound(q, limit), g.runBound(q, limit, now)))
			wait += float64(ahead+1) * g.timing(q.name).slotTime.Value() / float64(slots)
			break
		}
		totalAhead += other.length
		if other.length > 0 {
			wait += float64(other.length) * g.timing(other.name).slotTime.Value() / float64(max(1, limit-heldAbove))
		}
	}
	if totalAhead == 0 && g.hasRoom(q, now) {
		return 0
	}
	return max(time.Duration(wait), g.coldRate.wait(totalAhead+1, now), g.serverRate.wait(totalAhead+1, now))
}

func (g *Gate) refuse(id RequestID, reason Reason, retryAfter time.Duration) {
	g.effects = append(g.effects, RefuseEffect{
		ID:         id,
		Reason:     reason,
		RetryAfter: retryAfter,
	})
}
