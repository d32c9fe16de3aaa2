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
func (f *Dispatcher) sendWithRetries(ctx context.Context, p plan, order ibismessage.Order) (ibismessage.Answer, []nodeTry) {
	var tried []ibisid.NodeName
	var tries []nodeTry
	var last ibismessage.Answer
	retrier := p.newRetrier(order)
	ownerHint := ibisid.NodeName("")
	for step := ibisretrypolicy.StepRetry; step == ibisretrypolicy.StepRetry; {
		if len(tries) == 0 && order.Key != ibismessage.NoKey {
			order.PageVersion = f.pageVersion(p.service.Name)
		}
		member, refusal, ok := f.choose(p, order, tried, ownerHint)
		if !ok {
			if len(tries) == 0 {
				return refusal, nil
			}
			break
		}
		began := f.clock.Now()
		last = f.attempt(ctx, p, member, order)
		tries = append(tries, nodeTry{
			node:    member.Node,
			reason:  last.Reason,
			outcome: last.Outcome,
			took:    f.clock.Now().Sub(began),
		})
		ownerHint = last.Owner
		if ownerHint != "" {
			order.PageVersion = last.PageVersion
		}
		tried = append(tried, member.Node)
		step = f.nextStep(ctx, retrier, last)
	}
	last.Outcome = retrier.FinalOutcome(last.Outcome)
	if last.Outcome == ibisid.OutcomeNotRun {
		last.RetryAfter = f.retryAfter(max(last.RetryAfter, ibisretrypolicy.DefaultRetryAfter))
	}
	return last, tries
}

// nextStep reports the result of a try to the retrier and returns the next step.
func (f *Dispatcher) nextStep(ctx context.Context, retrier *ibisretrypolicy.Retrier, last ibismessage.Answer) ibisretrypolicy.Step {
	f.mu.Lock()
	defer f.mu.Unlock()
	return retrier.Next(ibisretrypolicy.Try{
		Outcome:    last.Outcome,
		Arrived:    last.Arrived,
		GateFull:   ibisadmit.Reason(last.Reason).IsOverload(),
		Redirected: last.Owner != "",
		CallerGone: ctx.Err() != nil,
	}, f.retryBudget, f.clock.Now())
}

// pageVersion returns the version of the ownership page of a service.
func (f *Dispatcher) pageVersion(service ibisid.ServiceName) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pages[service].version
}

// retryAfter returns a retry-after time with jitter; it takes f.mu.
func (f *Dispatcher) retryAfter(after time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jitter(after)
}

// jitter lengthens a retry-after time by a random share; f.mu is held.
func (f *Dispatcher) jitter(after time.Duration) time.Duration {
	return ibisretrypolicy.AddJitter(after, f.random)
}

// choose selects the node for an order's next try, or returns a refusal.
func (f *Dispatcher) choose(p plan, order ibismessage.Order, tried []ibisid.NodeName, ownerHint ibisid.NodeName) (ibisroster.Member, ibismessage.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.service.Sharded && order.Key != ibismessage.NoKey {
		return f.chooseOwner(p, order, tried, ownerHint)
	}
	choice := f.choosers[p.service.Name].Choose(ibisbalancer.Request{
		Class:   order.Class,
		Homes:   p.route.Homes,
		Exclude: tried,
	}, f.clock.Now())
	if choice.Refusal != ibisbalancer.RefusalNone {
		reason := ibismessage.ReasonBusy
		if choice.Refusal == ibisbalancer.RefusalHome {
			reason = ibismessage.ReasonNoServer
		}
		return ibisroster.Member{}, ibismessage.NotRun(reason, f.jitter(max(choice.RetryAfter, ibisretrypolicy.DefaultRetryAfter)), nil), false
	}
	member, _ := f.roster.Member(choice.Node)
	return member, ibismessage.Answer{}, true
}

// chooseOwner returns the member whose backend server owns the key, or a refusal if it cannot serve the order now.
func (f *Dispatcher) chooseOwner(p plan, order ibismessage.Order, tried []ibisid.NodeName, ownerHint ibisid.NodeName) (ibisroster.Member, ibismessage.Answer, bool) {
	node := ownerHint
	if node == "" {
		r, ok := f.pages[p.service.Name].page.Find(order.Key)
		if !ok {
			return ibisroster.Member{}, ibismessage.NotRun(ibismessage.ReasonNoServer, f.jitter(time.Second), nil), false
		}
		node = r.Owner.Node
	}
	member, ok := f.roster.Member(node)
	switch {
	case !ok || f.unreachable.Has(node):
		return member, ibismessage.NotRun(ibismessage.ReasonUnreachable, f.jitter(time.Second), nil), false
	case f.outDomains.Has(member.Place.Domain), slices.Contains(tried, node):
		return member, ibismessage.NotRun(ibismessage.ReasonKeyMoving, f.jitter(ibisretrypolicy.DefaultRetryAfter), nil), false
	case len(p.route.Homes) > 0 && !slices.Contains(p.route.Homes, member.Place.Region):
		return member, ibismessage.NotRun(ibismessage.ReasonNoServer, f.jitter(time.Second), nil), false
	}
	return member, ibismessage.Answer{}, true
}
