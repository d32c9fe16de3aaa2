package ibisrequestrouter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

// redirectRetryAfter is the Retry-After of refusals that end once the owner or another node is found.
const redirectRetryAfter = 200 * time.Millisecond

// runAsOwner runs a request as the owner of its slot; if this node does not own the slot, it refuses the request without
// running it.
func (rt *Router) runAsOwner(ctx context.Context, q *request) result {
	permit, err := rt.acquirePermit(ctx, q)
	if err != nil {
		return refused(notOwner(err))
	}
	if q.match.Route.NonIdempotent {
		return rt.runOnce(ctx, q, permit)
	}
	return releaseOnClose(rt.runAtGate(ctx, q, permit, permit.Check), permit)
}

// acquirePermit acquires the permit for the request's key; it waits at most until the request's deadline.
func (rt *Router) acquirePermit(ctx context.Context, q *request) (Permit, error) {
	return rt.ownership.AcquirePermit(deadlineContext{
		Context:  ctx,
		deadline: q.deadline,
	}, q.slot, q.ownedKey())
}

// deadlineContext carries a deadline on the router's clock but is never done because of it: there is no timer, so code that
// waits must limit the wait itself.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the deadline.
func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

// releaseOnClose releases the permit when the answer is closed, or at once if there is no answer.
func releaseOnClose(r result, permit Permit) result {
	if r.answer == nil {
		permit.Release()
		return r
	}
	r.answer.OnClose(permit.Release)
	return r
}

// runAsServer sends a request to this node's own backend server. It refuses requests to services divided by key, which only
// the key's owner may run.
func (rt *Router) runAsServer(ctx context.Context, q *request) result {
	if q.keyed() {
		return refused(refuse(http.StatusBadRequest, "badForward", "the service is divided by key; the request belongs to the key's owner"))
	}
	return rt.runAtGate(ctx, q, nil, nil)
}

// runAtGate sends the request to this node's own backend server; check is called immediately before the first byte is sent,
// and its error cancels the attempt.
func (rt *Router) runAtGate(ctx context.Context, q *request, permit Permit, check func() error) result {
	if own := rt.ownership.Self().Service; own != q.match.Route.Service {
		return refused(busy("wrongService", fmt.Sprintf("the node's backend server belongs to service %q", own), redirectRetryAfter))
	}
	start := rt.timer.Now()
	info := ibisgate.RequestInfo{
		Tenant:      q.account.Tenant,
		Class:       q.match.Route.Class,
		Deadline:    q.deadline,
		KeepRunning: q.match.Route.NonIdempotent,
	}
	request := q.outgoing()
	request.Deadline = q.deadline
	request.Key = string(q.match.Key)
	request.Check = check
	if permit != nil && q.keyed() {
		grant := permit.Grant()
		request.Grant = &grant
	}
	sent := rt.gate.Send(ctx, info, request)
	if sent.Answer == nil {
		return refused(sendRefusal(sent))
	}
	if sent.Answer.NotRun() {
		_ = sent.Answer.Body().Close()
		return refused(busy("serverShed", "the backend server refused the request before it ran", redirectRetryAfter))
	}
	removeReservedHeaders(sent.Answer.Header())
	return result{
		outcome: outcomeOfStatus(sent.Answer.Status()),
		answer:  sent.Answer,
		latency: rt.timer.Now().Sub(start),
	}
}

// sendRefusal returns the refusal for an attempt that ended without an answer.
func sendRefusal(sent ibisbackend.Result) *ibiscaller.Refusal {
	var gateRefusal *ibisgate.RefusedError
	if errors.As(sent.Err, &gateRefusal) {
		return busy(string(gateRefusal.Reason), gateRefusal.Error(), cmp.Or(gateRefusal.RetryAfter, redirectRetryAfter))
	}
	var notOwned *ibisowner.NotOwnerError
	if errors.As(sent.Err, &notOwned) {
		return notOwner(notOwned)
	}
	if errors.Is(sent.Err, ibismember.ErrPeerConnectionsExhausted) {
		return busy("peersBusy", sent.Err.Error(), redirectRetryAfter)
	}
	refusal := &ibiscaller.Refusal{
		Status:  http.StatusBadGateway,
		Outcome: sent.Outcome,
		Code:    "noAnswer",
		Detail:  "the request was handed over and no answer came; it may have run",
	}
	if sent.NotRun() {
		refusal.Status = http.StatusServiceUnavailable
		refusal.Code = "unreachable"
		refusal.Detail = "the request could not be handed over"
		refusal.RetryAfter = time.Second
	}
	return refusal
}
