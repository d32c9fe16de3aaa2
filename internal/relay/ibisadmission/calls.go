package ibisadmission

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

// BeginCall records a request for another service that arrived from the own instance. If runs in progress are known to make such
// calls, it reports true and returns what the call takes over from them.
func (g *Guard) BeginCall(class ibisid.ClassName) (ibiscalls.CallID, ibiscalls.Inheritance, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextCall++
	g.updateCalls(ibiscalls.CallBeginEvent{
		ID:    g.nextCall,
		Class: class,
	}, g.clock.Now())
	inherited, ok := g.calls.Inherit(class)
	if ok {
		g.stats.Calls++
	}
	return g.nextCall, inherited, ok
}

// EndCall records the end of a request that BeginCall recorded.
func (g *Guard) EndCall(id ibiscalls.CallID, failed, cancelled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCalls(ibiscalls.CallEndEvent{
		ID:        id,
		Failed:    failed,
		Cancelled: cancelled,
	}, g.clock.Now())
}

// beginRun records an order that is being sent to the backend server.
func (g *Guard) beginRun(id ibisadmit.RequestID, order ibismessage.Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCalls(ibiscalls.RunBeginEvent{
		ID:       ibiscalls.RunID(id),
		Class:    order.Class,
		Rank:     order.Priority,
		Target:   order.Target,
		Deadline: order.Deadline,
	}, g.clock.Now())
}

// endRun records the end of such an order, and reports whether it failed because of its calls; g.mu is held.
func (g *Guard) endRun(id ibisadmit.RequestID, answer ibismessage.Answer) bool {
	before := g.stats.FailedByCalls
	answered := answer.Outcome == ibisid.OutcomeDone
	g.updateCalls(ibiscalls.RunEndEvent{
		ID:        ibiscalls.RunID(id),
		Failed:    answered && answer.Status >= http.StatusInternalServerError,
		Abandoned: !answered,
	}, g.clock.Now())
	return g.stats.FailedByCalls > before
}

// updateCalls passes an event to the tracker of calls, and what it learns to the gate; g.mu is held.
func (g *Guard) updateCalls(event ibiscalls.Event, now time.Time) {
	for _, effect := range g.calls.Update(event, now) {
		switch e := effect.(type) {
		case ibiscalls.CallsLearntEffect:
			g.log.Info("runs of a class make calls; these get the rank, target and remaining time of the runs",
				zap.String("class", string(e.Caller)),
				zap.String("calls", string(e.Class)))
		case ibiscalls.RunFailedEffect:
			g.stats.FailedByCalls++
			if g.gate != nil {
				g.apply(ibisadmit.CallsFailedEvent{
					Class:   e.Class,
					BeganAt: e.BeganAt,
				}, now)
				g.logCallBound(e.Class)
			}
		case ibiscalls.CallAnsweredEffect:
			if g.gate != nil && g.gate.CountsCalls(e.Caller) {
				g.apply(ibisadmit.CallAnsweredEvent{
					Class: e.Caller,
				}, now)
			}
		}
	}
}

// logCallBound logs when the gate begins and ceases to bound a class whose runs fail because of their calls; g.mu is held.
func (g *Guard) logCallBound(class ibisid.ClassName) {
	perSecond, bounded := 0.0, false
	if g.gate != nil {
		perSecond, bounded = g.gate.CallBound(class)
	}
	if bounded == g.callBounds.Has(class) {
		return
	}
	message := "runs fail because of their calls; refusing what would fail"
	if bounded {
		g.callBounds.Add(class)
	} else {
		g.callBounds.Remove(class)
		message = "calls of runs are answered again; admitting all"
	}
	g.log.Info(message,
		zap.String("class", string(class)),
		zap.Float64("perSecond", perSecond),
		zap.Uint64("failedByCalls", g.stats.FailedByCalls),
		zap.Uint64("refusedForCalls", g.stats.RefusedForCalls))
}
