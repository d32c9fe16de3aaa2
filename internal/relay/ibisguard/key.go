package ibisguard

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibiskeep"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
)

// checkKey reports whether the backend server owns the order's key now, and returns the refusal if it does not.
func (g *Guard) checkKey(order ibisorder.Order) (ibisorder.Answer, bool) {
	g.mu.Lock()
	sharded := g.rules != nil && g.rules.Sharded
	g.mu.Unlock()
	if !sharded || order.Key == ibisorder.NoKey {
		return ibisorder.Answer{}, true
	}
	standing, owner := g.ownership.Stand(order.Key)
	switch standing {
	case ibiskeep.StandingHeld:
		return ibisorder.Answer{}, true
	case ibiskeep.StandingElsewhere:
		version := g.ownership.PageVersion()
		if order.PageVersion > version {
			g.ownership.Refresh()
			break
		}
		answer := ibisorder.NotRun(ibisorder.ReasonKeyElsewhere, 0, nil)
		answer.Owner = owner
		answer.PageVersion = version
		return answer, false
	case ibiskeep.StandingComing, ibiskeep.StandingNowhere:
	}
	return ibisorder.NotRun(ibisorder.ReasonKeyMoving, movingKeyRetryAfter, nil), false
}

// awaitKey is checkKey with a wait of at most incomingKeyWait, or half of the time left, for a key that is moving to the own
// backend server or to another owner: a refused call wastes the work of its caller, a wait of some hundred milliseconds
// does not.
func (g *Guard) awaitKey(ctx context.Context, order ibisorder.Order) (ibisorder.Answer, bool) {
	refusal, ok := g.checkKey(order)
	if ok || refusal.Reason != ibisorder.ReasonKeyMoving {
		return refusal, ok
	}
	limit := min(incomingKeyWait, order.Deadline.Sub(g.clock.Now())/2)
	if limit <= 0 {
		return refusal, false
	}
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		changed := g.ownership.Changed()
		if refusal, ok = g.checkKey(order); ok || refusal.Reason != ibisorder.ReasonKeyMoving {
			return refusal, ok
		}
		select {
		case <-changed:
		case <-timeout.C:
			return refusal, false
		case <-ctx.Done():
			return ibisorder.NotRun(ibisorder.ReasonCancelled, 0, ctx.Err()), false
		}
	}
}
