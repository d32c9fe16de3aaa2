package ibismodel

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

// updateCalls passes an event to a node's tracker of calls, and what it learns to the node's gate.
func (w *world) updateCalls(n *node, event ibiscalls.Event) {
	if n.calls == nil {
		return
	}
	for _, effect := range n.calls.Update(event, w.Now()) {
		switch e := effect.(type) {
		case ibiscalls.RunFailedEffect:
			w.update(n, ibisadmit.CallsFailedEvent{
				Class:   e.Class,
				BeganAt: e.BeganAt,
			})
		case ibiscalls.CallAnsweredEffect:
			w.update(n, ibisadmit.CallAnsweredEvent{
				Class: e.Caller,
			})
		case ibiscalls.CallsLearntEffect:
		}
	}
}

// call takes a call of the server beside a node at the node's door.
func (w *world) call(callee *Class, n *node, callerTimeout time.Duration, done func(ending)) *request {
	r := w.newRequest(callee, w.drawKey(), n, callerTimeout, done)
	w.nextID++
	r.callID = ibiscalls.CallID(w.nextID)
	w.updateCalls(n, ibiscalls.CallBeginEvent{
		ID:    r.callID,
		Class: callee.Name,
	})
	if n.calls != nil {
		if inherited, ok := n.calls.Inherit(callee.Name); ok {
			r.call = true
			r.rank = min(r.rank, inherited.Rank)
			if inherited.Deadline.Before(r.deadline) {
				r.deadline = inherited.Deadline
			}
			if inherited.Target.After(r.target) {
				r.target = inherited.Target
			}
		}
	}
	w.enter(r)
	return r
}

// endCall tells the tracker that a call has ended; it does nothing for a caller's request.
func (w *world) endCall(r *request, failed, cancelled bool) {
	if r.callID == 0 {
		return
	}
	w.updateCalls(r.origin, ibiscalls.CallEndEvent{
		ID:        r.callID,
		Failed:    failed,
		Cancelled: cancelled,
	})
}
