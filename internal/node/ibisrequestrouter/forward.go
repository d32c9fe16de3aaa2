package ibisrequestrouter

import (
	"context"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

// answerGrace is the time after the deadline for which the final answer of another node is still awaited.
const answerGrace = 250 * time.Millisecond

// attempt makes one attempt at a request. If the owner refuses and names another owner, the request goes there in the same
// attempt.
func (rt *Router) attempt(ctx context.Context, q *request, tried *triedNodes) result {
	if !q.needsOwner() {
		return rt.runAtChosen(ctx, q, tried, nil)
	}
	owner, ok := rt.ownership.Owner(q.slot, q.ownedKey())
	if !ok {
		return refused(busy("noOwner", "no node owns the key at the moment", redirectRetryAfter))
	}
	r := rt.sendToOwner(ctx, q, owner)
	if r.refusal == nil || r.refusal.Owner.IsZero() || !q.body.resendable() {
		return r
	}
	rt.ownership.RecordOwnerHint(q.slot, q.ownedKey(), r.refusal.Owner)
	if next, ok := rt.ownership.Owner(q.slot, q.ownedKey()); ok && next.Member != owner.Member {
		return rt.sendToOwner(ctx, q, next)
	}
	return r
}

func (rt *Router) sendToOwner(ctx context.Context, q *request, owner ibisowner.Peer) result {
	if owner.Member == rt.ownership.Self().Member {
		return rt.runAsOwner(ctx, q)
	}
	return rt.forward(ctx, q, owner, roleOwner, nil)
}

// forward sends the request to another node, which has the role next; check is called immediately before the first byte is
// sent, and its error cancels the attempt.
func (rt *Router) forward(ctx context.Context, q *request, to ibisowner.Peer, next role, check func() error) result {
	start := rt.timer.Now()
	remaining := q.deadline.Sub(start)
	if remaining <= 0 {
		return refused(busy("deadline", "the deadline passed before the request was handed on", 0))
	}
	request := q.outgoing()
	request.Check = check
	request.NodeHeader = http.Header{
		headerRole:                []string{string(next)},
		ibiscaller.HeaderDeadline: []string{remaining.String()},
	}
	rt.reportTypical(q, request.NodeHeader)
	request.Deadline = q.deadline.Add(answerGrace)
	sent := rt.peers.Send(ctx, to.Address, request)
	if sent.Answer == nil {
		return refused(sendRefusal(sent))
	}
	rt.learnTypical(q, sent.Answer.Typical())
	r := resultFromPeer(sent.Answer)
	r.latency = rt.timer.Now().Sub(start)
	if answer := r.answer; answer != nil && to.Place.Region != rt.chooserConfig.Own.Region {
		answer.OnClose(func() {
			rt.requestMetrics.countCrossRegion(to.Place.Region, max(q.body.length, 0)+answer.BytesRead())
		})
	}
	return r
}
