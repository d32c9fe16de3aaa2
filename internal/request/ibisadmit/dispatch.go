package ibisadmit

import "time"

// dispatch admits waiting requests while the limit has room, class by class in order of priority.
func (g *Gate) dispatch(now time.Time) {
	for _, q := range g.queues {
		for q.length > 0 && g.hasRoom(q, now) {
			w, _ := q.pop()
			switch {
			case g.late(q, w.deadline, 0, now):
				g.refuse(w.id, ReasonDeadline, minRetryAfter)
			case !q.late && g.late(q, w.target, 0, now):
				g.putBehind(w, g.queue(q.name, true), now)
			default:
				g.admit(q, w, now)
			}
		}
	}
}

func (g *Gate) admit(q *classQueue, w waiting, now time.Time) {
	opens := g.open == len(g.running)
	if opens {
		g.open++
	}
	q.running++
	g.cold.admitted(now)
	g.running[w.id] = admitted{
		queue: q,
		at:    now,
	}
	g.effects = append(g.effects, AdmitEffect{
		ID:             w.id,
		OpenConnection: opens,
	})
}

func (g *Gate) hasRoom(q *classQueue, now time.Time) bool {
	if g.cold.full(now) {
		return false
	}
	limit := g.limit.bound(now)
	return len(g.running) < limit && q.running < g.classBound(q, limit)
}

// classBound returns how many of the limit's slots the class may hold; a class with a share below 1 leaves at least
// one slot to others, so it gets none while the limit of a larger server is 1.
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

// putBehind lets a request that has become late wait behind what can still meet its target, if it is worth a place there.
func (g *Gate) putBehind(w waiting, late *classQueue, now time.Time) {
	weight := g.config.Policy.Tenants[w.tenant].weight()
	wait := g.estimateWait(late, late.ahead(w.tenant, weight), now)
	if g.hopeless(late, w.deadline, wait, now) || late.length >= late.policy.queueLength() {
		g.refuse(w.id, ReasonTarget, max(wait, minRetryAfter))
		return
	}
	late.push(w, weight)
}

// shed refuses each waiting request that can't finish before its deadline at the present limit, and puts those behind that
// can't meet their target any more.
func (g *Gate) shed(now time.Time) {
	for _, q := range g.queues {
		late := q.remove(func(w waiting, ahead int) bool {
			return g.late(q, w.deadline, g.estimateWait(q, ahead, now), now)
		})
		for _, w := range late {
			g.refuse(w.id, ReasonDeadline, max(g.estimateWait(q, q.length, now), minRetryAfter))
		}
	}
}

func (g *Gate) refuseAll(reason Reason) {
	for _, w := range g.removeAll(func(waiting, int) bool { return true }) {
		g.refuse(w.id, reason, 0)
	}
}

func (g *Gate) removeAll(picks func(w waiting, ahead int) bool) []waiting {
	var out []waiting
	for _, q := range g.queues {
		out = append(out, q.remove(picks)...)
	}
	return out
}
