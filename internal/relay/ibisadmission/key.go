package ibisadmission

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
)

// checkKey reports whether the backend server owns the order's key now, and returns the refusal if it does not.
func (g *Guard) checkKey(order ibismessage.Order) (ibismessage.Answer, bool) {
	g.mu.Lock()
	sharded := g.rules != nil && g.rules.Sharded
	g.mu.Unlock()
	if !sharded || order.Key == ibismessage.NoKey {
		return ibismessage.Answer{}, true
	}
	keyState, owner := g.ownership.StateOfKey(order.Key)
	switch keyState {
	case ibisrange.KeyStateHeld:
		return ibismessage.Answer{}, true
	case ibisrange.KeyStateElsewhere:
		version := g.ownership.PageVersion()
		if order.PageVersion > version {
			// The sender has a newer page, in which the key may have moved here: the order is refused as moving, so that awaitKey
			// waits for this page.
			g.ownership.Refresh()
			break
		}
		answer := ibismessage.NotRun(ibismessage.ReasonKeyElsewhere, 0, nil)
		answer.Owner = owner
		answer.PageVersion = version
		return answer, false
	case ibisrange.KeyStatePending, ibisrange.KeyStateUnavailable:
	}
	return ibismessage.NotRun(ibismessage.ReasonKeyMoving, movingKeyRetryAfter, nil), false
}

// awaitKey is checkKey with a wait of at most incomingKeyWait, or half of the time left, for a key that is moving to the own
// backend server or to another owner: a refused call wastes the work of its caller, a wait of some hundred milliseconds
// does not.
func (g *Guard) awaitKey(ctx context.Context, order ibismessage.Order) (ibismessage.Answer, bool) {
	refusal, ok := g.checkKey(order)
	if ok || refusal.Reason != ibismessage.ReasonKeyMoving {
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
		if refusal, ok = g.checkKey(order); ok || refusal.Reason != ibismessage.ReasonKeyMoving {
			return refusal, ok
		}
		select {
		case <-changed:
		case <-timeout.C:
			return refusal, false
		case <-ctx.Done():
			return ibismessage.NotRun(ibismessage.ReasonCancelled, 0, ctx.Err()), false
		}
	}
}
