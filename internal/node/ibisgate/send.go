package ibisgate

import (
	"context"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// RequestInfo holds the properties of a request on which the gate decides.
type RequestInfo struct {
	// Tenant is the tenant of the request.
	Tenant ibisid.TenantName
	// Class is the class of the request.
	Class ibisid.ClassName
	// Deadline is the time after which the caller no longer uses the answer.
	Deadline time.Time
	// KeepRunning lets a request that was sent to the backend server run on after its caller disconnects.
	KeepRunning bool
}

// Send waits until the gate admits the request and sends it to the backend server. If the gate refuses it, the result has
// the outcome notRun and a RefusedError.
func (g *Gate) Send(ctx context.Context, info RequestInfo, request ibisbackend.Request) ibisbackend.Result {
	arrived := g.timer.Now()
	id, client, refusal := g.admit(ctx, info)
	if refusal != nil {
		return ibisbackend.Result{
			Outcome: ibisid.OutcomeNotRun,
			Err:     refusal,
		}
	}
	if info.KeepRunning {
		ctx = context.WithoutCancel(ctx)
	}
	start := g.timer.Now()
	g.histograms.observeWait(info.Class, start.Sub(arrived))
	result := client.Send(ctx, g.withWallClock(request))
	latency := g.timer.Now().Sub(start)
	g.histograms.observeService(info.Class, latency)
	return g.trackAnswer(id, result, latency)
}

// withWallClock returns the request with its deadline and grant expiry converted from the gate's clock to the wall clock of
// the instance, which the backend server reads.
func (g *Gate) withWallClock(request ibisbackend.Request) ibisbackend.Request {
	if !request.Deadline.IsZero() {
		request.Deadline = ibistimer.WallTime(g.timer, request.Deadline)
	}
	if request.Grant != nil {
		grant := *request.Grant
		grant.Until = ibistimer.WallTime(g.timer, grant.Until)
		request.Grant = &grant
	}
	return request
}

// admit waits for the core's decision on a request, or until the context ends.
func (g *Gate) admit(ctx context.Context, info RequestInfo) (ibisadmit.RequestID, *ibisbackend.Client, *RefusedError) {
	g.mu.Lock()
	if !g.serverAlive() {
		g.mu.Unlock()
		return 0, nil, &RefusedError{
			Reason:     ReasonNoServer,
			RetryAfter: noServerRetryAfter,
		}
	}
	g.nextID++
	id := g.nextID
	decided := make(chan decision, 1)
	g.waiting[id] = decided
	client := g.client
	g.apply(ibisadmit.ArriveEvent{
		ID:       id,
		Tenant:   info.Tenant,
		Class:    info.Class,
		Deadline: info.Deadline,
	})
	g.mu.Unlock()
	select {
	case d := <-decided:
		return id, client, d.refusal
	case <-ctx.Done():
		return id, client, g.cancel(id, decided)
	}
}

// cancel withdraws a waiting request. If the core has admitted it at the same time, its slot is released unused.
func (g *Gate) cancel(id ibisadmit.RequestID, decided <-chan decision) *RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	select {
	case d := <-decided:
		if d.refusal != nil {
			return d.refusal
		}
		g.apply(ibisadmit.FinishEvent{
			ID: id,
		})
	default:
		g.apply(ibisadmit.CancelEvent{
			ID: id,
		})
	}
	return &RefusedError{
		Reason: ReasonCallerGone,
	}
}

// applyRateLimit applies the rate limit that the backend server names in an answer; a malformed one changes nothing.
func (g *Gate) applyRateLimit(answer *ibisbackend.Answer) {
	limit, err := answer.RateLimit()
	if err != nil {
		return
	}
	perSecond, limited := limit.Get()
	g.update(ibisadmit.RateLimitEvent{
		Limited:   limited,
		PerSecond: perSecond,
	})
}

// trackAnswer reports the progress of a sent request to the core, up to the close of its answer.
func (g *Gate) trackAnswer(id ibisadmit.RequestID, result ibisbackend.Result, latency time.Duration) ibisbackend.Result {
	if result.Answer == nil {
		g.update(ibisadmit.FinishEvent{
			ID:               id,
			Failed:           result.Outcome == ibisid.OutcomeUnknown,
			ConnectionClosed: true,
		})
		return result
	}
	g.update(ibisadmit.HeadReceivedEvent{
		ID: id,
	})
	g.applyRateLimit(result.Answer)
	failed := result.Answer.Status() >= http.StatusInternalServerError
	result.Answer.OnClose(func() {
		g.update(ibisadmit.FinishEvent{
			ID:      id,
			Latency: latency,
			Failed:  failed,
		})
	})
	return result
}
