package ibisdispatch

import (
	"context"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
)

// sendWithRetries sends an order to one node after another until it has a final answer.
func (d *Dispatcher) sendWithRetries(ctx context.Context, p plan, order ibismessage.Order) (ibismessage.Answer, []nodeTry) {
	var tried []ibisid.NodeName
	var tries []nodeTry
	var last ibismessage.Answer
	retrier := p.newRetrier(order)
	ownerHint := ibisid.NodeName("")
	for step := ibisretrypolicy.StepRetry; step == ibisretrypolicy.StepRetry; {
		if refusal, ok := d.checkQuarantine(order); !ok {
			if len(tries) == 0 {
				return refusal, nil
			}
			break
		}
		if refusal, ok := d.checkAccount(ctx, &p, &order); !ok {
			if len(tries) == 0 || retrier.FinalOutcome(ibisid.OutcomeNotRun) == ibisid.OutcomeNotRun {
				return refusal, tries
			}
			break
		}
		if len(tries) == 0 && order.Key != ibismessage.NoKey {
			order.PageVersion = d.pageVersion(p.service.Name)
		}
		member, refusal, ok := d.choose(p, order, tried, ownerHint)
		if !ok {
			if len(tries) == 0 {
				return refusal, nil
			}
			break
		}
		began := d.clock.Now()
		if order.Deadline, ok = d.attemptDeadline(p, len(tries) > 0, began); !ok {
			break
		}
		last = d.attempt(ctx, p, member, order)
		tries = append(tries, nodeTry{
			node:    member.Node,
			reason:  last.Reason,
			outcome: last.Outcome,
			took:    d.clock.Now().Sub(began),
		})
		ownerHint = last.Owner
		if ownerHint != "" {
			order.PageVersion = last.PageVersion
		}
		tried = append(tried, member.Node)
		step = d.nextStep(ctx, retrier, last, d.recordRun(order, last))
	}
	last.Outcome = retrier.FinalOutcome(last.Outcome)
	if last.Outcome == ibisid.OutcomeNotRun {
		last.RetryAfter = d.retryAfter(max(last.RetryAfter, ibisretrypolicy.DefaultRetryAfter))
	}
	return last, tries
}

// nextStep reports the result of a try to the retrier and returns the next step. A suspect order is not retried.
func (d *Dispatcher) nextStep(ctx context.Context, retrier *ibisretrypolicy.Retrier, last ibismessage.Answer, suspect bool) ibisretrypolicy.Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	return retrier.Next(ibisretrypolicy.Try{
		Outcome:    last.Outcome,
		Arrived:    last.Arrived,
		GateFull:   ibisadmit.Reason(last.Reason).IsOverload(),
		Redirected: last.Owner != "",
		CallerGone: ctx.Err() != nil,
		Suspect:    suspect,
	}, d.retryBudget, d.clock.Now())
}

// pageVersion returns the version of the ownership page of a service.
func (d *Dispatcher) pageVersion(service ibisid.ServiceName) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pages[service].version
}

// retryAfter returns a retry-after time with jitter; it takes d.mu.
func (d *Dispatcher) retryAfter(after time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jitter(after)
}

// jitter lengthens a retry-after time by a random share; d.mu is held.
func (d *Dispatcher) jitter(after time.Duration) time.Duration {
	return ibisretrypolicy.AddJitter(after, d.random)
}

// choose selects the node for an order's next try, or returns a refusal.
func (d *Dispatcher) choose(p plan, order ibismessage.Order, tried []ibisid.NodeName, ownerHint ibisid.NodeName) (ibisroster.Member, ibismessage.Answer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.service.Sharded && order.Key != ibismessage.NoKey {
		return d.chooseOwner(p, order, tried, ownerHint)
	}
	choice := d.chooser(p.service.Name).Choose(ibisbalancer.Request{
		Class:   order.Class,
		Homes:   p.homes,
		Exclude: tried,
	}, d.clock.Now())
	if choice.Refusal != ibisbalancer.RefusalNone {
		reason := ibismessage.ReasonBusy
		if choice.Refusal == ibisbalancer.RefusalHome {
			reason = ibismessage.ReasonNoServer
		}
		return ibisroster.Member{}, ibismessage.NotRun(reason, d.jitter(max(choice.RetryAfter, ibisretrypolicy.DefaultRetryAfter)), nil), false
	}
	member, ok := d.roster.Member(choice.Node)
	if !ok {
		return member, ibismessage.NotRun(ibismessage.ReasonNoServer, d.jitter(ibisretrypolicy.DefaultRetryAfter), nil), false
	}
	return member, ibismessage.Answer{}, true
}

// chooseOwner returns the member whose backend server owns the key, or a refusal if it cannot serve the order now.
func (d *Dispatcher) chooseOwner(p plan, order ibismessage.Order, tried []ibisid.NodeName, ownerHint ibisid.NodeName) (ibisroster.Member, ibismessage.Answer, bool) {
	node := ownerHint
	if node == "" {
		r, ok := d.pages[p.service.Name].page.Find(order.Key)
		if !ok {
			return ibisroster.Member{}, ibismessage.NotRun(ibismessage.ReasonNoServer, d.jitter(time.Second), nil), false
		}
		node = r.Owner.Node
	}
	member, ok := d.roster.Member(node)
	switch {
	case !ok || d.unreachable.Has(node):
		return member, ibismessage.NotRun(ibismessage.ReasonUnreachable, d.jitter(time.Second), nil), false
	case d.outDomains.Has(member.Place.Domain), d.isLeaving(member), slices.Contains(tried, node):
		return member, ibismessage.NotRun(ibismessage.ReasonKeyMoving, d.jitter(ibisretrypolicy.DefaultRetryAfter), nil), false
	case len(p.homes) > 0 && !slices.Contains(p.homes, member.Place.Region):
		return member, ibismessage.NotRun(ibismessage.ReasonNoServer, d.jitter(time.Second), nil), false
	}
	return member, ibismessage.Answer{}, true
}
