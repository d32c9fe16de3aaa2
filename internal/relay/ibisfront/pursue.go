package ibisfront

import (
	"context"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibischoose"
)

// pursue sends an order until it has an answer that is final.
func (f *Front) pursue(ctx context.Context, p plan, order ibisorder.Order) (ibisorder.Answer, []try) {
	var asked []ibisid.NodeName
	var tries []try
	var last ibisorder.Answer
	arrivals := 0
	mayHaveRun := false
	hint := ibisid.NodeName("")
	for n := range maxTries {
		if n == 0 && order.Key != ibisorder.NoKey {
			order.PageVersion = f.pageVersion(p.service.Name)
		}
		member, refusal, ok := f.choose(p, order, asked, hint)
		if !ok {
			if n == 0 {
				return refusal, nil
			}
			break
		}
		began := f.clock.Now()
		last = f.attempt(ctx, p, member, order)
		tries = append(tries, try{
			node:    member.Node,
			reason:  last.Reason,
			outcome: last.Outcome,
			took:    f.clock.Now().Sub(began),
		})
		if last.Arrived {
			arrivals++
		}
		if last.Outcome == ibisid.OutcomeDone {
			return last, tries
		}
		mayHaveRun = mayHaveRun || last.Outcome == ibisid.OutcomeUnknown
		hint = last.Owner
		if hint != "" {
			order.PageVersion = last.PageVersion
		}
		asked = append(asked, member.Node)
		if order.Key != ibisorder.NoKey && hint == "" {
			break
		}
		if !f.mayTryAgain(ctx, p, order, last, arrivals) {
			break
		}
	}
	if last.Outcome == ibisid.OutcomeNotRun && mayHaveRun {
		// The last try was refused, an earlier one may have run: "not run" would not be true of the request.
		last.Outcome = ibisid.OutcomeUnknown
	}
	if last.Outcome == ibisid.OutcomeNotRun {
		f.mu.Lock()
		last.RetryAfter = f.spread(max(last.RetryAfter, defaultRetry))
		f.mu.Unlock()
	}
	return last, tries
}

// pageVersion returns the version of a service's page.
func (f *Front) pageVersion(service ibisid.ServiceName) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pages[service].version
}

// mayTryAgain reports whether a request may be sent again elsewhere.
func (f *Front) mayTryAgain(ctx context.Context, p plan, order ibisorder.Order, last ibisorder.Answer, arrivals int) bool {
	switch {
	case ctx.Err() != nil || !order.Resendable():
		return false
	case p.deadline.Sub(f.clock.Now()) < retryFloor:
		return false
	case last.Outcome == ibisid.OutcomeNotRun && !last.Arrived:
		// Where gates are full elsewhere will be too: the caller hears so while that is no loss yet.
		return !forLoad(last.Reason) || f.clock.Now().Sub(p.arrived) < p.route.Target/refusalShare
	case last.Outcome == ibisid.OutcomeUnknown && !order.Repeatable:
		return false
	case arrivals >= p.route.MaxAttempts:
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.spend()
}

// forLoad reports whether a gate refused because of the load on it.
func forLoad(r ibisorder.Reason) bool {
	switch r {
	case ibisorder.Reason(ibisadmit.ReasonTarget), ibisorder.Reason(ibisadmit.ReasonQueueFull), ibisorder.Reason(ibisadmit.ReasonDeadline):
		return true
	}
	return false
}

// spread lengthens a time to come back by a random share; f.mu is held.
func (f *Front) spread(d time.Duration) time.Duration {
	return d + time.Duration(f.random.Float64()*retrySpread*float64(d))
}

// choose picks the node for an order's next try.
func (f *Front) choose(p plan, order ibisorder.Order, asked []ibisid.NodeName, hint ibisid.NodeName) (ibisroster.Member, ibisorder.Answer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.service.Sharded && order.Key != ibisorder.NoKey {
		return f.ownerOf(p, order, asked, hint)
	}
	choice := f.choosers[p.service.Name].Choose(ibischoose.Request{
		Class:   order.Class,
		Homes:   p.route.Homes,
		Exclude: asked,
	}, f.clock.Now())
	if choice.Refusal != ibischoose.RefusalNone {
		reason := ibisorder.ReasonBusy
		if choice.Refusal == ibischoose.RefusalHome {
			reason = ibisorder.ReasonNoServer
		}
		return ibisroster.Member{}, ibisorder.NotRun(reason, f.spread(max(choice.RetryAfter, defaultRetry)), nil), false
	}
	member, _ := f.roster.Member(choice.Node)
	return member, ibisorder.Answer{}, true
}

// ownerOf returns the member whose backend server owns the key.
func (f *Front) ownerOf(p plan, order ibisorder.Order, asked []ibisid.NodeName, hint ibisid.NodeName) (ibisroster.Member, ibisorder.Answer, bool) {
	node := hint
	if node == "" {
		r, ok := f.pages[p.service.Name].page.Find(order.Key)
		if !ok {
			return ibisroster.Member{}, ibisorder.NotRun(ibisorder.ReasonNoServer, f.spread(time.Second), nil), false
		}
		node = r.Owner.Node
	}
	member, ok := f.roster.Member(node)
	switch {
	case !ok || f.down.Has(node):
		return member, ibisorder.NotRun(ibisorder.ReasonUnreachable, f.spread(time.Second), nil), false
	case f.out.Has(member.Place.Domain), slices.Contains(asked, node):
		return member, ibisorder.NotRun(ibisorder.ReasonKeyMoving, f.spread(defaultRetry), nil), false
	case len(p.route.Homes) > 0 && !slices.Contains(p.route.Homes, member.Place.Region):
		return member, ibisorder.NotRun(ibisorder.ReasonNoServer, f.spread(time.Second), nil), false
	}
	return member, ibisorder.Answer{}, true
}
