package ibisadmission

import (
	"context"
	"errors"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

var errKeyRemoved = errors.New("the key was removed while the request waited")

// decision is the gate's decision on one request.
type decision struct {
	admitted   bool
	reason     ibisadmit.Reason
	retryAfter time.Duration
}

// admit waits until the gate admits the order to a slot or refuses it, or the caller leaves.
func (g *Guard) admit(ctx context.Context, order ibismessage.Order) (ibisadmit.RequestID, ibisroster.ServerIncarnation, ibismessage.Answer, bool) {
	id, incarnation, answer, refusal := g.arrive(order)
	if answer == nil {
		return 0, ibisroster.ServerIncarnation{}, refusal, false
	}
	select {
	case d := <-answer:
		return id, incarnation, refusalAnswer(d), d.admitted
	case <-ctx.Done():
		return 0, incarnation, g.cancel(id, answer, ctx.Err()), false
	}
}

// arrive passes an order to the gate and returns the channel of its decision, or a refusal without one.
func (g *Guard) arrive(order ibismessage.Order) (ibisadmit.RequestID, ibisroster.ServerIncarnation, chan decision, ibismessage.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal, ok := g.precheck(order); !ok {
		g.stats.Refused++
		return 0, ibisroster.ServerIncarnation{}, nil, refusal
	}
	now := g.clock.Now()
	order.Deadline = g.boundDeadline(order.Deadline)
	linkWait, refusal, ok := g.checkLink(order, now)
	if !ok {
		g.stats.Refused++
		return 0, ibisroster.ServerIncarnation{}, nil, refusal
	}
	g.nextID++
	id := g.nextID
	answer := make(chan decision, 1)
	g.waiting[id] = answer
	incarnation := g.server.Incarnation
	g.apply(ibisadmit.ArriveEvent{
		ID:           id,
		Tenant:       order.Tenant,
		HasPriority:  order.Tenant != "",
		Priority:     ClassPolicy(order.Priority).Priority,
		Class:        order.Class,
		Call:         order.Call,
		CallPriority: ClassPolicy(order.Priority).Priority,
		Target:       subtractWait(order.Target, linkWait),
		Deadline:     subtractWait(order.Deadline, linkWait),
	}, now)
	for class := range g.callBounds {
		g.logCallBound(class)
	}
	g.logKeptFree(now)
	g.scheduleTick()
	return id, incarnation, answer, ibismessage.Answer{}
}

// checkAccount refuses an order whose account's key has been removed by a newer configuration than the one that it was accepted by,
// since the order may have waited for long.
func (g *Guard) checkAccount(order ibismessage.Order) (ibismessage.Answer, bool) {
	if order.KeyDigest == 0 {
		return ibismessage.Answer{}, true
	}
	g.mu.Lock()
	config := g.rules.Config
	g.mu.Unlock()
	if config == nil || uint64(config.Version()) <= order.ConfigVersion || config.HasKey(order.Tenant, ibisroute.KeyDigest(order.KeyDigest)) {
		return ibismessage.Answer{}, true
	}
	return ibismessage.NotRun(ibismessage.ReasonUnauthorized, 0, errKeyRemoved), false
}

// subtractWait returns a time that is earlier by the wait; a zero time stays zero.
func subtractWait(t time.Time, wait time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-wait)
}

// cancel withdraws an order whose caller left while it waited; it frees the slot if the gate has just admitted the order.
func (g *Guard) cancel(id ibisadmit.RequestID, answer chan decision, err error) ibismessage.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		g.apply(ibisadmit.CancelEvent{
			ID: id,
		}, g.clock.Now())
	} else if d := <-answer; d.admitted {
		g.apply(ibisadmit.FinishEvent{
			ID: id,
		}, g.clock.Now())
	}
	return ibismessage.NotRun(ibismessage.ReasonCancelled, 0, err)
}

// precheck refuses orders that the gate need not decide on: there is no configuration, the order is for another service, the
// node stops, or its failure domain is out of service; g.mu is held.
func (g *Guard) precheck(order ibismessage.Order) (ibismessage.Answer, bool) {
	switch {
	case g.rules == nil:
		return ibismessage.NotRun(ibismessage.ReasonNoConfig, 0, nil), false
	case g.gate == nil || g.server.Service != order.Service:
		return ibismessage.NotRun(ibismessage.ReasonOtherServer, 0, nil), false
	case g.stopping:
		return ibismessage.NotRun(ibismessage.ReasonStopping, 0, nil), false
	case g.rules.DomainOut:
		return ibismessage.NotRun(ibismessage.Reason(ibisadmit.ReasonDomainOut), 0, nil), false
	}
	return ibismessage.Answer{}, true
}

func refusalAnswer(d decision) ibismessage.Answer {
	if d.admitted {
		return ibismessage.Answer{}
	}
	return ibismessage.NotRun(ibismessage.Reason(d.reason), d.retryAfter, nil)
}

// recordHeaders reports to the gate that the headers of the answer have arrived.
func (g *Guard) recordHeaders(id ibisadmit.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(ibisadmit.HeadReceivedEvent{
		ID: id,
	}, g.clock.Now())
}

func (g *Guard) finish(e ibisadmit.FinishEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(e, g.clock.Now())
}

// apply passes an event to the gate and applies the effects; g.mu is held. It returns the time after which the gate asks to send
// the request of a RejectedEvent again, if it does.
func (g *Guard) apply(event ibisadmit.Event, now time.Time) ibisset.Option[time.Duration] {
	resend := ibisset.None[time.Duration]()
	for _, effect := range g.gate.Update(event, now) {
		switch e := effect.(type) {
		case ibisadmit.AdmitEffect:
			g.stats.Admitted++
			g.deliver(e.ID, decision{
				admitted: true,
			})
		case ibisadmit.RefuseEffect:
			g.stats.Refused++
			if e.Reason == ibisadmit.ReasonCalls {
				g.stats.RefusedForCalls++
			}
			g.deliver(e.ID, decision{
				reason:     e.Reason,
				retryAfter: e.RetryAfter,
			})
		case ibisadmit.ResendEffect:
			g.stats.Resent++
			resend = ibisset.Some(e.After)
		case ibisadmit.DrainedEffect:
		}
	}
	return resend
}

func (g *Guard) deliver(id ibisadmit.RequestID, d decision) {
	if answer, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		answer <- d
	}
}

// scheduleTick schedules a TickEvent for the gate after TickPeriod, and again as long as requests wait; g.mu is held.
func (g *Guard) scheduleTick() {
	if g.tickScheduled || len(g.waiting) == 0 {
		return
	}
	g.tickScheduled = true
	g.clock.After(ibisadmit.TickPeriod, func(now time.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tickScheduled = false
		if g.gate != nil {
			g.apply(ibisadmit.TickEvent{}, now)
		}
		g.scheduleTick()
	})
}
