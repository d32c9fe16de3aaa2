package ibisadmit

import "time"

const (
	// resendRatio is the number of resends that one admission adds to the budget. The rules allow a service 0.2 repeats a request over
	// all its nodes, and requests that only one server can run are repeated nowhere else.
	resendRatio = 0.15
	// resendBurst is the greatest number of resends that a gate may request at once.
	resendBurst = 3
	// resendPause is the time between a rejection and the resend: some of the server's other requests end meanwhile.
	resendPause = 10 * time.Millisecond
	// maxResends is the number of resends of one request.
	maxResends = 3
)

// resendBudget limits the requests that are sent again to a server that has rejected them.
type resendBudget struct {
	tokens float64
}

func (b *resendBudget) recordAdmission() { b.tokens = min(resendBurst, b.tokens+resendRatio) }

// reject decides on an admitted request that the server has rejected without running it. The request keeps its slot and is sent
// again if it can't be served elsewhere, if its answer is still expected by its deadline, and if the budget and the limits of the
// server's rate allow another arrival.
func (g *Gate) reject(e RejectedEvent, now time.Time) {
	r, ok := g.running[e.ID]
	if !ok || g.draining || r.resends >= maxResends || g.resends.tokens < g.resendReserve(r.queue) {
		return
	}
	if g.coldRate.full(now) || g.serverRate.full(now) || g.wouldMiss(r.queue, e.Deadline, resendPause, now) {
		return
	}
	g.resends.tokens--
	r.resends++
	g.running[e.ID] = r
	g.coldRate.recordAdmission(now)
	g.serverRate.recordAdmission(now)
	g.effects = append(g.effects, ResendEffect{
		ID:    e.ID,
		After: resendPause,
	})
}

// resendReserve returns the tokens that the budget must have for a resend of the queue. Classes that are not the most urgent ones of
// the gate leave all but the last token to those: in an overload the budget covers only part of the rejections.
func (g *Gate) resendReserve(q *classQueue) float64 {
	for _, other := range g.queues {
		if other.priority() > q.priority() {
			return resendBurst
		}
	}
	return 1
}
