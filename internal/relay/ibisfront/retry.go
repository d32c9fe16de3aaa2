package ibisfront

import (
	"context"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
	"github.com/ibisridge/ibisridge/internal/relay/ibispursue"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibischoose"
)

// pursue sends an order until it has an answer that is final.
func (f *Front) pursue(ctx context.Context, p plan, order ibisorder.Order) (ibisorder.Answer, []try) {
	var asked []ibisid.NodeName
	var tries []try
	var last ibisorder.Answer
	pursuit := p.pursuit(order)
	hint := ibisid.NodeName("")
	for step := ibispursue.StepAgain; step == ibispursue.StepAgain; {
		if len(tries) == 0 && order.Key != ibisorder.NoKey {
			order.PageVersion = f.pageVersion(p.service.Name)
		}
		member, refusal, ok := f.choose(p, order, asked, hint)
		if !ok {
			if len(tries) == 0 {
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
		hint = last.Owner
		if hint != "" {
			order.PageVersion = last.PageVersion
		}
		asked = append(asked, member.Node)
		step = f.after(ctx, pursuit, last)
	}
	last.Outcome = pursuit.Final(last.Outcome)
	if last.Outcome == ibisid.OutcomeNotRun {
		last.RetryAfter = f.comeBack(max(last.RetryAfter, ibispursue.DefaultReturn))
	}
	return last, tries
}

// after takes the end of a try in and returns what follows.
func (f *Front) after(ctx context.Context, pursuit *ibispursue.Pursuit, last ibisorder.Answer) ibispursue.Step {
	f.mu.Lock()
	defer f.mu.Unlock()
	return pursuit.After(ibispursue.Try{
		Outcome:    last.Outcome,
		Arrived:    last.Arrived,
		Full:       ibisadmit.Reason(last.Reason).ForLoad(),
		Redirected: last.Owner != "",
		Gone:       ctx.Err() != nil,
	}, f.retries, f.clock.Now())
}

// pageVersion returns the version of a service's page.
func (f *Front) pageVersion(service ibisid.ServiceName) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pages[service].version
}

// comeBack spreads a time to come back.
func (f *Front) comeBack(after time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spread(after)
}

// spread lengthens a time to come back by a random share; f.mu is held.
func (f *Front) spread(after time.Duration) time.Duration { return ibispursue.Return(after, f.random) }

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
		return ibisroster.Member{}, ibisorder.NotRun(reason, f.spread(max(choice.RetryAfter, ibispursue.DefaultReturn)), nil), false
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
		return member, ibisorder.NotRun(ibisorder.ReasonKeyMoving, f.spread(ibispursue.DefaultReturn), nil), false
	case len(p.route.Homes) > 0 && !slices.Contains(p.route.Homes, member.Place.Region):
		return member, ibisorder.NotRun(ibisorder.ReasonNoServer, f.spread(time.Second), nil), false
	}
	return member, ibisorder.Answer{}, true
}
