package ibisadmit

import (
	"time"
)

func (g *Gate) arrive(e ArriveEvent, now time.Time) {
	if g.draining {
		g.refuse(e.ID, ReasonDraining, 0)
		return
	}
	if g.out {
		g.refuse(e.ID, ReasonDomainOut, 0)
		return
	}
	if g.tooSlow(now) {
		g.refuse(e.ID, ReasonSlow, slowRetryAfter)
		return
	}
	q := g.queue(e.Class, false)
	tenant := g.config.Policy.Tenants[e.Tenant]
	wait := g.estimateWait(q, q.ahead(e.Tenant, tenant.weight()), now)
	if g.late(q, e.Deadline, wait, now) {
		g.refuse(e.ID, ReasonDeadline, max(wait, minRetryAfter))
		return
	}
	if g.late(q, e.Target, wait, now) {
		q = g.queue(e.Class, true)
		wait = g.estimateWait(q, q.ahead(e.Tenant, tenant.weight()), now)
		if g.hopeless(q, e.Deadline, wait, now) {
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
	q.push(waiting{
		id:       e.ID,
		tenant:   e.Tenant,
		deadline: e.Deadline,
		target:   e.Target,
	}, tenant.weight())
}

// hopeless reports whether a request that comes late anyway is not worth a place in the queue: it would wait for longer
// than it runs, in a class that has no less urgent one to take slots from. What is sent away at once can still be
// served elsewhere or later; room goes to requests that are not late yet.
func (g *Gate) hopeless(q *classQueue, deadline time.Time, wait time.Duration, now time.Time) bool {
	if g.late(q, deadline, wait, now) {
		return true
	}
	return wait > g.hold(q.name).expected(now) && !g.lessUrgentBusy(q)
}

// lessUrgentBusy reports whether requests of a less urgent class run or wait.
func (g *Gate) lessUrgentBusy(q *classQueue) bool {
	for _, other := range g.queues {
		if other.policy.Priority < q.policy.Priority && (other.length > 0 || other.running > 0) {
			return true
		}
	}
	return false
}

// makeRoom refuses the newest request of a tenant that holds more of the queue than the new request's tenant.
func (g *Gate) makeRoom(q *classQueue, e ArriveEvent, weight float64, now time.Time) bool {
	w, ok := q.displace(e.Tenant, weight)
	if !ok {
		return false
	}
	wait := g.estimateWait(q, q.length, now)
	g.refuse(w.id, ReasonQueueFull, max(wait, minRetryAfter))
	return true
}

// rateDelay takes a token of the tenant and returns zero, or how long until one is there.
func (g *Gate) rateDelay(e ArriveEvent, now time.Time) time.Duration {
	limit := g.rates[e.Tenant]
	if limit == nil || limit.AllowN(now, 1) {
		return 0
	}
	missing := 1 - limit.TokensAt(now)
	return max(minRetryAfter, time.Duration(missing/float64(limit.Limit())*float64(time.Second)))
}

// late reports whether a request that waits so long can't finish before its deadline.
func (g *Gate) late(q *classQueue, deadline time.Time, wait time.Duration, now time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	return now.Add(wait + g.hold(q.name).expected(now)).After(deadline)
}

// estimateWait returns how long until a request of the class with so many of its class ahead gets a slot.
func (g *Gate) estimateWait(q *classQueue, ahead int, now time.Time) time.Duration {
	limit := g.limit.bound(now)
	wait, waiting := 0.0, ahead
	// urgent is how many slots requests of more urgent classes hold, which others of them take over as they end; same is what
	// those hold that are as urgent as the queue that the walk has come to.
	urgent, same, priority := 0, 0, 0
	for i, other := range g.queues {
		if i == 0 || other.policy.Priority != priority {
			urgent, same, priority = urgent+same, 0, other.policy.Priority
		}
		same += other.running
		if other == q {
			slots := max(1, min(limit-urgent, g.classBound(q, limit)))
			wait += float64(ahead+1) * g.hold(q.name).mean.Value() / float64(slots)
			break
		}
		waiting += other.length
		if other.length > 0 {
			wait += float64(other.length) * g.hold(other.name).mean.Value() / float64(max(1, limit-urgent))
		}
	}
	if waiting == 0 && g.hasRoom(q, now) {
		return 0
	}
	return max(time.Duration(wait), g.cold.wait(waiting+1, now))
}

func (g *Gate) refuse(id RequestID, reason Reason, retryAfter time.Duration) {
	g.effects = append(g.effects, RefuseEffect{
		ID:         id,
		Reason:     reason,
		RetryAfter: retryAfter,
	})
}
