package ibisadmit

import "time"

// dispatch admits waiting requests while the limit has room, class by class in order of priority. A request that can
// no longer meet its deadline is refused, and one that can no longer meet its target moves to the queue of late requests.
func (g *Gate) dispatch(now time.Time) {
	g.dispatchStarving(now)
	for _, q := range g.queues {
		for q.length > 0 && g.hasRoom(q, now) {
			w, _ := q.pop()
			lateKey := q.key()
			lateKey.late = true
			switch {
			case g.wouldMiss(q, w.deadline, 0, now):
				g.refuse(w.id, ReasonDeadline, minRetryAfter)
			case !q.late && g.wouldMiss(q, w.target, 0, now):
				g.requeueLate(w, g.queue(lateKey), now)
			default:
				g.admit(q, w, now)
			}
		}
	}
}

// dispatchStarving admits one request of each class that starves, if a slot is free.
func (g *Gate) dispatchStarving(now time.Time) {
	for _, q := range g.queues {
		if !g.starves(q, now) || !g.hasSlot(q, now) {
			continue
		}
		for q.length > 0 {
			w, _ := q.pop()
			if !g.wouldMiss(q, w.deadline, 0, now) {
				g.admit(q, w, now)
				break
			}
			g.refuse(w.id, ReasonDeadline, minRetryAfter)
		}
	}
}

func (g *Gate) admit(q *classQueue, w waitingRequest, now time.Time) {
	needsConnection := g.openConnections == len(g.running)
	if needsConnection {
		g.openConnections++
	}
	q.running++
	g.timing(q.name).lastAdmitted = now
	g.coldRate.recordAdmission(now)
	g.serverRate.recordAdmission(now)
	g.resends.recordAdmission()
	g.running[w.id] = runningRequest{
		queue:      q,
		admittedAt: now,
	}
	g.effects = append(g.effects, AdmitEffect{
		ID:             w.id,
		OpenConnection: needsConnection,
	})
}

// hasRoom reports whether there is a slot for another admission that is not kept free for more urgent classes.
func (g *Gate) hasRoom(q *classQueue, now time.Time) bool {
	return g.hasSlot(q, now) && !g.keepsHeadroom(q, g.slotLimit(now), now)
}

// hasSlot reports whether the limit, the share of the queue's class, the rate of a cold server and the server's own rate limit
// allow another admission.
func (g *Gate) hasSlot(q *classQueue, now time.Time) bool {
	if g.coldRate.full(now) || g.serverRate.full(now) {
		return false
	}
	limit := g.slotLimit(now)
	return len(g.running) < limit && q.running < g.classBound(q, limit)
}

// classBound returns the number of slots that the class may hold under the given limit. A class with a share below 1 leaves
// at least one slot to others, so it gets none while the limit is 1 on a server with more slots.
func (g *Gate) classBound(q *classQueue, limit int) int {
	share := q.policy.Share
	if share <= 0 || share >= 1 {
		return limit
	}
	if limit == 1 && g.limit.slots > 1 {
		return 0
	}
	return max(1, int(share*float64(limit)))
}

// requeueLate moves a request that can no longer meet its target to the queue of late requests, behind those that still can,
// or refuses it if that queue is full or shouldRefuseLate holds.
func (g *Gate) requeueLate(w waitingRequest, late *classQueue, now time.Time) {
	weight := g.config.Policy.Tenants[w.tenant].weight()
	wait := g.estimateWait(late, late.ahead(w.tenant, weight), now)
	if g.shouldRefuseLate(late, w.deadline, wait, now) || late.length >= late.policy.queueLength() {
		g.refuse(w.id, ReasonTarget, max(wait, minRetryAfter))
		return
	}
	if late.length == 0 {
		late.waitingSince = now
	}
	late.push(w, weight)
}

// shed refuses each waiting request that can't meet its deadline at the current limit. Requests that can no longer meet their
// target stay queued until dispatch reaches them.
func (g *Gate) shed(now time.Time) {
	for _, q := range g.queues {
		overdue := q.remove(func(w waitingRequest, ahead int) bool {
			return g.wouldMiss(q, w.deadline, g.estimateWait(q, ahead, now), now)
		})
		for _, w := range overdue {
			g.refuse(w.id, ReasonDeadline, max(g.estimateWait(q, q.length, now), minRetryAfter))
		}
	}
}

func (g *Gate) refuseAll(reason Reason) {
	for _, w := range g.removeAll(func(waitingRequest, int) bool { return true }) {
		g.refuse(w.id, reason, 0)
	}
}

func (g *Gate) removeAll(match func(w waitingRequest, ahead int) bool) []waitingRequest {
	var removed []waitingRequest
	for _, q := range g.queues {
		removed = append(removed, q.remove(match)...)
	}
	return removed
}
